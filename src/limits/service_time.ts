/**
 * Online estimation of the service time of a kind.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Observations whose median initializes the estimate. */
const WARM_UP_COUNT = 5;

/**
 * Step of the estimate in natural-log units. The median moves by 5% per
 * observation regardless of its size, so that a request that runs 50 times
 * longer moves it by 5%, and a tenfold change takes about 50 observations.
 */
const LOG_STEP = 0.1;

/** Lower bound of the estimate, so that a step in log units has an effect. */
const MIN_SERVICE_TIME_MS = 0.01;

/**
 * Time without observations after which the median halves, repeatedly. An
 * estimate that is too high makes admission reject all requests, and would
 * otherwise never get a new observation.
 */
const UNOBSERVED_HALF_LIFE_MS = 1000;

/** Tracks a quantile with bounded steps in log space. */
class QuantileTracker {
  private valueMs: number;

  constructor(
    private readonly quantile: number,
    startMs: number,
  ) {
    this.valueMs = startMs;
  }

  observe(sampleMs: number): void {
    const step = sampleMs > this.valueMs ? this.quantile : this.quantile - 1;
    this.valueMs = Math.max(
      MIN_SERVICE_TIME_MS,
      this.valueMs * Math.exp(LOG_STEP * step),
    );
  }

  get currentMs(): number {
    return this.valueMs;
  }
}

/**
 * Estimates the median and 99th percentile of the service times of a kind.
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
   * Adds the service time of an answered request.
   *
   * @param durationMs - time from the first byte sent to the complete response
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
   * Adds a request that was given up. Its service time is unknown but no
   * shorter than `durationMs`, so it counts only if that exceeds the estimate.
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
   * Estimates the median service time.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the median in milliseconds; 0 without any observation
   */
  medianMs(nowMs: InstantMs): number {
    if (this.observedMs === undefined) {
      return 0;
    }
    const medianMs = this.median?.currentMs ?? this.warmUpMedian();
    const idleMs = Math.max(0, nowMs - this.observedMs);
    return medianMs * 2 ** -Math.floor(idleMs / UNOBSERVED_HALF_LIFE_MS);
  }

  /**
   * Estimates the service time that one request in a hundred exceeds.
   *
   * @returns the 99th percentile in milliseconds; 0 without any observation
   */
  get p99Ms(): number {
    return this.tail?.currentMs ?? Math.max(0, ...this.warmUp);
  }

  private warmUpMedian(): number {
    const sorted = [...this.warmUp].sort((a, b) => a - b);
    const middle = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
    return Math.max(MIN_SERVICE_TIME_MS, middle);
  }
}
