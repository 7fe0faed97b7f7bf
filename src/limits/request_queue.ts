/**
 * Queue of the requests of one service that wait for a slot.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Properties of a waiting request that queue and admission depend on. */
export interface QueuedRequest {
  readonly urgent: boolean;
  readonly worth: number;
  readonly deadlineMs: InstantMs;
  /** Instant at which the request started to wait. */
  readonly queuedMs: InstantMs;
  /** Estimated service time of its kind, in milliseconds. */
  readonly estimatedMs: number;
}

/**
 * Minimum rate of dispatches, one in this many, for requests that have waited
 * more than half of their time to the deadline, so that low worth delays a
 * request but never starves it.
 */
export const STARVATION_INTERVAL = 8;

/**
 * Priority queue of waiting requests: urgent first, then greater worth, then
 * earlier deadline, then earlier arrival. While there are requests that have
 * waited more than half of their time, at least one of each eight dispatches
 * selects the one of them with the earliest deadline.
 *
 * @example
 * ```ts
 * const queue = new RequestQueue<Waiting>();
 * queue.add(waiting);
 * const next = queue.select(nowMs);
 * if (next !== undefined) {
 *   queue.take(next, nowMs);
 * }
 * ```
 */
export class RequestQueue<T extends QueuedRequest> {
  private readonly items: T[] = [];
  private dispatchesSinceStarving = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.items.length;
  }

  /** Waiting requests in queue order. */
  get waiting(): readonly T[] {
    return this.items;
  }

  /**
   * Adds a request behind all of equal or higher rank.
   *
   * @param item - request that starts to wait
   */
  add(item: T): void {
    this.items.splice(this.insertionIndex(item), 0, item);
  }

  /**
   * Returns the queue as it would be with one more request, without adding it.
   *
   * @param item - request that might be added
   * @returns requests in queue order, `item` included
   */
  preview(item: T): readonly T[] {
    const items = [...this.items];
    items.splice(this.insertionIndex(item), 0, item);
    return items;
  }

  /**
   * Finds the request to dispatch next.
   *
   * @param nowMs - current instant in milliseconds
   * @param eligible - returns false for requests to skip; all are eligible by
   *     default
   * @returns the request, still in the queue; undefined if none is eligible
   */
  select(
    nowMs: InstantMs,
    eligible: (item: T) => boolean = () => true,
  ): T | undefined {
    if (this.dispatchesSinceStarving >= STARVATION_INTERVAL - 1) {
      const starving = this.earliestStarving(nowMs, eligible);
      if (starving !== undefined) {
        return starving;
      }
    }
    return this.items.find(eligible);
  }

  /**
   * Removes a request for dispatch and counts the dispatch.
   *
   * @param item - request returned by `select`
   * @param nowMs - current instant in milliseconds
   */
  take(item: T, nowMs: InstantMs): void {
    if (!this.remove(item)) {
      return;
    }
    this.dispatchesSinceStarving = isStarving(item, nowMs)
      ? 0
      : this.dispatchesSinceStarving + 1;
  }

  /**
   * Removes a request that will not be dispatched.
   *
   * @param item - request to remove
   * @returns false if it was not in the queue
   */
  remove(item: T): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) {
      return false;
    }
    this.items.splice(index, 1);
    return true;
  }

  /** Finds the first index behind all of equal rank, by binary search. */
  private insertionIndex(item: T): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.items[middle];
      if (other !== undefined && compareRank(other, item) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private earliestStarving(
    nowMs: InstantMs,
    eligible: (item: T) => boolean,
  ): T | undefined {
    let earliest: T | undefined;
    for (const item of this.items) {
      const precedes =
        earliest === undefined || item.deadlineMs < earliest.deadlineMs;
      if (precedes && isStarving(item, nowMs) && eligible(item)) {
        earliest = item;
      }
    }
    return earliest;
  }
}

/** Returns whether a request has waited more than half of its time. */
function isStarving(item: QueuedRequest, nowMs: InstantMs): boolean {
  return nowMs - item.queuedMs > (item.deadlineMs - item.queuedMs) / 2;
}

/** Returns a negative number if `a` precedes `b`, 0 for equal rank. */
function compareRank(a: QueuedRequest, b: QueuedRequest): number {
  if (a.urgent !== b.urgent) {
    return a.urgent ? -1 : 1;
  }
  if (a.worth !== b.worth) {
    return b.worth - a.worth;
  }
  return a.deadlineMs - b.deadlineMs;
}
