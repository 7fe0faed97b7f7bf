/**
 * Hybrid logical clock.
 *
 * @packageDocumentation
 */
import type {HybridTime} from './types.js';

/**
 * Lead over the own wall clock up to which a peer's stamp is followed. One VM
 * with a wrong clock must not move the stamps of all others.
 */
const MAX_LEAD_MS = 10_000;

/**
 * Clock that stays close to the wall clock and orders causes before effects.
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
   * Stamps an event or a message that is sent.
   *
   * @param wallMs - wall clock, in milliseconds since the Unix epoch
   * @returns a stamp greater than all earlier ones
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
   * Takes in the stamp of a message that arrived. Later stamps are greater,
   * unless the sender's clock leads by more than 10 s.
   *
   * @param time - the sender's stamp
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
 * Compares two stamps.
 *
 * @param a - first stamp
 * @param b - second stamp
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
