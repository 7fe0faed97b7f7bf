/**
 * Load of one target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {DecayingSum} from './decaying_sum.js';

/**
 * Age after which a report is ignored, in milliseconds. Otherwise a service
 * whose last reports all showed full targets would count as full until the next
 * report.
 */
const REPORT_EXPIRY_MS = 2_000;

/**
 * Half-life of the penalties, in milliseconds. It exceeds a brief overload and
 * is shorter than the first ejection.
 */
const PENALTY_HALF_LIFE_MS = 500;

/**
 * Load that other VMs put on a target.
 *
 * @internal
 */
export interface PeerLoad {
  readonly inFlight: number;
  /** Age of the measurement, in milliseconds. */
  readonly ageMs: number;
}

/** Change of this VM's in-flight count. */
interface InFlightChange {
  readonly atMs: InstantMs;
  readonly delta: number;
}

/** Newest load report of a target. */
interface LatestReport {
  readonly inFlight: number;
  readonly measuredMs: InstantMs;
}

/**
 * Tracks this VM's in-flight count, the newest report and the penalties of a
 * target.
 *
 * The in-flight count is always exact. Only the rest of a report, the load from
 * other VMs, becomes outdated.
 *
 * @internal
 */
export class TargetLoad {
  /** Attempts that this VM has in flight. */
  ownInFlight = 0;
  /** Penalty for recent refusals, in requests; raises the load estimate. */
  readonly refusalPenalty = new DecayingSum(PENALTY_HALF_LIFE_MS);
  /** Penalty for recent failures, in requests; affects only the ranking. */
  readonly failurePenalty = new DecayingSum(PENALTY_HALF_LIFE_MS);
  private changes: InFlightChange[] = [];
  private latestReport: LatestReport | undefined;
  /** Value of `ownInFlight` when the report was measured. */
  private ownInFlightAtReport = 0;

  /** Instant at which the newest report was measured; undefined without one. */
  get reportMeasuredMs(): InstantMs | undefined {
    return this.latestReport?.measuredMs;
  }

  /**
   * Adjusts this VM's in-flight count.
   *
   * @param delta - 1 for an attempt that was sent, -1 for one that ended
   * @param nowMs - current instant in milliseconds
   */
  adjustOwnInFlight(delta: 1 | -1, nowMs: InstantMs): void {
    this.ownInFlight += delta;
    this.changes.push({atMs: nowMs, delta});
    if (this.latestReport?.measuredMs === nowMs) {
      this.ownInFlightAtReport = this.ownInFlight;
    }
    const oldest = this.changes[0];
    if (oldest !== undefined && nowMs - oldest.atMs > 2 * REPORT_EXPIRY_MS) {
      this.dropChangesUntil(nowMs - REPORT_EXPIRY_MS);
    }
  }

  /**
   * Stores a report unless a newer one is stored.
   *
   * @param inFlight - requests running at or queued in the target
   * @param measuredMs - instant of the measurement
   */
  onReport(inFlight: number, measuredMs: InstantMs): void {
    if (
      this.latestReport !== undefined &&
      measuredMs < this.latestReport.measuredMs
    ) {
      return;
    }
    this.latestReport = {inFlight, measuredMs};
    this.dropChangesUntil(measuredMs);
    const deltaSinceReport = this.changes.reduce(
      (sum, change) => sum + change.delta,
      0,
    );
    this.ownInFlightAtReport = this.ownInFlight - deltaSinceReport;
  }

  /**
   * Returns the load from other VMs according to the newest report.
   *
   * @param nowMs - current instant in milliseconds
   * @returns load and age; undefined without a report or if it has expired
   */
  peerLoad(nowMs: InstantMs): PeerLoad | undefined {
    const ageMs = Math.max(
      nowMs - (this.latestReport?.measuredMs ?? -Infinity),
      0,
    );
    if (this.latestReport === undefined || ageMs > REPORT_EXPIRY_MS) {
      return undefined;
    }
    const inFlight = Math.max(
      this.latestReport.inFlight - this.ownInFlightAtReport,
      0,
    );
    return {inFlight, ageMs};
  }

  /** Drops changes up to and including an instant. */
  private dropChangesUntil(atMs: InstantMs): void {
    const firstKept = this.changes.findIndex(change => change.atMs > atMs);
    this.changes = firstKept < 0 ? [] : this.changes.slice(firstKept);
  }
}
