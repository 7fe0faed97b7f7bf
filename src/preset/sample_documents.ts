/**
 * Sample documents for tests and examples.
 *
 * @packageDocumentation
 */

/** Kind in a sample document. */
export const SAMPLE_KIND = {
  method: 'POST',
  pathPrefix: '/book',
  idempotent: false,
  urgent: false,
  long: false,
  worth: 10,
  timeoutMs: 2_000,
};

/** Service in a sample document. */
export const SAMPLE_SERVICE = {
  slotsPerTarget: 6,
  connectionsPerTarget: 280,
  probeBudgetPerSecond: 200,
  routing: 'estimated-load',
  longLaneShare: 0.5,
  maxEjectedShare: 0.3,
  retryBudgetShare: 0.1,
  queueCapacity: 256,
  slowStartMs: 5_000,
  kinds: {book: SAMPLE_KIND},
};

/**
 * Creates a valid config document with the presets `ordinary` and `lunch`.
 *
 * @param revision - revision of the document
 * @param overrides - keys of the service to replace
 * @returns JSON text
 *
 * @example
 * ```ts
 * store.offer(publishedDocument('config', 1, sampleConfig(12)), 0);
 * ```
 */
export function sampleConfig(
  revision: number,
  overrides: Readonly<Record<string, unknown>> = {},
): string {
  const services = {'growers-desk': {...SAMPLE_SERVICE, ...overrides}};
  const preset = {vmCeiling: 30, services};
  const presets = {ordinary: preset, lunch: preset};
  return JSON.stringify({revision, inForce: 'lunch', presets}, undefined, 2);
}
