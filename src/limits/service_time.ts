/**
 * Online estimate of the service time of one kind.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Observations whose median starts the estimate. */
const WARM_UP_COUNT = 5;

/**
 * Step of the estimate in natural-log units. The median moves by 5% per
 * observation whatever the size of the observation, so that one request that
 * runs 50 times longer moves it by 5% and a tenfold change takes about 50
 * observations.
 */
const LOG_STEP = 0.1;

/** Lower bound, so that a step in log units always has an effect. */
const MIN_SERVICE_MS = 0.01;

/**
 * Time without observations after which the median halves, again and again.
 * An estimate that is too high rejects all requests and would otherwise never
 * see a new observation.
 */
const UNOBSERVED_HALF_LIFE_MS = 1000;

/** Tracks one quantile with bounded steps in log space. */
class QuantileTracker {
  private value: number;

  constructor(
    private readonly quantile: number,
    startValue: number,
  ) {
    this.value = startValue;
  }

  observe(sampleMs: number): void {
    const step = sampleMs > this.value ? this.quantile : this.quantile - 1;
    this.value = Math.max(
      MIN_SERVICE_MS,
      this.value * Math.exp(LOG_STEP * step),
    );
  }

  get current(): number {
    return this.value;
  }
}

/**
 * Median and 99th percentile of the service times of one kind.
 *
 * @example
 * ```ts
 * const estimator = new ServiceTimeEstimator();
 * estimator.observe(12.5, nowMs);
 * const expectedMs = estimator.medianMs(nowMs);
 * ```
 */
export class ServiceTimeEstimator {
  private readonly warmUp: number[] = [];
  private median: QuantileTracker | undefined;
  private tail: QuantileTracker | undefined;
  private observedMs: InstantMs | undefined;

  /**
   * Takes in the time of an answered request.
   *
   * @param durationMs - time from the first byte sent to the complete answer
   * @param nowMs - current instant in milliseconds
   */
  observe(durationMs: number, nowMs: InstantMs): void {
    this.observedMs = nowMs;
    if (this.median !== undefined && this.tail !== undefined) {
      this.median.observe(durationMs);
      this.tail.observe(durationMs);
      return;
    }
    this.warmUp.push(durationMs);
    if (this.warmUp.length >= WARM_UP_COUNT) {
      this.median = new QuantileTracker(0.5, this.warmUpMedian());
      this.tail = new QuantileTracker(0.99, Math.max(...this.warmUp));
    }
  }

  /**
   * Takes in a request that was given up. Its true time is unknown but no
   * shorter, so it counts only if it is longer than the estimate.
   *
   * @param durationMs - time from the first byte sent until it was given up
   * @param nowMs - current instant in milliseconds
   */
  observeUnfinished(durationMs: number, nowMs: InstantMs): void {
    if (durationMs > this.medianMs(nowMs)) {
      this.observe(durationMs, nowMs);
    }
  }

  /**
   * Estimates the usual time.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the median in milliseconds; 0 without any observation
   */
  medianMs(nowMs: InstantMs): number {
    if (this.observedMs === undefined) {
      return 0;
    }
    const medianMs = this.median?.current ?? this.warmUpMedian();
    const idleMs = Math.max(0, nowMs - this.observedMs);
    return medianMs * 2 ** -Math.floor(idleMs / UNOBSERVED_HALF_LIFE_MS);
  }

  /**
   * Estimates the time that one request in a hundred exceeds.
   *
   * @returns the 99th percentile in milliseconds; 0 without any observation
   */
  get p99Ms(): number {
    return this.tail?.current ?? Math.max(0, ...this.warmUp);
  }

  private warmUpMedian(): number {
    const sorted = [...this.warmUp].sort((a, b) => a - b);
    const middle = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
    return Math.max(MIN_SERVICE_MS, middle);
  }
}
