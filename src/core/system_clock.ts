/**
 * Monotonic clock of the process.
 *
 * @packageDocumentation
 */
import {Clock, type InstantMs} from './clock.js';

/**
 * Clock backed by `performance.now`.
 *
 * @example
 * ```ts
 * const clock = new SystemClock();
 * const startMs = clock.nowMs();
 * ```
 */
export class SystemClock extends Clock {
  override nowMs(): InstantMs {
    return performance.now();
  }
}
