/**
 * Share of a VM in the concurrent requests at a service.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Setpoint of the load under overload, as a share of all slots. */
const SETPOINT_LOAD_SHARE = 1.1;

/** Relative change of the limit per second and unit of load. */
const GAIN_PER_SECOND = 4;

/** Bounds of the limit, as multiples of an equal share. */
const MIN_FACTOR = 0.8;
const MAX_FACTOR = 8;

/** Maximum time between two updates that takes effect. */
const MAX_STEP_MS = 200;

/** Load of a service, as seen by one VM. */
export interface ServiceLoad {
  /** Slots of all targets that may receive requests. */
  readonly slotCount: number;
  /** Requests of all VMs at these targets, running or waiting. */
  readonly inFlightCount: number;
}

/**
 * Limits the in-flight requests of a VM by feedback from the load of the whole
 * service. At peak load, reports of single targets are outdated on arrival,
 * while the load of the service changes slowly and is nearly the same at all
 * VMs. So all VMs adjust the same factor of their equal shares until the load
 * reaches the setpoint; VMs with more callers use capacity that others do not.
 */
export class FleetShare {
  private factor = MAX_FACTOR;
  private updatedMs: InstantMs | undefined;

  /**
   * Updates and returns the limit of in-flight requests of this VM.
   *
   * @param load - load of the service
   * @param fleetSize - upper bound of the number of VMs
   * @param nowMs - current instant in milliseconds
   * @returns maximum number of requests, at least 1
   */
  limit(load: ServiceLoad, fleetSize: number, nowMs: InstantMs): number {
    const slotCount = Math.max(1, load.slotCount);
    const stepMs = Math.min(nowMs - (this.updatedMs ?? nowMs), MAX_STEP_MS);
    this.updatedMs = nowMs;
    const headroomShare = SETPOINT_LOAD_SHARE - load.inFlightCount / slotCount;
    const adjustment = Math.exp(
      (GAIN_PER_SECOND * headroomShare * stepMs) / 1000,
    );
    const factor = this.factor * adjustment;
    this.factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    const equalShare = slotCount / Math.max(1, fleetSize);
    return Math.max(1, Math.round(equalShare * this.factor));
  }
}
