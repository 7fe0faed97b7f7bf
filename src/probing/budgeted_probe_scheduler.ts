/**
 * Probe scheduling of one VM for one service.
 *
 * @packageDocumentation
 */
import {hashText, rendezvousRank, type InstantMs} from '../core/index.js';
import {ProbeScheduler, type ProbeCandidate} from './types.js';

/** Length of the window in which the budget holds, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;

/** Number of VMs responsible for probing each target. */
const RESPONSIBLE_VM_COUNT = 3;

/**
 * Factor that keeps k intervals at or above the window length despite rounding:
 * the division and the difference of two instants each err by at most one
 * epsilon.
 */
const ROUNDING_MARGIN = 1 + 4 * Number.EPSILON;

/** Options of {@link BudgetedProbeScheduler}. */
export interface BudgetedProbeSchedulerOptions {
  readonly vmId: string;
  /** Instant at which this process started, in milliseconds. */
  readonly startMs: InstantMs;
}

/** Probe state of one target. */
interface TargetProbeState {
  /** True if this VM is one of those responsible for probing the target. */
  readonly isResponsible: boolean;
  /** Sort key among targets with equally old reports; differs between VMs. */
  readonly tieBreak: string;
  /** Instant of this VM's last probe; -Infinity if there was none. */
  lastProbeMs: InstantMs;
}

/**
 * Schedules probes so that the fleet stays within its budget without
 * coordination between VMs.
 *
 * Each VM may send k = floor(10 x budget / vmCeiling) probes in a window of
 * 10 s. Consecutive probes are at least 10 s / k apart, measured between actual
 * instants, and so are process start and first probe. A replacement that starts
 * after its predecessor ended therefore keeps the spacing, a late tick only
 * lowers the rate, and no burst follows a pause. With k = 0 (budget below
 * vmCeiling / 10 probes per second) no probe is sent, since partitioned VMs
 * could not share a single probe.
 *
 * A probe is charged when it is returned. The caller must send it in the same
 * tick or discard it: a probe sent after a pause could come right before the
 * next one.
 *
 * @example
 * ```ts
 * const scheduler = new BudgetedProbeScheduler({vmId: 'e-01', startMs: 0});
 * scheduler.setBudget(200, 30, 0);
 * const targetId = scheduler.next(candidates, nowMs);
 * ```
 */
export class BudgetedProbeScheduler extends ProbeScheduler {
  private readonly vmId: string;
  private intervalMs = Number.POSITIVE_INFINITY;
  /** Instant of the last charged probe; initially the start of the process. */
  private lastChargeMs: InstantMs;
  private liveVmIds: readonly string[];
  private targets = new Map<string, TargetProbeState>();

  /**
   * @param options - see {@link BudgetedProbeSchedulerOptions}
   */
  constructor(options: BudgetedProbeSchedulerOptions) {
    super();
    this.vmId = options.vmId;
    this.lastChargeMs = options.startMs;
    this.liveVmIds = [options.vmId];
  }

  /**
   * Sets the budget. The new interval applies to the spacing from the last
   * probe immediately, so a smaller budget holds in all windows that start
   * after the change.
   *
   * @param probesPerSecond - budget of all VMs together
   * @param vmCeiling - maximum number of entry VMs alive at once
   * @param nowMs - current instant; unused, since spacing is measured
   *     from the last probe
   */
  override setBudget(
    probesPerSecond: number,
    vmCeiling: number,
    nowMs: InstantMs,
  ): void;
  override setBudget(probesPerSecond: number, vmCeiling: number): void {
    const fleetProbesPerWindow = (BUDGET_WINDOW_MS / 1_000) * probesPerSecond;
    const probesPerWindow = Math.floor(fleetProbesPerWindow / vmCeiling);
    this.intervalMs =
      probesPerWindow >= 1
        ? (BUDGET_WINDOW_MS / probesPerWindow) * ROUNDING_MARGIN
        : Number.POSITIVE_INFINITY;
  }

  /**
   * Sets the live VMs. They determine only which VM probes which target, never
   * how many probes are sent.
   *
   * @param vmIds - ids of the live VMs
   */
  override setLiveVms(vmIds: readonly string[]): void {
    if (haveSameIds(vmIds, this.liveVmIds)) {
      return;
    }
    this.liveVmIds = [...vmIds];
    const previous = this.targets;
    this.targets = new Map();
    for (const [targetId, target] of previous) {
      this.targets.set(
        targetId,
        this.createProbeState(targetId, target.lastProbeMs),
      );
    }
  }

  /**
   * Selects the target with the oldest information and charges a probe.
   * Targets for which this VM is responsible come first. The age of a target
   * counts from its newest report or this VM's last probe, whichever is later,
   * so that a target that never answers does not starve the others.
   *
   * @param candidates - targets of the service, without duplicates
   * @param nowMs - current instant in milliseconds
   * @returns id of the target to probe now; undefined if no probe is due
   */
  override next(
    candidates: readonly ProbeCandidate[],
    nowMs: InstantMs,
  ): string | undefined {
    if (nowMs - this.lastChargeMs < this.intervalMs) {
      return undefined;
    }
    this.deleteRemovedTargets(candidates);
    const chosen =
      this.findStalest(candidates, true) ?? this.findStalest(candidates, false);
    if (chosen === undefined) {
      return undefined;
    }
    this.lastChargeMs = nowMs;
    this.getOrAddTarget(chosen).lastProbeMs = nowMs;
    return chosen;
  }

  /** Returns the target whose newest information is the oldest. */
  private findStalest(
    candidates: readonly ProbeCandidate[],
    responsibleOnly: boolean,
  ): string | undefined {
    let stalestId: string | undefined;
    let stalestMs = Number.POSITIVE_INFINITY;
    let stalestTieBreak = '';
    for (const {targetId, reportMeasuredMs} of candidates) {
      const target = this.getOrAddTarget(targetId);
      if (responsibleOnly && !target.isResponsible) {
        continue;
      }
      const lastSeenMs = Math.max(
        reportMeasuredMs ?? Number.NEGATIVE_INFINITY,
        target.lastProbeMs,
      );
      if (
        stalestId === undefined ||
        lastSeenMs < stalestMs ||
        (lastSeenMs === stalestMs && target.tieBreak < stalestTieBreak)
      ) {
        stalestId = targetId;
        stalestMs = lastSeenMs;
        stalestTieBreak = target.tieBreak;
      }
    }
    return stalestId;
  }

  /** Returns the state of a target, adding it if it is new. */
  private getOrAddTarget(targetId: string): TargetProbeState {
    const known = this.targets.get(targetId);
    if (known !== undefined) {
      return known;
    }
    const added = this.createProbeState(targetId, Number.NEGATIVE_INFINITY);
    this.targets.set(targetId, added);
    return added;
  }

  /** Creates the state of a target, with the responsibility of this VM. */
  private createProbeState(
    targetId: string,
    lastProbeMs: InstantMs,
  ): TargetProbeState {
    const ranked = rendezvousRank(`probe/${targetId}`, this.liveVmIds);
    const isResponsible = ranked
      .slice(0, RESPONSIBLE_VM_COUNT)
      .includes(this.vmId);
    const tieBreak = hashText(`${this.vmId}/${targetId}`);
    return {isResponsible, tieBreak, lastProbeMs};
  }

  /** Deletes the state of targets that left the service. */
  private deleteRemovedTargets(candidates: readonly ProbeCandidate[]): void {
    if (this.targets.size <= candidates.length) {
      return;
    }
    const present = new Set(candidates.map(candidate => candidate.targetId));
    for (const targetId of this.targets.keys()) {
      if (!present.has(targetId)) {
        this.targets.delete(targetId);
      }
    }
  }
}

/** Returns whether two lists hold the same ids in the same order. */
function haveSameIds(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((id, index) => id === b[index]);
}
