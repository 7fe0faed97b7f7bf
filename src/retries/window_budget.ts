/**
 * Resend budget of a fleet over a sliding window, divided among its VMs.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Number of buckets of the window; a bucket expires as a whole. */
const BUCKETS_PER_WINDOW = 40;

/** Share of the ratio to use, so that counts at the edge cannot exceed it. */
const USED_RATIO_SHARE = 0.9;

/** Share of the fixed allowance to use; the rest covers restarted VMs. */
const USED_ALLOWANCE_SHARE = 0.8;

/** Limit for one service over all VMs of the fleet. */
export interface WindowLimit {
  /** Resends allowed per request of the window. */
  readonly ratio: number;
  /** Resends allowed per window in addition. */
  readonly allowance: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: InstantMs;
  requestCount: number;
  resendCount: number;
}

/**
 * Limits the resends of one VM to a share of its own requests plus its part of
 * the fixed allowance. The sum over the fleet stays within the limit without
 * messages between VMs, even during a network partition.
 *
 * @example
 * ```ts
 * const budget = new WindowBudget({ratio: 0.2, allowance: 75, windowMs: 10_000});
 * budget.onRequest(nowMs);
 * const allowed = budget.tryTake({fleetSize: 18, reserve: 0}, nowMs);
 * ```
 */
export class WindowBudget {
  private buckets: Bucket[] = [];

  /** @param limit - limit of the whole fleet */
  constructor(private readonly limit: WindowLimit) {}

  /** Counts a request of a caller at `nowMs`. */
  onRequest(nowMs: InstantMs): void {
    this.bucketAt(nowMs).requestCount += 1;
  }

  /**
   * Takes one resend if the budget allows it.
   *
   * @param options - `fleetSize`: upper bound of the number of VMs; `reserve`:
   *     share of the budget, 0 to 1, kept for more important resends
   * @param nowMs - current instant in milliseconds
   * @returns true if the resend is allowed; false if the budget is exhausted
   */
  tryTake(
    options: {readonly fleetSize: number; readonly reserve: number},
    nowMs: InstantMs,
  ): boolean {
    const {requests, resends} = this.countInWindow(nowMs);
    const allowedCount = this.allowed(requests, options.fleetSize);
    if (resends + 1 > allowedCount * (1 - options.reserve)) {
      return false;
    }
    this.bucketAt(nowMs).resendCount += 1;
    return true;
  }

  /**
   * Returns the remaining budget.
   *
   * @param fleetSize - upper bound of the number of VMs
   * @param nowMs - current instant in milliseconds
   * @returns resends that are still allowed, not rounded
   */
  remaining(fleetSize: number, nowMs: InstantMs): number {
    const {requests, resends} = this.countInWindow(nowMs);
    return this.allowed(requests, fleetSize) - resends;
  }

  private allowed(requests: number, fleetSize: number): number {
    const {ratio, allowance} = this.limit;
    const share = (allowance * USED_ALLOWANCE_SHARE) / Math.max(1, fleetSize);
    return requests * ratio * USED_RATIO_SHARE + share;
  }

  private countInWindow(nowMs: InstantMs): {requests: number; resends: number} {
    const oldestMs = nowMs - this.limit.windowMs;
    this.buckets = this.buckets.filter(({startMs}) => startMs > oldestMs);
    let requests = 0;
    let resends = 0;
    for (const bucket of this.buckets) {
      requests += bucket.requestCount;
      resends += bucket.resendCount;
    }
    return {requests, resends};
  }

  private bucketAt(nowMs: InstantMs): Bucket {
    const widthMs = this.limit.windowMs / BUCKETS_PER_WINDOW;
    const last = this.buckets.at(-1);
    if (last !== undefined && nowMs < last.startMs + widthMs) {
      return last;
    }
    const bucket = {startMs: nowMs, requestCount: 0, resendCount: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
