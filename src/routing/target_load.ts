/**
 * Load estimate of one target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {DecayingSum} from './decaying_sum.js';

/**
 * Age from which a report counts as absent, in milliseconds. Without this
 * bound a service whose last reports all said "full" would look full until the
 * next report.
 */
const REPORT_EXPIRY_MS = 2_000;

/**
 * Half-life of the penalties, in milliseconds: longer than a short overload,
 * shorter than the first ejection.
 */
const PENALTY_HALF_LIFE_MS = 500;

/**
 * Load that others cause at a target.
 *
 * @internal
 */
export interface OtherLoad {
  readonly inFlight: number;
  /** Time since it was measured, in milliseconds. */
  readonly ageMs: number;
}

/** A change of the own in-flight count. */
interface OwnChange {
  readonly atMs: InstantMs;
  readonly delta: number;
}

/** Newest report of a target. */
interface KnownReport {
  readonly inFlight: number;
  readonly measuredMs: InstantMs;
}

/**
 * Own in-flight count, newest report and penalties of a target.
 *
 * The own count is always exact. Only the remainder of a report, the load that
 * others cause, grows old.
 *
 * @internal
 */
export class TargetLoad {
  /** Own attempts in flight. */
  ownInFlight = 0;
  /** Requests by which recent refusals raise the estimate. */
  readonly refusals = new DecayingSum(PENALTY_HALF_LIFE_MS);
  /** Requests by which recent failures raise the score, not the estimate. */
  readonly failures = new DecayingSum(PENALTY_HALF_LIFE_MS);
  private changes: OwnChange[] = [];
  private report: KnownReport | undefined;
  /** Own count at the instant of the report. */
  private ownAtReport = 0;

  /** Instant of the newest report; undefined if there is none. */
  get reportMeasuredMs(): InstantMs | undefined {
    return this.report?.measuredMs;
  }

  /**
   * Changes the own in-flight count.
   *
   * @param delta - 1 for an attempt sent, -1 for one that ended
   * @param nowMs - current instant in milliseconds
   */
  changeOwn(delta: 1 | -1, nowMs: InstantMs): void {
    this.ownInFlight += delta;
    this.changes.push({atMs: nowMs, delta});
    if (this.report?.measuredMs === nowMs) {
      this.ownAtReport = this.ownInFlight;
    }
    const oldest = this.changes[0];
    if (oldest !== undefined && nowMs - oldest.atMs > 2 * REPORT_EXPIRY_MS) {
      this.dropChangesBefore(nowMs - REPORT_EXPIRY_MS);
    }
  }

  /**
   * Takes in a report unless a newer one is known.
   *
   * @param inFlight - requests running at or queued in the target
   * @param measuredMs - instant of the measurement
   */
  onReport(inFlight: number, measuredMs: InstantMs): void {
    if (this.report !== undefined && measuredMs < this.report.measuredMs) {
      return;
    }
    this.report = {inFlight, measuredMs};
    this.dropChangesBefore(measuredMs);
    const since = this.changes.reduce((sum, change) => sum + change.delta, 0);
    this.ownAtReport = this.ownInFlight - since;
  }

  /**
   * Computes the load that others cause by the newest report.
   *
   * @param nowMs - current instant in milliseconds
   * @returns load and age; undefined if nothing new enough is known
   */
  others(nowMs: InstantMs): OtherLoad | undefined {
    const ageMs = Math.max(nowMs - (this.report?.measuredMs ?? -Infinity), 0);
    if (this.report === undefined || ageMs > REPORT_EXPIRY_MS) {
      return undefined;
    }
    const inFlight = Math.max(this.report.inFlight - this.ownAtReport, 0);
    return {inFlight, ageMs};
  }

  /** Drops changes at or before an instant. */
  private dropChangesBefore(atMs: InstantMs): void {
    const first = this.changes.findIndex(change => change.atMs > atMs);
    this.changes = first < 0 ? [] : this.changes.slice(first);
  }
}
