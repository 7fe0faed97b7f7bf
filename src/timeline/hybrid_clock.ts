/**
 * Hybrid logical clock.
 *
 * @packageDocumentation
 */
import type {HybridTime} from './types.js';

/**
 * Maximum lead of a peer's timestamp over the local wall clock. Timestamps
 * further ahead are ignored, so that one VM with a wrong clock does not advance
 * the clocks of all others.
 */
const MAX_LEAD_MS = 10_000;

/**
 * Hybrid logical clock: its timestamps stay close to the wall clock and order
 * causes before effects.
 *
 * @example
 * ```ts
 * const time = hybridClock.next(Date.now());
 * hybridClock.observe(message.time, Date.now());
 * ```
 */
export class HybridClock {
  private last: HybridTime = {wallMs: 0, counter: 0};

  /**
   * Returns the timestamp for a local event or an outgoing message.
   *
   * @param wallMs - wall clock, in milliseconds since the Unix epoch
   * @returns a timestamp greater than all earlier ones
   */
  next(wallMs: number): HybridTime {
    const wholeMs = Math.floor(wallMs);
    this.last =
      wholeMs > this.last.wallMs
        ? {wallMs: wholeMs, counter: 0}
        : {wallMs: this.last.wallMs, counter: this.last.counter + 1};
    return this.last;
  }

  /**
   * Advances the clock to the timestamp of a received message. Later timestamps
   * are greater, unless the sender's clock leads by more than 10 s.
   *
   * @param time - timestamp of the sender
   * @param wallMs - wall clock, in milliseconds since the Unix epoch
   */
  observe(time: HybridTime, wallMs: number): void {
    const isPlausible = time.wallMs - wallMs <= MAX_LEAD_MS;
    if (isPlausible && compareTimes(time, this.last) > 0) {
      this.last = time;
    }
  }
}

/**
 * Compares two timestamps.
 *
 * @param a - first timestamp
 * @param b - second timestamp
 * @returns negative if `a` is earlier, positive if it is later, else 0
 *
 * @example
 * ```ts
 * times.sort(compareTimes);
 * ```
 */
export function compareTimes(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}
