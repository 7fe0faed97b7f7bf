/**
 * Estimate of the number of VMs that share a budget.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Window of the greatest fleet size. Spending by VMs that are gone stays in the
 * window of a budget for up to this long.
 */
const PEAK_WINDOW_MS = 12_000;

/** Time for which a reported size of a failure domain is valid. */
const DOMAIN_SIZE_TTL_MS = 5_000;

/**
 * Greatest size that is accepted. Budgets are divided by the size, so that one
 * corrupt report would stop all resends and probes for the peak window.
 */
const MAX_FLEET_SIZE = 100_000;

interface SizeSample {
  readonly size: number;
  readonly observedMs: InstantMs;
}

/** Tracks the fleet size per failure domain and its recent maximum. */
export class FleetSizeEstimator {
  private readonly domains = new Map<string, SizeSample>();
  private peaks: SizeSample[] = [];

  /**
   * Records the size of a failure domain.
   *
   * @param failureDomain - name of the domain
   * @param size - number of VMs in it; 0 for unknown
   * @param nowMs - current instant in milliseconds
   */
  recordDomainSize(
    failureDomain: string,
    size: number,
    nowMs: InstantMs,
  ): void {
    if (size > 0 && size <= MAX_FLEET_SIZE) {
      this.domains.set(failureDomain, {size, observedMs: nowMs});
      this.recordFleetSize(this.current(nowMs), nowMs);
    }
  }

  /**
   * Records the size of the whole fleet.
   *
   * @param size - number of VMs; 0 for unknown
   * @param nowMs - current instant in milliseconds
   */
  recordFleetSize(size: number, nowMs: InstantMs): void {
    if (size <= 0 || size > MAX_FLEET_SIZE) {
      return;
    }
    // Keeps only samples greater than every later one.
    this.peaks = this.peaks.filter(peak => peak.size > size);
    this.peaks.push({size, observedMs: nowMs});
  }

  /**
   * Returns the sum of the valid domain sizes.
   *
   * @param nowMs - current instant in milliseconds
   * @returns number of VMs, at least 1
   */
  current(nowMs: InstantMs): number {
    let sum = 0;
    for (const {size, observedMs} of this.domains.values()) {
      if (nowMs - observedMs <= DOMAIN_SIZE_TTL_MS) {
        sum += size;
      }
    }
    return Math.max(1, sum);
  }

  /**
   * Returns the greatest size within the window.
   *
   * @param nowMs - current instant in milliseconds
   * @returns number of VMs, at least 1
   */
  upperBound(nowMs: InstantMs): number {
    this.peaks = this.peaks.filter(
      ({observedMs}) => nowMs - observedMs <= PEAK_WINDOW_MS,
    );
    return this.peaks.reduce((most, {size}) => Math.max(most, size), 1);
  }
}
