/**
 * Estimate of the work of the requests of a route.
 *
 * @packageDocumentation
 */

/** Weight of a new observation. */
const GAIN = 0.1;

/** Observations after which the gain is constant. */
const SETTLING_COUNT = 10;

/** Upper bound of an observation, as a multiple of the estimate. */
const MAX_FACTOR = 3;

/** Initial estimate, as a share of the objective. */
const INITIAL_SHARE = 0.35;

/**
 * Running mean of the duration on an idle target at usual speed, robust against
 * a few long requests.
 */
export class WorkEstimate {
  private valueMs: number;
  private count = 0;

  /** @param objectiveMs - time within which a response has its full worth */
  constructor(objectiveMs: number) {
    this.valueMs = objectiveMs * INITIAL_SHARE;
  }

  /** Estimated duration in milliseconds. */
  get workMs(): number {
    return this.valueMs;
  }

  /**
   * Adds the duration of an attempt with a response.
   *
   * @param durationMs - time from sending to the response in milliseconds
   * @param slowness - slowness of the target when it was sent
   */
  observe(durationMs: number, slowness: number): void {
    this.count += 1;
    const gain = Math.max(GAIN, 1 / Math.min(this.count + 1, SETTLING_COUNT));
    const normalMs = durationMs / Math.max(1, slowness);
    const boundedMs = Math.min(normalMs, this.valueMs * MAX_FACTOR);
    this.valueMs += (boundedMs - this.valueMs) * gain;
  }
}
