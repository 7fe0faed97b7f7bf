/**
 * Target selection for one service at one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {DrainFlags, HealthTable, type HealthEvent} from '../health/index.js';
import {longLaneTargets} from '../limits/index.js';
import type {KindPreset, ListedVm, ServicePreset} from '../preset/index.js';
import {decayFactor, type DecayingSum} from './decaying_sum.js';
import {
  createRoutingPolicy,
  findLeastLoaded,
  type RoutingPolicy,
  type TargetCandidate,
} from './routing_policy.js';
import {TargetLoad, type PeerLoad} from './target_load.js';
import {
  TargetPool,
  type AttemptOutcome,
  type ChooseOptions,
  type DrainSignal,
  type LoadReport,
  type TargetChoice,
  type TargetStatus,
} from './types.js';

/** Parameters of `estimated-load`, varied by the benchmark. */
export interface RoutingTuning {
  /** Number of targets that are compared for each request. */
  readonly sampleSize: number;
  /**
   * Age at which a report and the service's mean have equal weight in the
   * ranking, in milliseconds.
   */
  readonly orderHalfLifeMs: number;
  /**
   * Age at which a report has half its weight in the decision that a target is
   * full, in milliseconds.
   */
  readonly fullHalfLifeMs: number;
}

/**
 * Default parameters. The load of a target changes within tens of milliseconds,
 * so an old report soon predicts less than the mean over the service. A target
 * counts as full only on recent evidence, since queuing requests needlessly
 * costs more than a short queue at a target. See `docs/routing.md`.
 */
export const DEFAULT_ROUTING_TUNING: RoutingTuning = {
  sampleSize: Number.POSITIVE_INFINITY,
  orderHalfLifeMs: 20,
  fullHalfLifeMs: 50,
};

/**
 * Upper bound of a reported load, in multiples of the slots. Higher values do
 * not change the selection, and a single misleading report must not raise the
 * mean over the service.
 */
const MAX_REPORT_SLOTS = 4;

/** Penalty for one refusal or failure, in multiples of the slots. */
const PENALTY_SLOTS = 0.5;

/** Upper bound of a penalty, in multiples of the slots. */
const MAX_PENALTY_SLOTS = 4;

/** Maximum attempts that a VM has in flight at a target on probation. */
const MAX_PROBATION_IN_FLIGHT = 1;

/** Health event of each outcome; a cancelled attempt is no evidence. */
const HEALTH_EVENTS: Readonly<Record<AttemptOutcome, HealthEvent | undefined>> =
  {
    answered: 'success',
    'server-error': 'failure',
    refused: 'refusal',
    unreachable: 'failure',
    lost: 'failure',
    'timed-out': 'silence',
    cancelled: undefined,
  };

/** Options of {@link ServiceTargetPool}. */
export interface ServiceTargetPoolOptions {
  readonly service: string;
  /** Failure domain of this VM. */
  readonly failureDomain: string;
  readonly vmId: string;
  /** Overrides of {@link DEFAULT_ROUTING_TUNING}, for benchmarks. */
  readonly tuning?: Partial<RoutingTuning>;
}

/** Listed target, or a removed one that still has attempts in flight. */
interface PoolTarget {
  readonly targetId: string;
  /** Entry in the VM list; undefined once the target was removed from it. */
  listed: ListedVm | undefined;
  readonly load: TargetLoad;
}

/** Preset of the service and the limits derived from it. */
interface PoolSettings {
  readonly preset: ServicePreset;
  readonly vmCeiling: number;
  /** Share of the connections per target that this VM may use. */
  readonly maxOwnInFlightPerTarget: number;
}

/**
 * Selects targets of one service. Combines drain flags, health, load estimates,
 * the routing policy, the long lane and the shares of this VM.
 *
 * Each target has two load estimates. Both include this VM's attempts in
 * flight, which are exact, the refusal penalty, and the peer load: the newest
 * report minus this VM's in-flight count when it was measured, or nothing if no
 * report arrived for 2 s.
 *
 * - In the ranking estimate, the peer load converges to the mean over the
 *   service with a half-life of 20 ms. Scores are rounded to whole requests:
 *   otherwise VMs that share a report would all choose the same target because
 *   of a fraction of a request.
 * - In the confirmed estimate, which decides whether a target is full, the peer
 *   load converges to 0 with a half-life of 50 ms. Without recent reports, only
 *   this VM's own attempts make requests wait.
 *
 * Each refusal or failure adds a penalty of half the slots, which decays with a
 * half-life of 500 ms. Refusals raise both estimates, since the target reported
 * that it is full. Failures affect only the ranking: they must not make
 * requests wait while targets are idle.
 *
 * `choose` returns `full` only if every usable target is at this VM's
 * connection share, or if the policy limits the load, no estimate shows a free
 * slot, and this VM has its guaranteed share ceil(slots x targets / live VMs)
 * in flight at the targets that the kind may use. A VM with that many attempts
 * in flight gets new reports as they end and so detects free slots; outdated
 * reports expire.
 *
 * Failures that are attributed to a request and not to the target (implicated
 * fingerprints) must be reported as `cancelled`.
 *
 * @example
 * ```ts
 * const pool = new ServiceTargetPool({
 *   service: 'growers-desk',
 *   failureDomain: 'a',
 *   vmId: 'e-01',
 * });
 * pool.applyPreset(preset, 30);
 * pool.syncTargets(listedTargets, nowMs);
 * const choice = pool.choose({kind, excludedTargetIds: [], nowMs, random});
 * ```
 */
export class ServiceTargetPool extends TargetPool {
  private readonly options: ServiceTargetPoolOptions;
  private readonly tuning: RoutingTuning;
  private readonly targets = new Map<string, PoolTarget>();
  private readonly health = new HealthTable({
    maxEjectedShare: 0,
    slowStartMs: 0,
  });
  private readonly drains = new DrainFlags();
  private settings: PoolSettings | undefined;
  private policy: RoutingPolicy | undefined;
  private liveVmCount: number | undefined;
  private hasSynced = false;
  /** Result of `routableTargets`; undefined after a change. */
  private cachedRoutableTargets: readonly PoolTarget[] | undefined;
  /** Targets that long kinds may use; undefined after a change. */
  private cachedLongLaneIds: ReadonlySet<string> | undefined;

  /**
   * @param options - see {@link ServiceTargetPoolOptions}
   */
  constructor(options: ServiceTargetPoolOptions) {
    super();
    this.options = options;
    this.tuning = {...DEFAULT_ROUTING_TUNING, ...options.tuning};
  }

  override applyPreset(preset: ServicePreset, vmCeiling: number): void {
    if (this.settings?.preset.routing !== preset.routing) {
      this.policy = createRoutingPolicy(preset.routing, this.tuning);
    }
    const share = Math.floor(preset.connectionsPerTarget / vmCeiling);
    this.settings = {
      preset,
      vmCeiling,
      maxOwnInFlightPerTarget: Math.max(share, 1),
    };
    this.health.configure(preset);
    this.cachedLongLaneIds = undefined;
  }

  /**
   * Replaces the list of targets. Targets of the first list count as warm;
   * those added later get a slow start. A removed target keeps its in-flight
   * count until its attempts end, even if it is listed again.
   *
   * @param targets - targets of the service in a newer VM list
   * @param nowMs - current instant in milliseconds
   */
  override syncTargets(targets: readonly ListedVm[], nowMs: InstantMs): void {
    const listedIds = new Set(targets.map(target => target.id));
    for (const target of [...this.targets.values()]) {
      if (target.listed !== undefined && !listedIds.has(target.targetId)) {
        this.delistTarget(target);
      }
    }
    for (const listed of targets) {
      this.upsertTarget(listed, nowMs);
    }
    this.hasSynced ||= targets.length > 0;
    this.invalidateCaches();
  }

  override setLiveVmCount(count: number): void {
    this.liveVmCount = Math.max(count, 1);
  }

  /**
   * Selects a target without reserving a slot.
   *
   * If all targets outside `excludedTargetIds` are ejected, an ejected one is
   * chosen. If all targets are excluded, the result is `none`, since waiting
   * would not help. Without a preset, the result is `none`.
   *
   * @param options - kind, exclusions, instant and random source
   * @returns the target, or the reason why there is none
   */
  override choose(options: ChooseOptions): TargetChoice {
    const {kind, excludedTargetIds, nowMs, random} = options;
    const {settings, policy} = this;
    if (settings === undefined || policy === undefined) {
      return {type: 'none'};
    }
    const permitted = this.permittedTargets(kind);
    const remaining =
      excludedTargetIds.length === 0
        ? permitted
        : permitted.filter(
            target => !excludedTargetIds.includes(target.targetId),
          );
    if (remaining.length === 0) {
      return {type: 'none'};
    }
    const usable = this.selectHealthy(remaining, nowMs).filter(
      target => target.load.ownInFlight < settings.maxOwnInFlightPerTarget,
    );
    const candidates = policy.limitsLoad
      ? this.estimatedCandidates(usable, settings.preset, nowMs)
      : usable.map(target => this.baselineCandidate(target, settings.preset));
    const chosen =
      (candidates.length === 0
        ? undefined
        : policy.choose(candidates, random)) ??
      this.chooseWithinGuaranteedShare(candidates, permitted, settings, random);
    return chosen === undefined
      ? {type: 'full'}
      : {type: 'target', targetId: chosen.targetId};
  }

  override onSent(targetId: string, nowMs: InstantMs): void {
    let target = this.targets.get(targetId);
    if (target === undefined) {
      target = {targetId, listed: undefined, load: new TargetLoad()};
      this.targets.set(targetId, target);
    }
    target.load.adjustOwnInFlight(1, nowMs);
  }

  /**
   * Ends an attempt that `onSent` counted. Does nothing if this VM has no
   * attempt in flight at the target.
   *
   * @param targetId - target of the attempt
   * @param outcome - outcome of the attempt
   * @param nowMs - current instant in milliseconds
   */
  override onFinished(
    targetId: string,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void {
    const target = this.targets.get(targetId);
    if (target === undefined || target.load.ownInFlight === 0) {
      return;
    }
    target.load.adjustOwnInFlight(-1, nowMs);
    if (target.listed === undefined) {
      this.deleteIfIdle(target);
      return;
    }
    const event = HEALTH_EVENTS[outcome];
    if (event === undefined) {
      return;
    }
    this.health.record(targetId, event, nowMs);
    if (event === 'refusal') {
      this.penalize(target.load.refusalPenalty, nowMs);
    } else if (event !== 'success') {
      this.penalize(target.load.failurePenalty, nowMs);
    }
  }

  /**
   * Records a load report. A load older than the newest recorded one is
   * ignored, but its drain signal is not. A load that is negative or not finite
   * is ignored.
   *
   * @param report - load report of a target
   * @param nowMs - current instant in milliseconds
   */
  override onReport(report: LoadReport, nowMs: InstantMs): void {
    const target = this.targets.get(report.targetId);
    if (target?.listed === undefined) {
      return;
    }
    const measuredMs = Math.min(report.measuredMs, nowMs);
    if (report.draining) {
      this.markDrainingSince(report.targetId, report.source, measuredMs, nowMs);
    }
    const inFlight = this.clampReportedInFlight(report.inFlight);
    if (inFlight !== undefined) {
      target.load.onReport(inFlight, measuredMs);
    }
  }

  override markDraining(
    targetId: string,
    signal: DrainSignal,
    nowMs: InstantMs,
  ): void {
    this.markDrainingSince(targetId, signal, nowMs, nowMs);
  }

  override onPause(nowMs: InstantMs): void {
    this.health.onPause(nowMs);
  }

  override statuses(nowMs: InstantMs): readonly TargetStatus[] {
    const meanPeerLoad = this.meanPeerLoad(nowMs);
    const statuses: TargetStatus[] = [];
    for (const {targetId, listed, load} of this.targets.values()) {
      if (listed === undefined) {
        continue;
      }
      statuses.push({
        targetId,
        host: listed.host,
        port: listed.port,
        health: this.health.stateOf(targetId),
        draining: this.drains.isDraining(targetId),
        ownInFlight: load.ownInFlight,
        estimatedInFlight: this.estimateInFlight(load, meanPeerLoad, nowMs),
        reportMeasuredMs: load.reportMeasuredMs,
      });
    }
    return statuses;
  }

  /** Adds a target of the VM list or updates it. */
  private upsertTarget(listed: ListedVm, nowMs: InstantMs): void {
    const known = this.targets.get(listed.id);
    if (known?.listed === undefined) {
      this.targets.set(listed.id, {
        targetId: listed.id,
        listed,
        load: known?.load ?? new TargetLoad(),
      });
      this.health.add(listed.id, nowMs, {cold: this.hasSynced});
    } else {
      known.listed = listed;
    }
    if (listed.state === 'leaving') {
      this.drains.mark(listed.id, 'vm-list', nowMs, nowMs);
    } else {
      this.drains.onListedLive(listed.id, nowMs);
    }
  }

  /** Removes a target from the list; its attempts in flight stay counted. */
  private delistTarget(target: PoolTarget): void {
    target.listed = undefined;
    this.health.remove(target.targetId);
    this.drains.remove(target.targetId);
    this.deleteIfIdle(target);
  }

  /** Deletes a removed target once it has no attempts in flight. */
  private deleteIfIdle(target: PoolTarget): void {
    if (target.load.ownInFlight === 0) {
      this.targets.delete(target.targetId);
    }
  }

  /** Marks a listed target as draining, by a signal given at `observedMs`. */
  private markDrainingSince(
    targetId: string,
    signal: DrainSignal,
    observedMs: InstantMs,
    nowMs: InstantMs,
  ): void {
    if (this.targets.get(targetId)?.listed === undefined) {
      return;
    }
    if (this.drains.mark(targetId, signal, observedMs, nowMs)) {
      this.invalidateCaches();
    }
  }

  /** Discards the sets derived from the VM list and the drain flags. */
  private invalidateCaches(): void {
    this.cachedRoutableTargets = undefined;
    this.cachedLongLaneIds = undefined;
  }

  /** Returns the listed targets that are not draining. */
  private routableTargets(): readonly PoolTarget[] {
    this.cachedRoutableTargets ??= [...this.targets.values()].filter(
      target =>
        target.listed !== undefined && !this.drains.isDraining(target.targetId),
    );
    return this.cachedRoutableTargets;
  }

  /** Returns the targets that a kind may use, regardless of health. */
  private permittedTargets(kind: KindPreset): readonly PoolTarget[] {
    const routable = this.routableTargets();
    if (!kind.long || kind.urgent) {
      return routable;
    }
    this.cachedLongLaneIds ??= new Set(
      longLaneTargets({
        service: this.options.service,
        targetIds: routable.map(target => target.targetId),
        share: this.settings?.preset.longLaneShare ?? 1,
      }),
    );
    const longLaneIds = this.cachedLongLaneIds;
    return routable.filter(target => longLaneIds.has(target.targetId));
  }

  /** Filters out unhealthy targets, unless none would remain. */
  private selectHealthy(
    targets: readonly PoolTarget[],
    nowMs: InstantMs,
  ): readonly PoolTarget[] {
    if (this.health.allHealthy(nowMs)) {
      return targets;
    }
    const routableIds = this.routableTargets().map(target => target.targetId);
    const ejected = this.health.ejectedAmong(routableIds, nowMs);
    const healthy = targets.filter(
      ({targetId, load}) =>
        !ejected.has(targetId) &&
        (load.ownInFlight < MAX_PROBATION_IN_FLIGHT ||
          this.health.stateOf(targetId) !== 'probation'),
    );
    return healthy.length === 0 ? targets : healthy;
  }

  /**
   * Selects the least loaded target while this VM is below its guaranteed
   * share.
   */
  private chooseWithinGuaranteedShare(
    candidates: readonly TargetCandidate[],
    permitted: readonly PoolTarget[],
    settings: PoolSettings,
    random: RandomSource,
  ): TargetCandidate | undefined {
    const slots = settings.preset.slotsPerTarget * permitted.length;
    const share = Math.ceil(slots / (this.liveVmCount ?? settings.vmCeiling));
    const ownInFlight = permitted.reduce(
      (sum, target) => sum + target.load.ownInFlight,
      0,
    );
    return ownInFlight < share
      ? findLeastLoaded(candidates, random)
      : undefined;
  }

  /** Creates candidates with load estimates. */
  private estimatedCandidates(
    targets: readonly PoolTarget[],
    preset: ServicePreset,
    nowMs: InstantMs,
  ): readonly TargetCandidate[] {
    const meanPeerLoad = this.meanPeerLoad(nowMs);
    // Hot path, runs for each target of a request: computes nothing twice.
    return targets.map(({targetId, listed, load}) => {
      const factor = this.health.slowStartFactor(targetId, nowMs);
      const peerLoad = load.peerLoad(nowMs);
      const refusals = load.refusalPenalty.valueAt(nowMs);
      return {
        targetId,
        sameFailureDomain: listed?.failureDomain === this.options.failureDomain,
        ownInFlight: load.ownInFlight,
        estimatedInFlight:
          load.ownInFlight +
          this.expectedPeerLoad(peerLoad, meanPeerLoad) +
          refusals,
        confirmedInFlight:
          load.ownInFlight + this.confirmedPeerLoad(peerLoad) + refusals,
        failurePenalty: load.failurePenalty.valueAt(nowMs),
        usableSlots: Math.max(preset.slotsPerTarget * factor, 1),
      };
    });
  }

  /** Creates a candidate without load estimates, for the baseline policies. */
  private baselineCandidate(
    target: PoolTarget,
    preset: ServicePreset,
  ): TargetCandidate {
    return {
      targetId: target.targetId,
      sameFailureDomain:
        target.listed?.failureDomain === this.options.failureDomain,
      ownInFlight: target.load.ownInFlight,
      estimatedInFlight: target.load.ownInFlight,
      confirmedInFlight: target.load.ownInFlight,
      failurePenalty: 0,
      usableSlots: preset.slotsPerTarget,
    };
  }

  /** Returns the ranking estimate: requests of all VMs at a target. */
  private estimateInFlight(
    load: TargetLoad,
    meanPeerLoad: number,
    nowMs: InstantMs,
  ): number {
    const expected = this.expectedPeerLoad(load.peerLoad(nowMs), meanPeerLoad);
    return load.ownInFlight + expected + load.refusalPenalty.valueAt(nowMs);
  }

  /** Returns the reported peer load, converging to the mean with age. */
  private expectedPeerLoad(
    peerLoad: PeerLoad | undefined,
    meanPeerLoad: number,
  ): number {
    const weight =
      peerLoad === undefined
        ? 0
        : decayFactor(peerLoad.ageMs, this.tuning.orderHalfLifeMs);
    return weight * (peerLoad?.inFlight ?? 0) + (1 - weight) * meanPeerLoad;
  }

  /** Returns the reported peer load, converging to 0 with age. */
  private confirmedPeerLoad(peerLoad: PeerLoad | undefined): number {
    return peerLoad === undefined
      ? 0
      : peerLoad.inFlight *
          decayFactor(peerLoad.ageMs, this.tuning.fullHalfLifeMs);
  }

  /** Returns the mean peer load over the targets, weighted by recency. */
  private meanPeerLoad(nowMs: InstantMs): number {
    let sum = 0;
    let weightSum = 0;
    for (const target of this.routableTargets()) {
      const peerLoad = target.load.peerLoad(nowMs);
      if (peerLoad !== undefined) {
        const weight = decayFactor(peerLoad.ageMs, this.tuning.orderHalfLifeMs);
        sum += weight * peerLoad.inFlight;
        weightSum += weight;
      }
    }
    return weightSum === 0 ? 0 : sum / weightSum;
  }

  /** Adds the penalty for one refusal or failure. */
  private penalize(penalty: DecayingSum, nowMs: InstantMs): void {
    const slots = this.settings?.preset.slotsPerTarget ?? 1;
    penalty.add(slots * PENALTY_SLOTS, slots * MAX_PENALTY_SLOTS, nowMs);
  }

  /** Caps a reported count; undefined if it is negative or not finite. */
  private clampReportedInFlight(inFlight: number): number | undefined {
    if (!Number.isFinite(inFlight) || inFlight < 0) {
      return undefined;
    }
    const slots = this.settings?.preset.slotsPerTarget;
    return slots === undefined
      ? inFlight
      : Math.min(inFlight, slots * MAX_REPORT_SLOTS);
  }
}
