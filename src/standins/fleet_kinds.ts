/**
 * Request kinds of the generated fleet.
 *
 * @packageDocumentation
 */

/** Request kinds of the Himali deployment, with service times for stand-ins. */
export const FLEET_KINDS = [
  {
    service: 'growers-desk',
    name: 'price-check',
    method: 'GET',
    path: '/price',
    idempotent: true,
    long: false,
    worth: 1,
    share: 50,
    meanMs: 8,
    timeoutMs: 1_000,
  },
  {
    service: 'growers-desk',
    name: 'booking',
    method: 'POST',
    path: '/book',
    idempotent: false,
    long: false,
    worth: 10,
    share: 20,
    meanMs: 15,
    timeoutMs: 2_000,
  },
  {
    service: 'growers-desk',
    name: 'batch-check',
    method: 'GET',
    path: '/batch',
    idempotent: true,
    long: true,
    worth: 2,
    share: 1,
    meanMs: 300,
    timeoutMs: 5_000,
  },
  {
    service: 'packhouse-desk',
    name: 'stock-check',
    method: 'GET',
    path: '/stock',
    idempotent: true,
    long: false,
    worth: 1,
    share: 20,
    meanMs: 8,
    timeoutMs: 1_000,
  },
  {
    service: 'packhouse-desk',
    name: 'dispatch-confirmation',
    method: 'POST',
    path: '/dispatch',
    idempotent: false,
    long: false,
    worth: 10,
    share: 9,
    meanMs: 15,
    timeoutMs: 2_000,
  },
] as const;
