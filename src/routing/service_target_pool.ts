/**
 * Targets of one service as seen by one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {DrainFlags, HealthTable, type HealthEvent} from '../health/index.js';
import {longLaneTargets} from '../limits/index.js';
import type {KindPreset, ListedVm, ServicePreset} from '../preset/index.js';
import {decay, type DecayingSum} from './decaying_sum.js';
import {
  createRoutingPolicy,
  leastLoaded,
  type RoutingPolicy,
  type TargetView,
} from './routing_policy.js';
import {TargetLoad, type OtherLoad} from './target_load.js';
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
  /** Number of targets that are compared for a request. */
  readonly sampleSize: number;
  /** Age at which a report counts half against the mean, for the order. */
  readonly orderHalfLifeMs: number;
  /** Age at which a report counts half, for the answer `full`. */
  readonly fullHalfLifeMs: number;
}

/**
 * Parameters in use; `docs/routing.md` holds the measurements. The load of a
 * target changes within tens of milliseconds, so an old report soon says less
 * than the mean. A target is taken to be full only on recent evidence:
 * requests held back by mistake cost more than a short queue in a target.
 */
export const DEFAULT_ROUTING_TUNING: RoutingTuning = {
  sampleSize: Number.POSITIVE_INFINITY,
  orderHalfLifeMs: 20,
  fullHalfLifeMs: 50,
};

/**
 * Greatest believed report in multiples of the slots. More makes no difference
 * to the choice, and a single misleading report must not raise the mean over
 * the service.
 */
const MAX_REPORT_SLOTS = 4;

/** Penalty for one refusal or failure in multiples of the slots. */
const PENALTY_SLOTS = 0.5;

/** Greatest penalty in multiples of the slots. */
const MAX_PENALTY_SLOTS = 4;

/** Attempts in flight per VM at a target on probation. */
const PROBATION_IN_FLIGHT = 1;

/** Events for the health chart; a cancelled attempt proves nothing. */
const EVENT_OF_OUTCOME: Readonly<
  Record<AttemptOutcome, HealthEvent | undefined>
> = {
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
  /** Deviations from {@link DEFAULT_ROUTING_TUNING}, for measurements. */
  readonly tuning?: Partial<RoutingTuning>;
}

/** A target of the list, or one that left with attempts in flight. */
interface PoolTarget {
  readonly targetId: string;
  listed: ListedVm | undefined;
  readonly load: TargetLoad;
}

/** Settings of the service that the pool uses. */
interface PoolPreset {
  readonly preset: ServicePreset;
  readonly vmCeiling: number;
  readonly maxOwnPerTarget: number;
}

/**
 * Pool of one service. Composes drain flags, health, load estimate, policy,
 * the subset for long kinds and the shares of this VM.
 *
 * Two estimates are made of a target. Both hold the own attempts in flight,
 * which are exact, the refusal penalty, and `others`: the newest report less
 * the own count at its instant, or nothing if no report came for 2 s.
 *
 * - For the order, `others` gives way to the mean of others over the service
 *   with a half-life of 20 ms of age. Whole requests are compared: VMs that
 *   share a report would otherwise all choose the same target by a fraction.
 * - For the answer `full`, `others` gives way to 0 with a half-life of 50 ms,
 *   so without recent reports nothing but the own count holds requests back.
 *
 * Each refusal and each failure adds a penalty of half the slots, which decays
 * with a half-life of 500 ms. Refusals raise the estimates, since the target
 * says that it is full. Failures only affect the order: they must not hold
 * requests back from idle targets.
 *
 * `choose` answers `full` only if every usable target is at this VM's
 * connection share, or if the policy limits the load, all estimates show no
 * free slot, and this VM has its guaranteed share ceil(slots x targets / live
 * VMs) in flight at the targets that the kind may use. A VM with that many
 * attempts in flight gets new reports as they end, so it learns of free slots;
 * reports that stay away expire.
 *
 * Failures that are attributed to a request and not to the target (implicated
 * fingerprints) are to be reported as `cancelled`.
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
  private settings: PoolPreset | undefined;
  private policy: RoutingPolicy | undefined;
  private liveVmCount: number | undefined;
  private hasSynced = false;
  /** Listed targets that do not drain; undefined after a change. */
  private openTargets: readonly PoolTarget[] | undefined;
  /** Targets for long kinds; undefined after a change. */
  private longLane: ReadonlySet<string> | undefined;

  /**
   * @param options - service and place of this VM
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
    this.settings = {preset, vmCeiling, maxOwnPerTarget: Math.max(share, 1)};
    this.health.configure(preset);
    this.longLane = undefined;
  }

  /**
   * Replaces the list of targets. The targets of the first list count as warm;
   * those that appear later get a slow start. A target that left keeps its
   * in-flight count until its attempts end, also if it comes back.
   *
   * @param targets - targets of the service in a list newer than the last one
   * @param nowMs - current instant in milliseconds
   */
  override syncTargets(targets: readonly ListedVm[], nowMs: InstantMs): void {
    const listedIds = new Set(targets.map(target => target.id));
    for (const target of [...this.targets.values()]) {
      if (target.listed !== undefined && !listedIds.has(target.targetId)) {
        this.unlist(target);
      }
    }
    for (const listed of targets) {
      this.list(listed, nowMs);
    }
    this.hasSynced ||= targets.length > 0;
    this.forgetOpenTargets();
  }

  override setLiveVmCount(count: number): void {
    this.liveVmCount = Math.max(count, 1);
  }

  /**
   * Chooses a target; does not reserve a slot.
   *
   * If all targets outside `excludedTargetIds` are ejected, an ejected one is
   * chosen. If all are excluded the answer is `none`, since waiting would not
   * change it. A pool without a preset answers `none`.
   *
   * @param options - kind, exclusions, instant and random source
   * @returns a target, or why there is none
   */
  override choose(options: ChooseOptions): TargetChoice {
    const {kind, excludedTargetIds, nowMs, random} = options;
    const {settings, policy} = this;
    if (settings === undefined || policy === undefined) {
      return {type: 'none'};
    }
    const permitted = this.permittedFor(kind);
    const remaining =
      excludedTargetIds.length === 0
        ? permitted
        : permitted.filter(
            target => !excludedTargetIds.includes(target.targetId),
          );
    if (remaining.length === 0) {
      return {type: 'none'};
    }
    const usable = this.healthyOf(remaining, nowMs).filter(
      target => target.load.ownInFlight < settings.maxOwnPerTarget,
    );
    const views = policy.limitsLoad
      ? this.estimatedViews(usable, settings.preset, nowMs)
      : usable.map(target => this.baselineView(target, settings.preset));
    const chosen =
      (views.length === 0 ? undefined : policy.choose(views, random)) ??
      this.guaranteedChoice(views, permitted, settings, random);
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
    target.load.changeOwn(1, nowMs);
  }

  /**
   * Ends an attempt that was counted by `onSent`; ignored for a target without
   * own attempts in flight.
   *
   * @param targetId - target of the attempt
   * @param outcome - how it ended
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
    target.load.changeOwn(-1, nowMs);
    if (target.listed === undefined) {
      this.dropIfIdle(target);
      return;
    }
    const event = EVENT_OF_OUTCOME[outcome];
    if (event === undefined) {
      return;
    }
    this.health.record(targetId, event, nowMs);
    if (event === 'refusal') {
      this.penalize(target.load.refusals, nowMs);
    } else if (event !== 'success') {
      this.penalize(target.load.failures, nowMs);
    }
  }

  /**
   * Takes in a load report. A load older than the newest known is ignored, but
   * not its drain signal. Loads that are not a number from 0 on are ignored.
   *
   * @param report - report of a target
   * @param nowMs - current instant in milliseconds
   */
  override onReport(report: LoadReport, nowMs: InstantMs): void {
    const target = this.targets.get(report.targetId);
    if (target?.listed === undefined) {
      return;
    }
    const measuredMs = Math.min(report.measuredMs, nowMs);
    if (report.draining) {
      this.markObserved(report.targetId, report.source, measuredMs, nowMs);
    }
    const inFlight = this.believed(report.inFlight);
    if (inFlight !== undefined) {
      target.load.onReport(inFlight, measuredMs);
    }
  }

  override markDraining(
    targetId: string,
    signal: DrainSignal,
    nowMs: InstantMs,
  ): void {
    this.markObserved(targetId, signal, nowMs, nowMs);
  }

  override onPause(nowMs: InstantMs): void {
    this.health.onPause(nowMs);
  }

  override statuses(nowMs: InstantMs): readonly TargetStatus[] {
    const mean = this.meanOthers(nowMs);
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
        estimatedInFlight: this.estimate(load, mean, nowMs),
        reportMeasuredMs: load.reportMeasuredMs,
      });
    }
    return statuses;
  }

  /** Adds or updates a listed target. */
  private list(listed: ListedVm, nowMs: InstantMs): void {
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

  /** Removes a target from the list; its attempts stay counted. */
  private unlist(target: PoolTarget): void {
    target.listed = undefined;
    this.health.remove(target.targetId);
    this.drains.remove(target.targetId);
    this.dropIfIdle(target);
  }

  /** Forgets a target that left and has no attempt in flight. */
  private dropIfIdle(target: PoolTarget): void {
    if (target.load.ownInFlight === 0) {
      this.targets.delete(target.targetId);
    }
  }

  /** Marks a listed target as draining. */
  private markObserved(
    targetId: string,
    signal: DrainSignal,
    observedMs: InstantMs,
    nowMs: InstantMs,
  ): void {
    if (this.targets.get(targetId)?.listed === undefined) {
      return;
    }
    if (this.drains.mark(targetId, signal, observedMs, nowMs)) {
      this.forgetOpenTargets();
    }
  }

  /** Drops what was derived from list and drain flags. */
  private forgetOpenTargets(): void {
    this.openTargets = undefined;
    this.longLane = undefined;
  }

  /** Listed targets that do not drain. */
  private open(): readonly PoolTarget[] {
    this.openTargets ??= [...this.targets.values()].filter(
      target =>
        target.listed !== undefined && !this.drains.isDraining(target.targetId),
    );
    return this.openTargets;
  }

  /** Targets that a kind may use, in any health. */
  private permittedFor(kind: KindPreset): readonly PoolTarget[] {
    const open = this.open();
    if (!kind.long || kind.urgent) {
      return open;
    }
    this.longLane ??= new Set(
      longLaneTargets({
        service: this.options.service,
        targetIds: open.map(target => target.targetId),
        share: this.settings?.preset.longLaneShare ?? 1,
      }),
    );
    const lane = this.longLane;
    return open.filter(target => lane.has(target.targetId));
  }

  /** Drops targets in bad health, unless none would be left. */
  private healthyOf(
    targets: readonly PoolTarget[],
    nowMs: InstantMs,
  ): readonly PoolTarget[] {
    if (this.health.allHealthy(nowMs)) {
      return targets;
    }
    const openIds = this.open().map(target => target.targetId);
    const ejected = this.health.ejectedAmong(openIds, nowMs);
    const healthy = targets.filter(
      ({targetId, load}) =>
        !ejected.has(targetId) &&
        (load.ownInFlight < PROBATION_IN_FLIGHT ||
          this.health.stateOf(targetId) !== 'probation'),
    );
    return healthy.length === 0 ? targets : healthy;
  }

  /** Least loaded target while this VM is below its guaranteed share. */
  private guaranteedChoice(
    views: readonly TargetView[],
    permitted: readonly PoolTarget[],
    settings: PoolPreset,
    random: RandomSource,
  ): TargetView | undefined {
    const slots = settings.preset.slotsPerTarget * permitted.length;
    const share = Math.ceil(slots / (this.liveVmCount ?? settings.vmCeiling));
    const ownInFlight = permitted.reduce(
      (sum, target) => sum + target.load.ownInFlight,
      0,
    );
    return ownInFlight < share ? leastLoaded(views, random) : undefined;
  }

  /** Views with estimates. */
  private estimatedViews(
    targets: readonly PoolTarget[],
    preset: ServicePreset,
    nowMs: InstantMs,
  ): readonly TargetView[] {
    const mean = this.meanOthers(nowMs);
    // Runs for each target and request, so nothing is computed twice.
    return targets.map(({targetId, listed, load}) => {
      const factor = this.health.slowStartFactor(targetId, nowMs);
      const others = load.others(nowMs);
      const refusals = load.refusals.valueAt(nowMs);
      return {
        targetId,
        sameFailureDomain: listed?.failureDomain === this.options.failureDomain,
        ownInFlight: load.ownInFlight,
        estimatedInFlight:
          load.ownInFlight + this.expectedOthers(others, mean) + refusals,
        confirmedInFlight:
          load.ownInFlight + this.confirmedOthers(others) + refusals,
        failurePenalty: load.failures.valueAt(nowMs),
        usableSlots: Math.max(preset.slotsPerTarget * factor, 1),
      };
    });
  }

  /** View without estimate. */
  private baselineView(target: PoolTarget, preset: ServicePreset): TargetView {
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

  /** Estimated requests of all VMs at a target, for the order. */
  private estimate(load: TargetLoad, mean: number, nowMs: InstantMs): number {
    const expected = this.expectedOthers(load.others(nowMs), mean);
    return load.ownInFlight + expected + load.refusals.valueAt(nowMs);
  }

  /** Expected load by others: the report, giving way to the mean. */
  private expectedOthers(others: OtherLoad | undefined, mean: number): number {
    const weight =
      others === undefined
        ? 0
        : decay(others.ageMs, this.tuning.orderHalfLifeMs);
    return weight * (others?.inFlight ?? 0) + (1 - weight) * mean;
  }

  /** Load by others for which there is recent evidence. */
  private confirmedOthers(others: OtherLoad | undefined): number {
    return others === undefined
      ? 0
      : others.inFlight * decay(others.ageMs, this.tuning.fullHalfLifeMs);
  }

  /** Mean load of others over the targets, newer reports weighing more. */
  private meanOthers(nowMs: InstantMs): number {
    let sum = 0;
    let weights = 0;
    for (const target of this.open()) {
      const others = target.load.others(nowMs);
      if (others !== undefined) {
        const weight = decay(others.ageMs, this.tuning.orderHalfLifeMs);
        sum += weight * others.inFlight;
        weights += weight;
      }
    }
    return weights === 0 ? 0 : sum / weights;
  }

  /** Adds the penalty for a refusal or failure. */
  private penalize(penalty: DecayingSum, nowMs: InstantMs): void {
    const slots = this.settings?.preset.slotsPerTarget ?? 1;
    penalty.add(slots * PENALTY_SLOTS, slots * MAX_PENALTY_SLOTS, nowMs);
  }

  /** Bounds a reported count; undefined if it is not a count. */
  private believed(inFlight: number): number | undefined {
    if (!Number.isFinite(inFlight) || inFlight < 0) {
      return undefined;
    }
    const slots = this.settings?.preset.slotsPerTarget;
    return slots === undefined
      ? inFlight
      : Math.min(inFlight, slots * MAX_REPORT_SLOTS);
  }
}
