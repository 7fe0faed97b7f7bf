/**
 * Admission of waiting requests by deadline and worth.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {QueuedRequest} from './request_queue.js';

/** State of a service's queue. */
export interface AdmissionOptions {
  readonly nowMs: InstantMs;
  /** Requests of this VM that run at the same time; at least 1. */
  readonly concurrency: number;
  /** Greatest number of waiting requests. */
  readonly capacity: number;
  /** False switches off rejection by deadline. */
  readonly byDeadline: boolean;
}

/** Share of a service time until a busy slot becomes free, on average. */
const RESIDUAL_SHARE = 0.5;

/**
 * Tells whether a request that starts now finishes in time.
 *
 * @param item - request to test
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
 * Chooses the requests to reject so that the queue fits its capacity and all
 * others can finish in time. Those of the lowest worth go first; among equals
 * the last in queue order. The wait of a request is the estimated work ahead
 * of it, divided by the requests that run at the same time.
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
  const kept = [...waiting];
  const rejected: T[] = [];
  while (kept.length > options.capacity) {
    rejected.push(...removeLowestWorth(kept, kept.length));
  }
  if (!options.byDeadline) {
    return rejected;
  }
  let late = findLate(kept, options);
  while (late !== undefined) {
    rejected.push(...removeLowestWorth(kept, late + 1));
    late = findLate(kept, options);
  }
  return rejected;
}

/** Index of the first request that cannot finish in time. */
function findLate(
  kept: readonly QueuedRequest[],
  options: AdmissionOptions,
): number | undefined {
  let workAheadMs = 0;
  for (const [index, item] of kept.entries()) {
    const residualMs = item.estimatedMs * RESIDUAL_SHARE;
    const waitMs = (workAheadMs + residualMs) / options.concurrency;
    if (!canFinish(item, options.nowMs + waitMs)) {
      return index;
    }
    workAheadMs += item.estimatedMs;
  }
  return undefined;
}

/** Removes the request of the lowest worth among the first `count`. */
function removeLowestWorth<T extends QueuedRequest>(
  kept: T[],
  count: number,
): T[] {
  let lowest = 0;
  for (let index = 1; index < count; index += 1) {
    const worth = kept[index]?.worth ?? Infinity;
    if (worth <= (kept[lowest]?.worth ?? Infinity)) {
      lowest = index;
    }
  }
  return kept.splice(lowest, 1);
}
