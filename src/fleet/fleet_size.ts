/**
 * Number of VMs that share a budget.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Time for which the greatest size counts. What VMs that are gone have spent
 * stays in the window of a budget for up to this long.
 */
const MEMORY_MS = 12_000;

/** A reported size of a failure domain counts for this time. */
const DOMAIN_MEMORY_MS = 5_000;

interface Sighting {
  readonly size: number;
  readonly seenMs: InstantMs;
}

/** Greatest size of the fleet within the last seconds. */
export class FleetSize {
  private readonly domains = new Map<string, Sighting>();
  private peaks: Sighting[] = [];

  /**
   * Notes the size of a failure domain.
   *
   * @param failureDomain - name of the domain
   * @param size - number of VMs in it; 0 for unknown
   * @param nowMs - current instant in milliseconds
   */
  onDomain(failureDomain: string, size: number, nowMs: InstantMs): void {
    if (size > 0) {
      this.domains.set(failureDomain, {size, seenMs: nowMs});
      this.onReported(this.current(nowMs), nowMs);
    }
  }

  /**
   * Notes the size of the whole fleet.
   *
   * @param size - number of VMs; 0 for unknown
   * @param nowMs - current instant in milliseconds
   */
  onReported(size: number, nowMs: InstantMs): void {
    if (size <= 0) {
      return;
    }
    // Keeps only sightings that no later one reaches.
    this.peaks = this.peaks.filter(peak => peak.size > size);
    this.peaks.push({size, seenMs: nowMs});
  }

  /**
   * Sums the domains.
   *
   * @param nowMs - current instant in milliseconds
   * @returns number of VMs, at least 1
   */
  current(nowMs: InstantMs): number {
    let sum = 0;
    for (const {size, seenMs} of this.domains.values()) {
      if (nowMs - seenMs <= DOMAIN_MEMORY_MS) {
        sum += size;
      }
    }
    return Math.max(1, sum);
  }

  /**
   * Reads the greatest size of the last seconds.
   *
   * @param nowMs - current instant in milliseconds
   * @returns number of VMs, at least 1
   */
  upperBound(nowMs: InstantMs): number {
    this.peaks = this.peaks.filter(({seenMs}) => nowMs - seenMs <= MEMORY_MS);
    return this.peaks.reduce((most, {size}) => Math.max(most, size), 1);
  }
}
