/**
 * Budget of resends that all VMs of a fleet share, over a sliding window.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Parts into which the window is divided; a part expires as a whole. */
const BUCKETS_PER_WINDOW = 40;

/** Part of the ratio that is used, so that counts at the edge cannot exceed it. */
const RATIO_MARGIN = 0.9;

/** Part of the fixed allowance that is used; the rest covers restarted VMs. */
const ALLOWANCE_MARGIN = 0.8;

/** The limit for one service, for all VMs together. */
export interface WindowLimit {
  /** Resends for each request of the window. */
  readonly ratio: number;
  /** Resends that are allowed besides. */
  readonly allowance: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: InstantMs;
  requestCount: number;
  resendCount: number;
}

/**
 * Each VM may resend a share of its own requests, and its part of the fixed
 * allowance. The sum over the fleet keeps the limit without messages, also
 * while VMs are cut off from each other.
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

  /** Counts a request of a caller. */
  onRequest(nowMs: InstantMs): void {
    this.bucketAt(nowMs).requestCount += 1;
  }

  /**
   * Takes one resend.
   *
   * @param options - `fleetSize`: upper bound of the number of VMs; `reserve`:
   *     part of the budget, 0 to 1, that must stay for more important resends
   * @param nowMs - current instant in milliseconds
   * @returns false if the budget is used up
   */
  tryTake(
    options: {readonly fleetSize: number; readonly reserve: number},
    nowMs: InstantMs,
  ): boolean {
    const {requests, resends} = this.count(nowMs);
    const allowed = this.allowed(requests, options.fleetSize);
    if (resends + 1 > allowed * (1 - options.reserve)) {
      return false;
    }
    this.bucketAt(nowMs).resendCount += 1;
    return true;
  }

  /**
   * Reads what is left.
   *
   * @param fleetSize - upper bound of the number of VMs
   * @param nowMs - current instant in milliseconds
   * @returns resends that are still allowed, not rounded
   */
  remaining(fleetSize: number, nowMs: InstantMs): number {
    const {requests, resends} = this.count(nowMs);
    return this.allowed(requests, fleetSize) - resends;
  }

  private allowed(requests: number, fleetSize: number): number {
    const {ratio, allowance} = this.limit;
    const share = (allowance * ALLOWANCE_MARGIN) / Math.max(1, fleetSize);
    return requests * ratio * RATIO_MARGIN + share;
  }

  private count(nowMs: InstantMs): {requests: number; resends: number} {
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
