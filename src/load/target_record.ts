/**
 * What a VM knows of one target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {OutcomeCount, TargetObservation} from '../fleet/index.js';
import type {KnownTarget} from '../registry/index.js';
import {FailureShare} from './failure_share.js';
import type {LoadSample, TargetOutcome} from './types.js';

/** Own sends and ends are remembered for this time. */
const OWN_HISTORY_MS = 1_500;

/** A target that could not be reached is avoided for this time. */
const UNREACHABLE_MS = 1_500;

/** A reported load loses half of its weight in this time. */
const LOAD_HALF_LIFE_MS = 1_500;

/** Share of failures that an unreachable target is assumed to have. */
const UNREACHABLE_SHARE = 0.95;

interface OwnStep {
  readonly atMs: InstantMs;
  readonly change: 1 | -1;
}

/** Load, reachability and failures of one target. */
export class TargetRecord {
  private registered: KnownTarget;
  private isListed = true;
  private own = 0;
  private steps: OwnStep[] = [];
  private sample: LoadSample | undefined;
  private unreachableUntilMs: InstantMs = -Infinity;
  private peerUnreachableUntilMs: InstantMs = -Infinity;
  private readonly failures = new FailureShare();
  private answeredCount = 0;
  private failedCount = 0;

  /** @param target - target as registered */
  constructor(target: KnownTarget) {
    this.registered = target;
  }

  /** The target as last registered. */
  get target(): KnownTarget {
    return this.registered;
  }

  /** False once the target is no longer registered. */
  get isRegistered(): boolean {
    return this.isListed;
  }

  /** True if the target may get requests. */
  get isOpen(): boolean {
    return this.isListed && !this.registered.draining;
  }

  /** Attempts of this VM at the target. */
  get ownInFlight(): number {
    return this.own;
  }

  /** Slowness that the target stated last. */
  get slowness(): number {
    return this.sample?.slowness ?? 1;
  }

  /** Takes over a changed registration. */
  register(target: KnownTarget): void {
    if (target.bornMs !== this.registered.bornMs) {
      this.sample = undefined;
      this.failures.clear();
      this.unreachableUntilMs = -Infinity;
      this.peerUnreachableUntilMs = -Infinity;
    }
    this.registered = target;
    this.isListed = true;
  }

  /** Notes that the target is no longer registered. */
  unregister(): void {
    this.isListed = false;
  }

  /** Counts an attempt. */
  onSent(nowMs: InstantMs): void {
    this.own += 1;
    this.addStep(1, nowMs);
  }

  /** Ends an attempt. */
  onEnded(outcome: TargetOutcome, nowMs: InstantMs): void {
    this.own = Math.max(0, this.own - 1);
    this.addStep(-1, nowMs);
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
   * Takes in a load.
   *
   * @returns false if a newer one is known
   */
  onSample(sample: LoadSample): boolean {
    if (
      this.sample !== undefined &&
      this.sample.measuredMs >= sample.measuredMs
    ) {
      return false;
    }
    this.sample = sample;
    return true;
  }

  /** Takes in whether a probe reached the target. */
  onProbed(isReachable: boolean, nowMs: InstantMs): void {
    this.unreachableUntilMs = isReachable ? -Infinity : nowMs + UNREACHABLE_MS;
  }

  /** Takes in what the VM that probes the target says of it. */
  onPeerView(
    {isReachable, failureShare}: TargetObservation,
    nowMs: InstantMs,
  ): void {
    // What this VM found out itself stays: paths differ between VMs.
    this.peerUnreachableUntilMs = isReachable
      ? -Infinity
      : nowMs + UNREACHABLE_MS;
    this.failures.setPeerShare(failureShare, nowMs);
  }

  /** Takes in outcomes of another VM's attempts. */
  onPeerOutcomes(outcome: OutcomeCount, nowMs: InstantMs): void {
    this.failures.add(outcome.answeredCount, outcome.failedCount, nowMs);
  }

  /** Age of the load; infinite without one. */
  loadAgeMs(nowMs: InstantMs): number {
    return this.sample === undefined
      ? Infinity
      : Math.max(0, nowMs - this.sample.measuredMs);
  }

  /** Requests that are expected at the target now. */
  inFlight(nowMs: InstantMs): number {
    if (this.sample === undefined) {
      return this.own;
    }
    const {running, waiting, measuredMs} = this.sample;
    const sinceThen = this.steps.reduce(
      (sum, {atMs, change}) => (atMs > measuredMs ? sum + change : sum),
      0,
    );
    const weight = 0.5 ** ((nowMs - measuredMs) / LOAD_HALF_LIFE_MS);
    const stated = (running + waiting + sinceThen) * weight;
    return Math.max(this.own, stated);
  }

  /** Probability that an attempt fails. */
  failureShare(nowMs: InstantMs): number {
    const share = this.failures.share(nowMs);
    return this.isReachable(nowMs) ? share : Math.max(share, UNREACHABLE_SHARE);
  }

  /** What peers should know; undefined if nothing was observed. */
  observation(nowMs: InstantMs): TargetObservation | undefined {
    const {sample} = this;
    const isReachable = this.isReachable(nowMs);
    if (sample === undefined && isReachable) {
      return undefined;
    }
    return {
      targetId: this.registered.targetId,
      running: sample?.running ?? 0,
      waiting: sample?.waiting ?? 0,
      slots: sample?.slots ?? this.registered.slots,
      slowness: sample?.slowness ?? 1,
      ageMs: sample === undefined ? 0 : Math.max(0, nowMs - sample.measuredMs),
      failureShare: this.failures.ownShare(nowMs),
      isReachable,
    };
  }

  /** Takes the outcomes that were not reported yet. */
  takeOutcomes(): OutcomeCount | undefined {
    const {answeredCount, failedCount} = this;
    if (answeredCount + failedCount === 0) {
      return undefined;
    }
    this.answeredCount = 0;
    this.failedCount = 0;
    const {targetId} = this.registered;
    return {targetId, answeredCount, failedCount};
  }

  private isReachable(nowMs: InstantMs): boolean {
    return (
      nowMs >= this.unreachableUntilMs && nowMs >= this.peerUnreachableUntilMs
    );
  }

  private addStep(change: 1 | -1, nowMs: InstantMs): void {
    const oldestMs = nowMs - OWN_HISTORY_MS;
    this.steps = this.steps.filter(({atMs}) => atMs > oldestMs);
    this.steps.push({atMs: nowMs, change});
  }
}
