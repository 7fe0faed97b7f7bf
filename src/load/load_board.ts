/**
 * Load and health of all targets, as seen by one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {OutcomeCount, TargetLoadReport} from '../fleet/index.js';
import {DrainNotices, type DrainNotice} from '../health/index.js';
import type {ColdTarget, ServiceLoad} from '../limits/index.js';
import type {KnownTarget} from '../registry/index.js';
import {expectedDurationMs, SPEED_PERIOD_MS} from './forecast.js';
import {SLOW_THRESHOLD, SpeedStatistics} from './speed_statistics.js';
import {TargetRecord} from './target_record.js';
import {selectSubset, subsetRank} from './target_subset.js';
import type {
  AvoidedTarget,
  LoadReport,
  TargetForecast,
  TargetOutcome,
} from './types.js';

/** Mean slowness before the first report. */
const INITIAL_MEAN_SLOWNESS = 1.3;

/** Least slowness that is accepted of a peer; 0 would mean no time at all. */
const MIN_SLOWNESS = 0.01;

/** Weight of one report in the mean speed. */
const MEAN_GAIN = 0.01;

/** Weight of one report in the mean load of a service. */
const LOAD_GAIN = 0.05;

/** Failure share from which on a target does not count as capacity. */
const MAX_FAILURE_SHARE = 0.7;

/** Options of {@link LoadBoard}. */
export interface LoadBoardOptions {
  readonly failureDomain: string;
  /** Identity of this VM, which determines its subsets; '' by default. */
  readonly vmKey?: string;
}

/** Targets of a service that may receive requests. */
interface ServiceTargets {
  /** Targets that this VM uses. */
  readonly records: readonly TargetRecord[];
  /** Slots of all targets, divided by those of the used ones. */
  readonly slotRatio: number;
}

const NO_TARGETS: ServiceTargets = {records: [], slotRatio: 1};

/**
 * Load of all targets, from reports on responses and probes and from peers,
 * corrected by the attempts that this VM has started or ended since.
 */
export class LoadBoard {
  private readonly records = new Map<string, TargetRecord>();
  private byService = new Map<string, ServiceTargets>();
  private usedTargetIds: ReadonlySet<string> = new Set();
  private readonly meanLoadShares = new Map<string, number>();
  private readonly notices = new DrainNotices();
  private evacuatedDomains: ReadonlySet<string> = new Set();
  private coldRates: ReadonlyMap<string, number> = new Map();
  private readonly speeds = new SpeedStatistics();
  private meanSpeed = 1 / INITIAL_MEAN_SLOWNESS;

  /** @param options - failure domain of this VM */
  constructor(private readonly options: LoadBoardOptions) {}

  /**
   * Replaces the registered targets. The record of a removed target is kept
   * while attempts of this VM are open at it.
   *
   * @param targets - all registered targets
   */
  syncTargets(targets: ReadonlyMap<string, KnownTarget>): void {
    for (const [targetId, record] of this.records) {
      if (!targets.has(targetId)) {
        record.unregister();
        if (record.ownInFlight === 0) {
          this.records.delete(targetId);
        }
      }
    }
    for (const target of targets.values()) {
      const record = this.records.get(target.targetId);
      if (record === undefined) {
        const rank = subsetRank(this.options.vmKey ?? '', target.targetId);
        this.records.set(target.targetId, new TargetRecord(target, rank));
      } else {
        record.register(target);
      }
    }
    this.applyDrainNotices();
  }

  /**
   * Sets the failure domains whose targets get no further requests.
   *
   * @param failureDomains - domains that are out of service
   */
  setEvacuatedDomains(failureDomains: ReadonlySet<string>): void {
    this.evacuatedDomains = failureDomains;
    this.divideServices();
  }

  /**
   * Sets what cold targets take.
   *
   * @param perSecond - requests per second from all VMs, by name of the service
   */
  setColdRates(perSecond: ReadonlyMap<string, number>): void {
    this.coldRates = perSecond;
  }

  /** Records for how long a target stays cold, as told by its probe. */
  onColdReport(targetId: string, remainingMs: number, nowMs: InstantMs): void {
    this.records.get(targetId)?.onColdReport(remainingMs, nowMs);
  }

  /** Counts the cold targets whose rate is limited. */
  coldTargetCount(nowMs: InstantMs): number {
    let count = 0;
    for (const record of this.records.values()) {
      count += Number(this.coldTargetOf(record, nowMs) !== undefined);
    }
    return count;
  }

  /** Notices of targets that drain, oldest first. */
  get drainNotices(): readonly DrainNotice[] {
    return this.notices.all;
  }

  /**
   * Records that a target has announced a drain.
   *
   * @param notice - notice of the target, or of a peer about it
   * @returns true unless it was known
   */
  onDrainNotice(notice: DrainNotice): boolean {
    const isNew = this.notices.record(notice);
    if (isNew) {
      this.applyDrainNotices();
    }
    return isNew;
  }

  /** Returns the notices recorded since the last call. */
  takeDrainNotices(): readonly DrainNotice[] {
    return this.notices.takeRecorded();
  }

  /**
   * Drops notices that are no longer needed.
   *
   * @param targets - registered targets by id
   * @param nowMs - current instant in milliseconds
   */
  pruneDrainNotices(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): void {
    this.notices.prune(targets, nowMs);
  }

  /** Returns whether a target drains, by its registration or its responses. */
  isDraining(targetId: string): boolean {
    return this.records.get(targetId)?.isDraining ?? false;
  }

  /**
   * Returns whether a target gets no further requests, because it drains or its
   * failure domain is out of service.
   */
  isClosed(targetId: string): boolean {
    const record = this.records.get(targetId);
    return (
      record !== undefined && (record.isDraining || this.isEvacuated(record))
    );
  }

  /**
   * Finds a target by id.
   *
   * @param targetId - id of the target
   * @returns the target as last registered, or undefined if it has no record
   */
  target(targetId: string): KnownTarget | undefined {
    return this.records.get(targetId)?.target;
  }

  /**
   * Lists the targets of a service that this VM may send requests to.
   *
   * @param service - name of the service
   * @returns targets in no particular order
   */
  eligibleTargets(service: string): readonly KnownTarget[] {
    return this.targetsOf(service).records.map(({target}) => target);
  }

  /** Lists the registered targets that this VM avoids. */
  avoidedTargets(nowMs: InstantMs): readonly AvoidedTarget[] {
    return [...this.records.values()].flatMap(record => {
      const reason = this.isEvacuated(record)
        ? 'evacuated'
        : record.avoidedReason(nowMs);
      return record.isRegistered && reason !== undefined
        ? [{targetId: record.target.targetId, reason}]
        : [];
    });
  }

  /** Returns whether this VM may send requests to a target. */
  isUsed(targetId: string): boolean {
    return this.usedTargetIds.has(targetId);
  }

  /**
   * Sums the load of a service, extrapolated from the targets that this VM uses.
   *
   * @param service - name of the service
   * @param nowMs - current instant in milliseconds
   * @returns slots and in-flight requests of all VMs
   */
  serviceLoad(service: string, nowMs: InstantMs): ServiceLoad {
    const {records, slotRatio} = this.targetsOf(service);
    let slotCount = 0;
    let inFlightCount = 0;
    for (const record of records) {
      if (record.failureShare(nowMs) < MAX_FAILURE_SHARE) {
        slotCount += record.target.slots;
        inFlightCount += this.inFlightOf(record, nowMs);
      }
    }
    return {
      slotCount: slotCount * slotRatio,
      inFlightCount: inFlightCount * slotRatio,
    };
  }

  /** Returns the number of open attempts of this VM at a service. */
  ownInFlight(service: string): number {
    const {records} = this.targetsOf(service);
    return records.reduce((sum, record) => sum + record.ownInFlight, 0);
  }

  /** Records the start of an attempt at a target. */
  onSent(targetId: string, nowMs: InstantMs): void {
    this.records.get(targetId)?.onSent(nowMs);
  }

  /**
   * Records the end of an attempt.
   *
   * @param targetId - target of the attempt
   * @param outcome - how it ended
   * @param nowMs - current instant in milliseconds
   * @param startedMs - start of the target that the attempt was sent to; the
   *     registered one by default
   */
  onEnded(
    targetId: string,
    outcome: TargetOutcome,
    nowMs: InstantMs,
    startedMs?: number,
  ): void {
    const record = this.records.get(targetId);
    if (record === undefined) {
      return;
    }
    record.onEnded(outcome, nowMs, startedMs);
    if (!record.isRegistered && record.ownInFlight === 0) {
      this.records.delete(targetId);
    }
  }

  /** Records a load report unless a newer one is known. */
  onLoadReport(targetId: string, report: LoadReport): void {
    const record = this.records.get(targetId);
    if (record?.onLoadReport(report) === true) {
      const speed = 1 / Math.max(1, report.slowness);
      this.meanSpeed += (speed - this.meanSpeed) * MEAN_GAIN;
      this.speeds.observe(report.slowness);
      this.observeLoad(record.target.service, report);
    }
  }

  /** Records whether a probe reached a target. */
  onProbed(targetId: string, isReachable: boolean, nowMs: InstantMs): void {
    this.records.get(targetId)?.onProbed(isReachable, nowMs);
  }

  /**
   * Discards what this VM's own attempts and probes tell about failures, because
   * they were those of its links.
   */
  forgetFailures(): void {
    this.records.forEach(record => record.forgetFailures());
  }

  /** Records the load, failures and reachability that a peer observed. */
  onPeerReport(report: TargetLoadReport, nowMs: InstantMs): void {
    const {targetId, ageMs} = report;
    const measuredMs = nowMs - ageMs;
    const record = this.records.get(targetId);
    if (record === undefined) {
      return;
    }
    const slowness = Math.max(MIN_SLOWNESS, report.slowness);
    this.onLoadReport(targetId, {...report, slowness, measuredMs});
    record.onPeerReport(report, nowMs);
  }

  /** Adds outcomes of another VM's attempts. */
  onPeerOutcomes(outcome: OutcomeCount, nowMs: InstantMs): void {
    this.records.get(outcome.targetId)?.onPeerOutcomes(outcome, nowMs);
  }

  /**
   * Forecasts the duration of a request at each target that may receive it.
   *
   * @param options - service, work of the request in milliseconds, and targets
   *     to exclude
   * @param nowMs - current instant in milliseconds
   * @returns forecasts in no particular order
   */
  forecasts(
    options: {
      readonly service: string;
      readonly workMs: number;
      readonly excludedTargetIds: readonly string[];
    },
    nowMs: InstantMs,
  ): readonly TargetForecast[] {
    const {service, workMs, excludedTargetIds} = options;
    const forecasts: TargetForecast[] = [];
    for (const record of this.targetsOf(service).records) {
      if (!excludedTargetIds.includes(record.target.targetId)) {
        forecasts.push(this.forecast(record, workMs, nowMs));
      }
    }
    return forecasts;
  }

  /**
   * Lists the load reports to send to peers.
   *
   * @param failureDomain - domain of the targets; undefined for all
   * @param nowMs - current instant in milliseconds
   * @returns reports; targets that were neither reported on nor unreachable are
   *     omitted
   */
  reports(
    failureDomain: string | undefined,
    nowMs: InstantMs,
  ): readonly TargetLoadReport[] {
    const reports: TargetLoadReport[] = [];
    for (const record of this.records.values()) {
      const isWanted =
        failureDomain === undefined ||
        record.target.failureDomain === failureDomain;
      if (record.isEligible && isWanted) {
        const report = record.toReport(nowMs);
        if (report !== undefined) {
          reports.push(report);
        }
      }
    }
    return reports;
  }

  /**
   * Returns and resets the outcomes of this VM's attempts since the last call.
   */
  takeOutcomes(): readonly OutcomeCount[] {
    const outcomes: OutcomeCount[] = [];
    for (const record of this.records.values()) {
      const outcome = record.takeOutcomes();
      if (outcome !== undefined) {
        outcomes.push(outcome);
      }
    }
    return outcomes;
  }

  private targetsOf(service: string): ServiceTargets {
    return this.byService.get(service) ?? NO_TARGETS;
  }

  private applyDrainNotices(): void {
    for (const record of this.records.values()) {
      record.setDrainNotice(this.notices.covers(record.target));
    }
    this.divideServices();
  }

  private isEvacuated({target}: TargetRecord): boolean {
    return this.evacuatedDomains.has(target.failureDomain);
  }

  private divideServices(): void {
    const {failureDomain} = this.options;
    const eligible = new Map<string, TargetRecord[]>();
    for (const record of this.records.values()) {
      if (record.isEligible && !this.isEvacuated(record)) {
        const {service} = record.target;
        const records = eligible.get(service) ?? [];
        records.push(record);
        eligible.set(service, records);
      }
    }
    this.byService = new Map();
    const usedTargetIds = new Set<string>();
    for (const [service, all] of eligible) {
      const candidates = all.map(record => ({
        record,
        rank: record.rank,
        isLocalDomain: record.target.failureDomain === failureDomain,
      }));
      const records = selectSubset(candidates).map(({record}) => record);
      const slotRatio = slotCountOf(all) / Math.max(1, slotCountOf(records));
      this.byService.set(service, {records, slotRatio});
      records.forEach(({target}) => usedTargetIds.add(target.targetId));
    }
    this.usedTargetIds = usedTargetIds;
  }

  private observeLoad(
    service: string,
    {running, waiting, slots}: LoadReport,
  ): void {
    const mean = this.meanLoadShares.get(service) ?? 0;
    const share = (running + waiting) / Math.max(1, slots);
    this.meanLoadShares.set(service, mean + (share - mean) * LOAD_GAIN);
  }

  private inFlightOf(record: TargetRecord, nowMs: InstantMs): number {
    const {service} = record.target;
    // The targets of an undivided service are reported on all the time.
    const isDivided = this.targetsOf(service).slotRatio > 1;
    const mean = isDivided ? (this.meanLoadShares.get(service) ?? 0) : 0;
    return record.inFlight(mean, nowMs);
  }

  private coldTargetOf(
    record: TargetRecord,
    nowMs: InstantMs,
  ): ColdTarget | undefined {
    const {targetId, startedMs, service} = record.target;
    const perSecond = this.coldRates.get(service);
    return perSecond === undefined || !record.isCold(nowMs)
      ? undefined
      : {targetId, startedMs, perSecond};
  }

  private forecast(
    record: TargetRecord,
    workMs: number,
    nowMs: InstantMs,
  ): TargetForecast {
    const {target} = record;
    const meanSlowness = 1 / this.meanSpeed;
    const inFlight = this.inFlightOf(record, nowMs);
    const loadAgeMs = record.loadAgeMs(nowMs);
    const slowness = Number.isFinite(loadAgeMs)
      ? record.slowness
      : meanSlowness;
    const durationMs = expectedDurationMs({
      workMs,
      inFlight,
      slots: target.slots,
      slowness,
      ageMs: loadAgeMs,
      meanSlowness,
      isCold: record.isCold(nowMs),
    });
    return {
      targetId: target.targetId,
      cold: this.coldTargetOf(record, nowMs),
      durationMs,
      failureShare: record.failureShare(nowMs),
      isLocalDomain: target.failureDomain === this.options.failureDomain,
      excessCount: Math.max(0, inFlight + 1 - target.slots),
      slots: target.slots,
      freeSlots: Math.max(0, target.slots - inFlight),
      loadAgeMs,
      slowness,
      slowdownShare:
        slowness > SLOW_THRESHOLD
          ? 0
          : this.speeds.slowShare * Math.min(1, loadAgeMs / SPEED_PERIOD_MS),
      slowedDurationMs:
        (durationMs / Math.max(1, slowness)) * this.speeds.slowFactor,
    };
  }
}

function slotCountOf(records: readonly TargetRecord[]): number {
  return records.reduce((sum, {target}) => sum + target.slots, 0);
}
