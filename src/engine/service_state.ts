/**
 * State of one service inside the engine.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {
  longLaneTargets,
  RequestQueue,
  ServiceTimeEstimator,
} from '../limits/index.js';
import type {KindPreset, ListedVm, Preset} from '../preset/index.js';
import type {ProbeScheduler} from '../probing/index.js';
import {RetryBudget} from '../retries/index.js';
import type {DrainSignal, LoadReport, TargetPool} from '../routing/index.js';
import type {ActiveRequest} from './active_request.js';
import {ServiceSnapshot} from './service_snapshot.js';

/** Silence on a connection, in multiples of the kind's p99, that is a fault. */
const SILENCE_FACTOR = 3;

/** Growth of the limit of silence with each lost attempt of a request. */
const SILENCE_GROWTH = 4;

/**
 * Limit of silence as a share of the remaining time while the service time of
 * the kind is unknown. Most of the time is left for another attempt.
 */
const UNOBSERVED_SILENCE_SHARE = 0.25;

/** Shorter silence is never a fault; covers pauses of a healthy target. */
const MIN_SILENCE_MS = 250;

/** A listed target; also a candidate for the probe scheduler. */
export interface KnownTarget {
  readonly targetId: string;
  readonly host: string;
  readonly port: number;
  readonly isLeaving: boolean;
  reportMeasuredMs: InstantMs | undefined;
  /** Requests of this VM that have an attempt at the target. */
  readonly requests: Set<ActiveRequest>;
  /** First sign of draining that this VM saw itself. */
  drainSeen: DrainSignal | undefined;
  /** Newest report of an own probe. */
  probed: LoadReport | undefined;
}

/**
 * Targets, queue, budget and estimates of one service.
 *
 * @internal
 */
export class ServiceState {
  readonly name: string;
  readonly pool: TargetPool;
  readonly scheduler: ProbeScheduler;
  readonly queue = new RequestQueue<ActiveRequest>();
  readonly budget: RetryBudget;
  /** Undefined while the active preset does not name the service. */
  snapshot: ServiceSnapshot | undefined;
  private targetsById = new Map<string, KnownTarget>();
  /** Targets of the subset for long kinds; undefined after a change. */
  private longLane: readonly string[] | undefined;
  private readonly estimators = new Map<string, ServiceTimeEstimator>();
  private attemptCount = 0;

  constructor(options: {
    readonly name: string;
    readonly pool: TargetPool;
    readonly scheduler: ProbeScheduler;
    readonly nowMs: InstantMs;
  }) {
    this.name = options.name;
    this.pool = options.pool;
    this.scheduler = options.scheduler;
    this.budget = new RetryBudget({share: 0, startMs: options.nowMs});
  }

  /** Attempts of this VM in flight at all targets. */
  get inFlight(): number {
    return this.attemptCount;
  }

  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.targetsById;
  }

  /** Takes over the service's part of a preset, or its absence. */
  applyPreset(preset: Preset, nowMs: InstantMs): void {
    const service = preset.services.get(this.name);
    if (service === undefined) {
      this.snapshot = undefined;
      return;
    }
    this.snapshot = new ServiceSnapshot(service, preset.vmCeiling);
    this.longLane = undefined;
    this.budget.setShare(service.retryBudgetShare);
    this.pool.applyPreset(service, preset.vmCeiling);
    this.scheduler.setBudget(
      service.probeBudgetPerSecond,
      preset.vmCeiling,
      nowMs,
    );
  }

  /** Adds, updates and removes targets after a new VM list. */
  syncTargets(vms: readonly ListedVm[], nowMs: InstantMs): void {
    const listed = vms.filter(
      vm => vm.role === 'target' && vm.service === this.name,
    );
    this.pool.syncTargets(listed, nowMs);
    const targets = new Map<string, KnownTarget>();
    for (const vm of listed) {
      targets.set(vm.id, updateTarget(this.targetsById.get(vm.id), vm));
    }
    for (const [targetId, target] of this.targetsById) {
      // Attempts at a target that left the list still need their entry.
      if (!targets.has(targetId) && target.requests.size > 0) {
        targets.set(targetId, {...target, isLeaving: true});
      }
    }
    this.targetsById = targets;
    this.longLane = undefined;
  }

  /**
   * Targets that may run long kinds, in the view of this VM; empty if all may.
   * The pool's subset can differ by one target for each drain flag that only
   * the pool knows to be cleared.
   */
  longLaneIds(): readonly string[] {
    this.longLane ??= this.chooseLongLane();
    return this.longLane;
  }

  private chooseLongLane(): readonly string[] {
    const targetIds = [...this.targetsById.values()]
      .filter(target => !target.isLeaving && target.drainSeen === undefined)
      .map(target => target.targetId);
    const share = this.snapshot?.preset.longLaneShare ?? 1;
    const lane = longLaneTargets({service: this.name, targetIds, share});
    return lane.length === targetIds.length ? [] : lane;
  }

  /** Estimated service time of a kind in milliseconds; 0 if unknown. */
  estimateMs(kind: KindPreset, nowMs: InstantMs): number {
    return this.estimators.get(kind.name)?.medianMs(nowMs) ?? 0;
  }

  /**
   * Limit of silence on a connection. It grows with each attempt that was lost,
   * since an estimate from few observations can be far too short: a slow kind
   * would lose one attempt after the other. For a kind that was not observed
   * yet it is a share of the remaining time, and only for the first attempt.
   */
  silenceLimitMs(
    kind: KindPreset,
    options: {readonly remainingMs: number; readonly lostCount: number},
  ): number | undefined {
    const {remainingMs, lostCount} = options;
    const p99Ms = this.estimators.get(kind.name)?.p99Ms ?? 0;
    if (p99Ms > 0) {
      const limitMs = Math.max(MIN_SILENCE_MS, p99Ms * SILENCE_FACTOR);
      return Math.round(limitMs * SILENCE_GROWTH ** lostCount);
    }
    if (lostCount > 0) {
      return undefined;
    }
    const shareMs = Math.round(remainingMs * UNOBSERVED_SILENCE_SHARE);
    return Math.max(MIN_SILENCE_MS, shareMs);
  }

  /** Estimator of a kind, created on first use. */
  estimatorOf(kind: KindPreset): ServiceTimeEstimator {
    let estimator = this.estimators.get(kind.name);
    if (estimator === undefined) {
      estimator = new ServiceTimeEstimator();
      this.estimators.set(kind.name, estimator);
    }
    return estimator;
  }

  /** Counts an attempt of a request at a target. */
  addAttempt(target: KnownTarget, request: ActiveRequest): void {
    target.requests.add(request);
    this.attemptCount += 1;
  }

  /** Ends what `addAttempt` counted. */
  removeAttempt(targetId: string, request: ActiveRequest): void {
    this.targetsById.get(targetId)?.requests.delete(request);
    this.attemptCount -= 1;
  }

  /** Takes in a load report and the drain flag in it. */
  onReport(report: LoadReport, signal: DrainSignal, nowMs: InstantMs): void {
    const target = this.targetsById.get(report.targetId);
    if (target === undefined) {
      return;
    }
    this.pool.onReport(report, nowMs);
    const previousMs = target.reportMeasuredMs ?? -Infinity;
    target.reportMeasuredMs = Math.max(previousMs, report.measuredMs);
    if (report.source === 'probe') {
      target.probed = report;
    }
    if (report.draining) {
      this.markDraining(report.targetId, signal, nowMs);
    }
  }

  /** Marks a target as draining for the pool and, if seen here, for peers. */
  markDraining(targetId: string, signal: DrainSignal, nowMs: InstantMs): void {
    this.pool.markDraining(targetId, signal, nowMs);
    const target = this.targetsById.get(targetId);
    if (target !== undefined && signal !== 'peer') {
      target.drainSeen ??= signal;
      this.longLane = undefined;
    }
  }
}

function updateTarget(old: KnownTarget | undefined, vm: ListedVm): KnownTarget {
  return {
    targetId: vm.id,
    host: vm.host,
    port: vm.port,
    isLeaving: vm.state === 'leaving',
    reportMeasuredMs: old?.reportMeasuredMs,
    requests: old?.requests ?? new Set(),
    drainSeen: old?.drainSeen,
    probed: old?.probed,
  };
}
