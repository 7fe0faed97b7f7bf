/**
 * How many requests a VM may have at a service while many VMs share its targets.
 *
 * @packageDocumentation
 */

/** Part of all slots that is used; the last ones slow the others down. */
const USABLE_SHARE = 0.85;

/** Load of the service, as a share of its slots, below which no VM is limited. */
const RELAXED_LOAD = 0.55;

/** Load from which on each VM keeps to its equal share. */
const TIGHT_LOAD = 0.8;

/** Equal shares that one VM may have between the two loads. */
const RELAXED_FACTOR = 1.6;

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
 * keep the sum within the slots without messages.
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
  const equalShare = (load.slotCount * USABLE_SHARE) / Math.max(1, fleetSize);
  const factor = share < TIGHT_LOAD ? RELAXED_FACTOR : 1;
  return Math.max(1, Math.round(equalShare * factor));
}
