/**
 * Exponential decay.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Weight left after an age.
 *
 * @param ageMs - age in milliseconds
 * @param halfLifeMs - age at which half the weight is left, in milliseconds
 * @returns 1 at age 0, towards 0 with age
 * @internal
 */
export function decay(ageMs: number, halfLifeMs: number): number {
  return 2 ** (-Math.max(ageMs, 0) / halfLifeMs);
}

/**
 * Sum whose past amounts decay.
 *
 * @internal
 */
export class DecayingSum {
  private sum = 0;
  private atMs: InstantMs = 0;

  /**
   * @param halfLifeMs - age at which an amount has half its value
   */
  constructor(private readonly halfLifeMs: number) {}

  /**
   * Adds an amount.
   *
   * @param amount - amount to add
   * @param bound - greatest sum
   * @param nowMs - current instant in milliseconds
   */
  add(amount: number, bound: number, nowMs: InstantMs): void {
    this.sum = Math.min(this.valueAt(nowMs) + amount, bound);
    this.atMs = nowMs;
  }

  /**
   * Computes the sum.
   *
   * @param nowMs - current instant in milliseconds
   * @returns what is left of the amounts
   */
  valueAt(nowMs: InstantMs): number {
    return this.sum === 0
      ? 0
      : this.sum * decay(nowMs - this.atMs, this.halfLifeMs);
  }
}
