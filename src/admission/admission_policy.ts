/**
 * Policies for requests that compete for too little room.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Largest share of the room and of the resends that is kept for more urgent
 * requests, so that the others are served even if most work is urgent.
 */
const MAX_RESERVE_SHARE = 0.5;

/** Load of a service, as a share of its slots, from which on room is scarce. */
const SCARCE_LOAD_SHARE = 1;

/**
 * Share of more urgent work below which no room is kept for it. So few requests
 * find the next slot that becomes free.
 */
const MIN_URGENT_SHARE = 0.05;

/** What a decision knows of a request that has not been sent. */
export interface PendingRequest {
  /** Place in the order of arrival at this VM. */
  readonly sequence: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Instant until which an answer has its full worth. */
  readonly objectiveAtMs: InstantMs;
  /** Instant at which the caller or the route gives the request up. */
  readonly expiresAtMs: InstantMs;
  /** Expected time at a target, in milliseconds. */
  readonly workMs: number;
}

/** Orders waiting requests, and keeps room and resends for some of them. */
export abstract class AdmissionPolicy {
  /** Name for logs and tables. */
  abstract readonly name: string;

  /**
   * Compares two waiting requests of a service.
   *
   * @param a - first request
   * @param b - second request
   * @param nowMs - current instant in milliseconds
   * @returns a negative number if `a` is to be sent first
   */
  abstract compare(
    a: PendingRequest,
    b: PendingRequest,
    nowMs: InstantMs,
  ): number;

  /**
   * Returns how much of the room of this VM a request must leave free.
   *
   * @param urgentShare - share of the work at the service, 0 to 1, that is more
   *     urgent than the request
   * @param slotCount - requests that this VM may have in flight at the service
   * @param loadShare - requests in flight at the service, as a share of its slots
   * @returns number of requests, not rounded
   */
  reservedCount(
    urgentShare: number,
    slotCount: number,
    loadShare: number,
  ): number {
    return this.keepsRoom(urgentShare, loadShare)
      ? Math.min(
          slotCount * MAX_RESERVE_SHARE,
          Math.sqrt(urgentShare * slotCount),
        )
      : 0;
  }

  /**
   * Returns whether a request may not queue at targets, so that more urgent ones
   * find the queues short.
   *
   * @param urgentShare - share of the work that is more urgent
   * @param loadShare - requests in flight as a share of the slots
   */
  keepsRoom(urgentShare: number, loadShare: number): boolean {
    return (
      this.isReserving &&
      urgentShare >= MIN_URGENT_SHARE &&
      loadShare >= SCARCE_LOAD_SHARE
    );
  }

  /**
   * Returns the share of the resend budget that a request leaves to others.
   *
   * @param urgentShare - share of the work that is more urgent
   */
  resendReserve(urgentShare: number): number {
    return this.isReserving && urgentShare >= MIN_URGENT_SHARE
      ? Math.min(MAX_RESERVE_SHARE, urgentShare)
      : 0;
  }

  /** Whether room and resends are kept for more urgent requests. */
  protected readonly isReserving: boolean = false;
}

/** By priority, then by arrival; keeps no room. */
export class ArrivalOrder extends AdmissionPolicy {
  override readonly name: string = 'arrival';

  override compare(a: PendingRequest, b: PendingRequest): number {
    return a.rank - b.rank || a.sequence - b.sequence;
  }
}

/** By priority, then by arrival; keeps room for more urgent requests. */
export class StrictPriority extends ArrivalOrder {
  override readonly name = 'priority';
  protected override readonly isReserving = true;
}

/** By the instant at which an answer loses its worth, whatever its priority. */
export class EarliestDeadline extends AdmissionPolicy {
  override readonly name = 'deadline';

  override compare(a: PendingRequest, b: PendingRequest): number {
    return a.objectiveAtMs - b.objectiveAtMs;
  }
}

/** By the worth per unit of work, taking each rank for half of the one above. */
export class ValuePerWork extends AdmissionPolicy {
  override readonly name = 'value/work';

  override compare(a: PendingRequest, b: PendingRequest): number {
    return valuePerWork(b) - valuePerWork(a) || a.sequence - b.sequence;
  }
}

/**
 * By what it costs callers to wait: priority first; within a priority those that
 * can still be answered in time, the one that must start first before the
 * others, and then those that are late anyway, short work first, since it keeps
 * the fewest others waiting. Keeps room for more urgent requests.
 */
export class CallerCostOrder extends AdmissionPolicy {
  override readonly name = 'caller cost';
  protected override readonly isReserving = true;

  override compare(
    a: PendingRequest,
    b: PendingRequest,
    nowMs: InstantMs,
  ): number {
    const isLate = latestStartMs(a) < nowMs;
    const isOtherLate = latestStartMs(b) < nowMs;
    return (
      a.rank - b.rank ||
      Number(isLate) - Number(isOtherLate) ||
      (isLate ? a.workMs - b.workMs : latestStartMs(a) - latestStartMs(b)) ||
      a.sequence - b.sequence
    );
  }
}

/** Returns the instant after which an answer is expected to be late. */
function latestStartMs({objectiveAtMs, workMs}: PendingRequest): InstantMs {
  return objectiveAtMs - workMs;
}

function valuePerWork({rank, workMs}: PendingRequest): number {
  return 0.5 ** rank / Math.max(1, workMs);
}
