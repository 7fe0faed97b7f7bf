/**
 * Time that the requests of a route take on an undisturbed target.
 *
 * @packageDocumentation
 */

/** Weight of a new observation. */
const GAIN = 0.1;

/** Observations until the gain has settled. */
const SETTLING_COUNT = 10;

/** Longer observations count as this multiple of the estimate. */
const MAX_FACTOR = 3;

/** Share of the objective that work is assumed to take before any observation. */
const INITIAL_SHARE = 0.35;

/** Running mean, robust against a few long requests. */
export class WorkEstimate {
  private valueMs: number;
  private count = 0;

  /** @param objectiveMs - time within which an answer has its full worth */
  constructor(objectiveMs: number) {
    this.valueMs = objectiveMs * INITIAL_SHARE;
  }

  /** Estimated time in milliseconds. */
  get workMs(): number {
    return this.valueMs;
  }

  /**
   * Takes in the duration of an answered attempt.
   *
   * @param durationMs - time from sending to the answer
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
