/**
 * Exponentially decaying sums.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Returns the fraction of a weight that remains at an age.
 *
 * @param ageMs - age in milliseconds; negative ages count as 0
 * @param halfLifeMs - age at which half the weight remains, in milliseconds
 * @returns 1 at age 0, approaching 0 with increasing age
 * @internal
 */
export function decayFactor(ageMs: number, halfLifeMs: number): number {
  return 2 ** (-Math.max(ageMs, 0) / halfLifeMs);
}

/**
 * Sum of amounts that decay exponentially with age.
 *
 * @internal
 */
export class DecayingSum {
  private sum = 0;
  private updatedMs: InstantMs = 0;

  /**
   * @param halfLifeMs - age at which half of an amount remains, in
   *     milliseconds
   */
  constructor(private readonly halfLifeMs: number) {}

  /**
   * Adds an amount and caps the sum.
   *
   * @param amount - amount to add
   * @param maxSum - upper bound of the sum
   * @param nowMs - current instant in milliseconds
   */
  add(amount: number, maxSum: number, nowMs: InstantMs): void {
    this.sum = Math.min(this.valueAt(nowMs) + amount, maxSum);
    this.updatedMs = nowMs;
  }

  /**
   * Returns the decayed sum.
   *
   * @param nowMs - current instant in milliseconds
   * @returns sum of the remaining amounts
   */
  valueAt(nowMs: InstantMs): number {
    return this.sum === 0
      ? 0
      : this.sum * decayFactor(nowMs - this.updatedMs, this.halfLifeMs);
  }
}
