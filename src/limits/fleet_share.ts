/**
 * How many requests a VM may have at a service while many VMs share its targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Load that is aimed at under overload, as a share of all slots. */
const AIMED_LOAD = 1.1;

/** Relative change of the limit for each second and unit of load. */
const GAIN_PER_SECOND = 4;

/** Bounds of the limit, in equal shares. */
const MIN_FACTOR = 0.8;
const MAX_FACTOR = 8;

/** Longer pauses between two updates count as this time. */
const MAX_STEP_MS = 200;

/** State of a service as one VM knows it. */
export interface ServiceLoad {
  /** Slots of all targets that may get requests. */
  readonly slotCount: number;
  /** Requests of all VMs at them, running or waiting. */
  readonly inFlightCount: number;
}

/**
 * Reports of single targets are outdated as soon as they arrive at peak load,
 * while the load of the whole service changes slowly and all VMs know nearly
 * the same. So all of them move the same factor of their equal shares until the
 * load is as aimed at; VMs with more callers use what others leave.
 */
export class FleetShare {
  private factor = MAX_FACTOR;
  private updatedMs: InstantMs | undefined;

  /**
   * Computes how many requests this VM may have in flight.
   *
   * @param load - load of the service
   * @param fleetSize - upper bound of the number of VMs
   * @param nowMs - current instant in milliseconds
   * @returns greatest number of requests, at least 1
   */
  limit(load: ServiceLoad, fleetSize: number, nowMs: InstantMs): number {
    const slotCount = Math.max(1, load.slotCount);
    const stepMs = Math.min(nowMs - (this.updatedMs ?? nowMs), MAX_STEP_MS);
    this.updatedMs = nowMs;
    const missing = AIMED_LOAD - load.inFlightCount / slotCount;
    const change = Math.exp((GAIN_PER_SECOND * missing * stepMs) / 1000);
    const factor = this.factor * change;
    this.factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    const equalShare = slotCount / Math.max(1, fleetSize);
    return Math.max(1, Math.round(equalShare * this.factor));
  }
}
