/**
 * Frequency and degree of slowness among targets.
 *
 * @packageDocumentation
 */

/**
 * Slowness above which a target counts as slow. Targets report about 1, or
 * several times as much while their machine is shared.
 */
export const SLOW_THRESHOLD = 2;

/**
 * Share and slowness of slow targets before the first report. About a hundred
 * reports replace them.
 */
const INITIAL_SLOW_SHARE = 0.2;
const INITIAL_SLOW_FACTOR = 4;

/** Weight of one report in the means, the same as in the mean speed. */
const GAIN = 0.01;

/** Running means over the slowness that targets report. */
export class SpeedStatistics {
  private share = INITIAL_SLOW_SHARE;
  private factor = INITIAL_SLOW_FACTOR;

  /** Share of reports that came from slow targets, 0 to 1. */
  get slowShare(): number {
    return this.share;
  }

  /** Mean slowness of slow targets. */
  get slowFactor(): number {
    return this.factor;
  }

  /**
   * Adds the slowness that a target reported.
   *
   * @param slowness - time that work takes, as a multiple of the usual time
   */
  observe(slowness: number): void {
    const isSlow = slowness > SLOW_THRESHOLD;
    this.share += ((isSlow ? 1 : 0) - this.share) * GAIN;
    if (isSlow) {
      this.factor += (slowness - this.factor) * GAIN;
    }
  }
}
