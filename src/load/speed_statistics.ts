/**
 * How often targets are slow, and how slow they are then.
 *
 * @packageDocumentation
 */

/**
 * Slowness from which on a target counts as slow. Targets state about 1, or
 * several times as much while their machine is shared.
 */
export const SLOW_FROM = 2;

/**
 * Share of slow targets, and their slowness, before anything is known; assumed.
 * About a hundred statements replace them.
 */
const INITIAL_SLOW_SHARE = 0.2;
const INITIAL_SLOW_FACTOR = 4;

/** Weight of one statement in the means, as in that of the speed. */
const GAIN = 0.01;

/** Running means over what targets state. */
export class SpeedStatistics {
  private share = INITIAL_SLOW_SHARE;
  private factor = INITIAL_SLOW_FACTOR;

  /** Part of the statements that came from slow targets, 0 to 1. */
  get slowShare(): number {
    return this.share;
  }

  /** Mean slowness of slow targets. */
  get slowFactor(): number {
    return this.factor;
  }

  /**
   * Takes in a statement of a target.
   *
   * @param slowness - time that work takes, as a multiple of the usual time
   */
  observe(slowness: number): void {
    const isSlow = slowness > SLOW_FROM;
    this.share += ((isSlow ? 1 : 0) - this.share) * GAIN;
    if (isSlow) {
      this.factor += (slowness - this.factor) * GAIN;
    }
  }
}
