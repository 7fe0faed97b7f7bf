/**
 * Admission of waiting requests by deadline and worth.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {QueuedRequest} from './request_queue.js';

/** State of the queue of a service. */
export interface AdmissionOptions {
  readonly nowMs: InstantMs;
  /** Number of requests of this VM that run concurrently; at least 1. */
  readonly concurrency: number;
  /** Maximum number of waiting requests. */
  readonly capacity: number;
  /** Whether to reject requests that would miss their deadline. */
  readonly byDeadline: boolean;
}

/** Mean time until a busy slot becomes free, as a share of the service time. */
const RESIDUAL_SHARE = 0.5;

/**
 * Checks whether a request that starts now finishes by its deadline.
 *
 * @param item - request to check
 * @param nowMs - current instant in milliseconds
 * @returns false if now + estimated service time exceeds the deadline
 *
 * @example
 * ```ts
 * canFinish(waiting, nowMs);
 * ```
 */
export function canFinish(
  item: Pick<QueuedRequest, 'deadlineMs' | 'estimatedMs'>,
  nowMs: InstantMs,
): boolean {
  return nowMs + item.estimatedMs <= item.deadlineMs;
}

/**
 * Selects the requests to reject so that the queue fits its capacity and all
 * others can finish in time. Requests of the lowest worth are rejected first;
 * among equals the last in queue order. The wait of a request is the estimated
 * work ahead of it, divided by the number of concurrent requests.
 *
 * @param waiting - requests in queue order
 * @param options - state of the queue
 * @returns requests to reject, in the order of rejection
 *
 * @example
 * ```ts
 * const rejected = chooseRejected(queue.waiting, {
 *   nowMs, concurrency: 5, capacity: 256, byDeadline: true,
 * });
 * ```
 */
export function chooseRejected<T extends QueuedRequest>(
  waiting: readonly T[],
  options: AdmissionOptions,
): readonly T[] {
  const overflow = chooseOverflow(waiting, options.capacity);
  if (!options.byDeadline) {
    return overflow;
  }
  const overflowing = new Set(overflow);
  const kept =
    overflowing.size === 0
      ? waiting
      : waiting.filter(item => !overflowing.has(item));
  return [...overflow, ...chooseLate(kept, options)];
}

/** Selects the requests of the lowest worth in excess of the capacity. */
function chooseOverflow<T extends QueuedRequest>(
  waiting: readonly T[],
  capacity: number,
): readonly T[] {
  if (waiting.length <= capacity) {
    return [];
  }
  const ranking = new WorthRanking<T>();
  waiting.forEach(item => ranking.add(item));
  const count = waiting.length - capacity;
  return Array.from({length: count}, () => ranking.takeLowest()).filter(
    item => item !== undefined,
  );
}

/**
 * Selects the late requests in one pass. A rejection shortens only the wait of
 * the requests behind it, so those already passed stay in time and are not
 * checked again.
 */
function chooseLate<T extends QueuedRequest>(
  kept: readonly T[],
  options: AdmissionOptions,
): readonly T[] {
  const rejected: T[] = [];
  const ranking = new WorthRanking<T>();
  let workAheadMs = 0;
  for (const item of kept) {
    ranking.add(item);
    workAheadMs += item.estimatedMs;
    while (isLate(item, workAheadMs - item.estimatedMs, options)) {
      const lowest = ranking.takeLowest() ?? item;
      rejected.push(lowest);
      workAheadMs -= lowest.estimatedMs;
      if (lowest === item) {
        break;
      }
    }
  }
  return rejected;
}

function isLate(
  item: QueuedRequest,
  workAheadMs: number,
  options: AdmissionOptions,
): boolean {
  const residualMs = item.estimatedMs * RESIDUAL_SHARE;
  const waitMs = (workAheadMs + residualMs) / options.concurrency;
  return !canFinish(item, options.nowMs + waitMs);
}

/** Requests grouped by worth; there are only a few distinct worths. */
class WorthRanking<T extends QueuedRequest> {
  private readonly itemsByWorth = new Map<number, T[]>();

  add(item: T): void {
    const items = this.itemsByWorth.get(item.worth);
    if (items === undefined) {
      this.itemsByWorth.set(item.worth, [item]);
    } else {
      items.push(item);
    }
  }

  /** Removes the item of the lowest worth; among equals the last added. */
  takeLowest(): T | undefined {
    let lowest: number | undefined;
    for (const [worth, items] of this.itemsByWorth) {
      if (items.length > 0 && (lowest === undefined || worth < lowest)) {
        lowest = worth;
      }
    }
    return lowest === undefined
      ? undefined
      : this.itemsByWorth.get(lowest)?.pop();
  }
}
