/**
 * State of one service in the engine.
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

/** Silence limit of a connection, in multiples of the kind's p99. */
const SILENCE_FACTOR = 3;

/** Factor by which each lost attempt of a request raises its silence limit. */
const SILENCE_GROWTH = 4;

/**
 * Silence limit as a share of the remaining time while the service time of the
 * kind is unknown. Leaves most of the time for another attempt.
 */
const UNOBSERVED_SILENCE_SHARE = 0.25;

/** Lower bound of the silence limit; covers pauses of a healthy target. */
const MIN_SILENCE_MS = 250;

/** Target of a service; also a candidate for the probe scheduler. */
export interface ServiceTarget {
  readonly targetId: string;
  readonly host: string;
  readonly port: number;
  readonly isLeaving: boolean;
  reportMeasuredMs: InstantMs | undefined;
  /** Requests of this VM with an attempt at the target. */
  readonly requests: Set<ActiveRequest>;
  /** First drain signal that this VM observed itself. */
  ownDrainSignal: DrainSignal | undefined;
  /** Latest load report from a probe of this VM. */
  lastProbeReport: LoadReport | undefined;
}

/**
 * Holds targets, queue, retry budget and service time estimates of a service.
 *
 * @internal
 */
export class ServiceState {
  readonly name: string;
  readonly pool: TargetPool;
  readonly scheduler: ProbeScheduler;
  readonly queue = new RequestQueue<ActiveRequest>();
  readonly retryBudget: RetryBudget;
  /** Undefined while the active preset does not contain the service. */
  snapshot: ServiceSnapshot | undefined;
  private targetsById = new Map<string, ServiceTarget>();
  /** Cached long lane; undefined after a change of the targets. */
  private cachedLongLaneIds: readonly string[] | undefined;
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
    this.retryBudget = new RetryBudget({share: 0, startMs: options.nowMs});
  }

  /** Attempts of this VM in flight at all targets. */
  get inFlight(): number {
    return this.attemptCount;
  }

  get targets(): ReadonlyMap<string, ServiceTarget> {
    return this.targetsById;
  }

  /** Applies a preset; deactivates the service if the preset lacks it. */
  applyPreset(preset: Preset, nowMs: InstantMs): void {
    const service = preset.services.get(this.name);
    if (service === undefined) {
      this.snapshot = undefined;
      return;
    }
    this.snapshot = new ServiceSnapshot(service, preset.vmCeiling);
    this.cachedLongLaneIds = undefined;
    this.retryBudget.setShare(service.retryBudgetShare);
    this.pool.applyPreset(service, preset.vmCeiling);
    this.scheduler.setBudget(
      service.probeBudgetPerSecond,
      preset.vmCeiling,
      nowMs,
    );
  }

  /** Adds, updates and removes targets to match a new VM list. */
  syncTargets(vms: readonly ListedVm[], nowMs: InstantMs): void {
    const listed = vms.filter(
      vm => vm.role === 'target' && vm.service === this.name,
    );
    this.pool.syncTargets(listed, nowMs);
    const targets = new Map<string, ServiceTarget>();
    for (const vm of listed) {
      targets.set(vm.id, updateTarget(this.targetsById.get(vm.id), vm));
    }
    for (const [targetId, target] of this.targetsById) {
      // Attempts at an unlisted target still need its entry.
      if (!targets.has(targetId) && target.requests.size > 0) {
        targets.set(targetId, {...target, isLeaving: true});
      }
    }
    this.targetsById = targets;
    this.cachedLongLaneIds = undefined;
  }

  /**
   * Returns the targets that may run long kinds, as computed by this VM; empty
   * if all may. The lane of the pool can differ by one target for each drain
   * flag that has been cleared only in the pool.
   */
  longLaneIds(): readonly string[] {
    this.cachedLongLaneIds ??= this.computeLongLaneIds();
    return this.cachedLongLaneIds;
  }

  private computeLongLaneIds(): readonly string[] {
    const targetIds = [...this.targetsById.values()]
      .filter(
        target => !target.isLeaving && target.ownDrainSignal === undefined,
      )
      .map(target => target.targetId);
    const share = this.snapshot?.preset.longLaneShare ?? 1;
    const lane = longLaneTargets({service: this.name, targetIds, share});
    return lane.length === targetIds.length ? [] : lane;
  }

  /** Returns the estimated service time of a kind in ms; 0 if unknown. */
  estimateMs(kind: KindPreset, nowMs: InstantMs): number {
    return this.estimators.get(kind.name)?.medianMs(nowMs) ?? 0;
  }

  /**
   * Returns the silence limit of a connection in milliseconds; undefined for
   * none. It grows with each lost attempt, since an estimate from few
   * observations can be far too short: a slow kind would lose one attempt after
   * the other. For a kind without observations it is a share of the remaining
   * time, and applies only to the first attempt.
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

  /** Returns the estimator of a kind; creates it on first use. */
  estimatorOf(kind: KindPreset): ServiceTimeEstimator {
    let estimator = this.estimators.get(kind.name);
    if (estimator === undefined) {
      estimator = new ServiceTimeEstimator();
      this.estimators.set(kind.name, estimator);
    }
    return estimator;
  }

  /** Counts an attempt of a request at a target. */
  addAttempt(target: ServiceTarget, request: ActiveRequest): void {
    target.requests.add(request);
    this.attemptCount += 1;
  }

  /** Removes an attempt counted by `addAttempt`. */
  removeAttempt(targetId: string, request: ActiveRequest): void {
    this.targetsById.get(targetId)?.requests.delete(request);
    this.attemptCount -= 1;
  }

  /** Applies a load report and its drain flag. */
  onReport(report: LoadReport, signal: DrainSignal, nowMs: InstantMs): void {
    const target = this.targetsById.get(report.targetId);
    if (target === undefined) {
      return;
    }
    this.pool.onReport(report, nowMs);
    const previousMs = target.reportMeasuredMs ?? -Infinity;
    target.reportMeasuredMs = Math.max(previousMs, report.measuredMs);
    if (report.source === 'probe') {
      target.lastProbeReport = report;
    }
    if (report.draining) {
      this.markDraining(report.targetId, signal, nowMs);
    }
  }

  /** Marks a target as draining; publishes the signal unless it is a peer's. */
  markDraining(targetId: string, signal: DrainSignal, nowMs: InstantMs): void {
    this.pool.markDraining(targetId, signal, nowMs);
    const target = this.targetsById.get(targetId);
    if (target !== undefined && signal !== 'peer') {
      target.ownDrainSignal ??= signal;
      this.cachedLongLaneIds = undefined;
    }
  }
}

function updateTarget(
  old: ServiceTarget | undefined,
  vm: ListedVm,
): ServiceTarget {
  return {
    targetId: vm.id,
    host: vm.host,
    port: vm.port,
    isLeaving: vm.state === 'leaving',
    reportMeasuredMs: old?.reportMeasuredMs,
    requests: old?.requests ?? new Set(),
    ownDrainSignal: old?.ownDrainSignal,
    lastProbeReport: old?.lastProbeReport,
  };
}
