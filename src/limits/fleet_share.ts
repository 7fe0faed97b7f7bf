/**
 * How many requests a VM may have at a service while many VMs share its targets.
 *
 * @packageDocumentation
 */

/**
 * Requests in flight for each slot, when VMs keep to equal shares. More than
 * one, since demand differs between VMs and some leave their share unused.
 */
const REQUESTS_PER_SLOT = 1.4;

/** Load of the service, as a share of its slots, below which no VM is limited. */
const RELAXED_LOAD = 0.85;

/** Load from which on each VM keeps to its equal share. */
const TIGHT_LOAD = 1.05;

/** Equal shares that one VM may have between the two loads. */
const RELAXED_FACTOR = 1.8;

/** State of a service as one VM knows it. */
export interface ServiceLoad {
  /** Slots of all targets that may get requests. */
  readonly slotCount: number;
  /** Requests of all VMs at them, running or waiting. */
  readonly inFlightCount: number;
}

/**
 * Computes how many requests a VM may have in flight. Reports of single targets
 * are outdated as soon as they arrive at peak load, while the load of the whole
 * service changes slowly; so the sum decides who is limited, and equal shares
 * keep the sum near the slots without messages.
 *
 * @param load - load of the service
 * @param fleetSize - upper bound of the number of VMs
 * @returns greatest number of requests, at least 1; infinite for no limit
 */
export function fleetShareLimit(load: ServiceLoad, fleetSize: number): number {
  const share = load.inFlightCount / Math.max(1, load.slotCount);
  if (share < RELAXED_LOAD) {
    return Infinity;
  }
  const equalShare =
    (load.slotCount * REQUESTS_PER_SLOT) / Math.max(1, fleetSize);
  const factor = share < TIGHT_LOAD ? RELAXED_FACTOR : 1;
  return Math.max(1, Math.round(equalShare * factor));
}
