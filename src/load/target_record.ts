/**
 * State of one target, as seen by one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {OutcomeCount, TargetLoadReport} from '../fleet/index.js';
import type {KnownTarget} from '../registry/index.js';
import {FailureShare} from './failure_share.js';
import type {AvoidedTarget, LoadReport, TargetOutcome} from './types.js';

/** Time for which starts and ends of attempts of this VM are kept. */
const OWN_HISTORY_MS = 1_500;

/** Time for which a target that could not be reached is avoided. */
const UNREACHABLE_MS = 1_500;

/** Half-life of the weight of a reported load. */
const LOAD_HALF_LIFE_MS = 1_500;

/** Lower bound of the failure share of an unreachable target. */
const UNREACHABLE_FAILURE_SHARE = 0.95;

interface InFlightChange {
  readonly atMs: InstantMs;
  /** 1 for the start of an attempt, -1 for its end. */
  readonly delta: 1 | -1;
}

/** Load, reachability and failures of one target. */
export class TargetRecord {
  private registration: KnownTarget;
  private isListed = true;
  private hasDrainNotice = false;
  private ownCount = 0;
  private inFlightChanges: InFlightChange[] = [];
  private report: LoadReport | undefined;
  private unreachableUntilMs: InstantMs = -Infinity;
  private peerUnreachableUntilMs: InstantMs = -Infinity;
  private reportedColdUntilMs: InstantMs = -Infinity;
  private readonly failures = new FailureShare();
  private answeredCount = 0;
  private failedCount = 0;

  /**
   * @param target - target as registered
   * @param rank - rank of the target in subsets of this VM
   */
  constructor(
    target: KnownTarget,
    readonly rank: string,
  ) {
    this.registration = target;
  }

  /** The target as last registered. */
  get target(): KnownTarget {
    return this.registration;
  }

  /** False once the target is no longer registered. */
  get isRegistered(): boolean {
    return this.isListed;
  }

  /** True if the target may receive requests. */
  get isEligible(): boolean {
    return this.isListed && !this.isDraining;
  }

  /** True if the target drains, by its registration or its responses. */
  get isDraining(): boolean {
    return this.registration.draining || this.hasDrainNotice;
  }

  /** Open attempts of this VM at the target. */
  get ownInFlight(): number {
    return this.ownCount;
  }

  /** Last reported slowness; 1 without a report. */
  get slowness(): number {
    return this.report?.slowness ?? 1;
  }

  /** Returns whether the target is cold, by its registration or a probe. */
  isCold(nowMs: InstantMs): boolean {
    const {coldUntilMs} = this.registration;
    return Math.max(coldUntilMs, this.reportedColdUntilMs) > nowMs;
  }

  /** Records what a probe told about the time until the target is warm. */
  onColdReport(remainingMs: number, nowMs: InstantMs): void {
    this.reportedColdUntilMs = nowMs + remainingMs;
  }

  /** Replaces the registration; a new start of the target resets its state. */
  register(target: KnownTarget): void {
    if (target.startedMs !== this.registration.startedMs) {
      // An earlier start does no more work for its requests.
      this.ownCount = 0;
      this.reportedColdUntilMs = -Infinity;
      this.inFlightChanges = [];
      this.report = undefined;
      this.failures.clear();
      this.unreachableUntilMs = -Infinity;
      this.peerUnreachableUntilMs = -Infinity;
    }
    this.registration = target;
    this.isListed = true;
  }

  /** Marks the target as no longer registered. */
  unregister(): void {
    this.isListed = false;
  }

  /** Sets whether the registered start has announced that it drains. */
  setDrainNotice(hasNotice: boolean): void {
    this.hasDrainNotice = hasNotice;
  }

  /** Records the start of an attempt. */
  onSent(nowMs: InstantMs): void {
    this.ownCount += 1;
    this.recordChange(1, nowMs);
  }

  /** Records the end of an attempt; ignores one at an earlier start. */
  onEnded(
    outcome: TargetOutcome,
    nowMs: InstantMs,
    startedMs = this.registration.startedMs,
  ): void {
    if (startedMs !== this.registration.startedMs) {
      return;
    }
    this.ownCount = Math.max(0, this.ownCount - 1);
    this.recordChange(-1, nowMs);
    if (outcome === 'unreachable') {
      this.unreachableUntilMs = nowMs + UNREACHABLE_MS;
    } else if (outcome === 'answered') {
      this.unreachableUntilMs = -Infinity;
      this.answeredCount += 1;
      this.failures.add(1, 0, nowMs);
    } else if (outcome !== 'withdrawn') {
      this.failedCount += 1;
      this.failures.add(0, 1, nowMs);
    }
  }

  /**
   * Records a load report.
   *
   * @returns false if the known report is as new or newer
   */
  onLoadReport(report: LoadReport): boolean {
    if (
      this.report !== undefined &&
      this.report.measuredMs >= report.measuredMs
    ) {
      return false;
    }
    this.report = report;
    return true;
  }

  /** Records whether a probe reached the target. */
  onProbed(isReachable: boolean, nowMs: InstantMs): void {
    this.unreachableUntilMs = isReachable ? -Infinity : nowMs + UNREACHABLE_MS;
  }

  /** Records the reachability and failures that the probing VM observed. */
  onPeerReport(
    {isReachable, failureShare}: TargetLoadReport,
    nowMs: InstantMs,
  ): void {
    // Does not clear `unreachableUntilMs`: paths differ between VMs.
    this.peerUnreachableUntilMs = isReachable
      ? -Infinity
      : nowMs + UNREACHABLE_MS;
    this.failures.setPeerShare(failureShare, nowMs);
  }

  /** Adds outcomes of another VM's attempts. */
  onPeerOutcomes(outcome: OutcomeCount, nowMs: InstantMs): void {
    this.failures.add(outcome.answeredCount, outcome.failedCount, nowMs);
  }

  /** Returns the age of the load report; infinite without one. */
  loadAgeMs(nowMs: InstantMs): number {
    return this.report === undefined
      ? Infinity
      : Math.max(0, nowMs - this.report.measuredMs);
  }

  /**
   * Returns the expected number of requests at the target. With the age of its
   * report, the expectation approaches the mean of the service.
   *
   * @param meanLoadShare - requests per slot at targets of the service
   * @param nowMs - current instant in milliseconds
   */
  inFlight(meanLoadShare: number, nowMs: InstantMs): number {
    const meanCount = meanLoadShare * this.registration.slots;
    if (this.report === undefined) {
      return Math.max(this.ownCount, meanCount);
    }
    const {running, waiting, measuredMs} = this.report;
    const deltaSinceReport = this.inFlightChanges.reduce(
      (sum, {atMs, delta}) => (atMs > measuredMs ? sum + delta : sum),
      0,
    );
    const weight = 0.5 ** ((nowMs - measuredMs) / LOAD_HALF_LIFE_MS);
    const reported = running + waiting + deltaSinceReport;
    const expected = reported * weight + meanCount * (1 - weight);
    return Math.max(this.ownCount, expected);
  }

  /** Returns why this VM avoids the target; undefined if it does not. */
  avoidedReason(nowMs: InstantMs): AvoidedTarget['reason'] | undefined {
    if (this.registration.draining) {
      return 'draining';
    }
    if (this.hasDrainNotice) {
      return 'announced-drain';
    }
    return this.isReachable(nowMs) ? undefined : 'unreachable';
  }

  /** Returns the probability that an attempt fails, 0 to 1. */
  failureShare(nowMs: InstantMs): number {
    const share = this.failures.share(nowMs);
    return this.isReachable(nowMs)
      ? share
      : Math.max(share, UNREACHABLE_FAILURE_SHARE);
  }

  /** Discards the failures that this VM has seen since its links failed. */
  forgetFailures(): void {
    this.unreachableUntilMs = -Infinity;
    this.failures.clear();
    this.failedCount = 0;
  }

  /** Returns the report to send to peers; undefined if there is none. */
  toReport(nowMs: InstantMs): TargetLoadReport | undefined {
    const {report} = this;
    const isReachable = this.isReachable(nowMs);
    if (report === undefined && isReachable) {
      return undefined;
    }
    return {
      targetId: this.registration.targetId,
      running: report?.running ?? 0,
      waiting: report?.waiting ?? 0,
      slots: report?.slots ?? this.registration.slots,
      slowness: report?.slowness ?? 1,
      ageMs: report === undefined ? 0 : Math.max(0, nowMs - report.measuredMs),
      failureShare: this.failures.localShare(nowMs),
      isReachable,
    };
  }

  /** Returns the outcomes since the last call, if any, and resets them. */
  takeOutcomes(): OutcomeCount | undefined {
    const {answeredCount, failedCount} = this;
    if (answeredCount + failedCount === 0) {
      return undefined;
    }
    this.answeredCount = 0;
    this.failedCount = 0;
    const {targetId} = this.registration;
    return {targetId, answeredCount, failedCount};
  }

  private isReachable(nowMs: InstantMs): boolean {
    return (
      nowMs >= this.unreachableUntilMs && nowMs >= this.peerUnreachableUntilMs
    );
  }

  private recordChange(delta: 1 | -1, nowMs: InstantMs): void {
    const oldestMs = nowMs - OWN_HISTORY_MS;
    this.inFlightChanges = this.inFlightChanges.filter(
      ({atMs}) => atMs > oldestMs,
    );
    this.inFlightChanges.push({atMs: nowMs, delta});
  }
}
