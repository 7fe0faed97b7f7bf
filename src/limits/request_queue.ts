/**
 * Queue of the requests of one service that wait for a slot.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** What the queue and the admission need to know of a waiting request. */
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
 * One dispatch in this many goes to a request that has waited more than half
 * of its time to the deadline, so that low worth delays but never starves.
 */
export const STARVATION_INTERVAL = 8;

/**
 * Waiting requests in the order urgent first, then greater worth, then earlier
 * deadline, then arrival. While requests wait that are past half of their
 * time, at least one of each eight dispatches takes one of them, that with the
 * earliest deadline.
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

  /** The waiting requests in queue order. */
  get waiting(): readonly T[] {
    return this.items;
  }

  /**
   * Adds a request behind those of equal rank.
   *
   * @param item - request that starts to wait
   */
  add(item: T): void {
    this.items.splice(this.positionFor(item), 0, item);
  }

  /**
   * Lists the requests as they would be with one more, without adding it.
   *
   * @param item - request that might be added
   * @returns requests in queue order, `item` included
   */
  preview(item: T): readonly T[] {
    const items = [...this.items];
    items.splice(this.positionFor(item), 0, item);
    return items;
  }

  /**
   * Finds the request to dispatch next.
   *
   * @param nowMs - current instant in milliseconds
   * @param eligible - false for requests to pass over; all by default
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

  /** Binary search for the first position behind all of equal rank. */
  private positionFor(item: T): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.items[middle];
      if (other !== undefined && compare(other, item) <= 0) {
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

/** True once a request has waited more than half of its time. */
function isStarving(item: QueuedRequest, nowMs: InstantMs): boolean {
  return nowMs - item.queuedMs > (item.deadlineMs - item.queuedMs) / 2;
}

/** Negative if `a` precedes `b`. */
function compare(a: QueuedRequest, b: QueuedRequest): number {
  if (a.urgent !== b.urgent) {
    return a.urgent ? -1 : 1;
  }
  if (a.worth !== b.worth) {
    return b.worth - a.worth;
  }
  return a.deadlineMs - b.deadlineMs;
}
