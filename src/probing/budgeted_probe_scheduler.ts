/**
 * Probe schedule of one VM for one service.
 *
 * @packageDocumentation
 */
import {hashText, rendezvousRank, type InstantMs} from '../core/index.js';
import {ProbeScheduler, type ProbeCandidate} from './types.js';

/** Length of the window in which the budget holds. */
const BUDGET_WINDOW_MS = 10_000;

/** Number of VMs that are responsible for probing a target. */
const RESPONSIBLE_VM_COUNT = 3;

/**
 * Factor that keeps k intervals at or above the window in spite of rounding:
 * the division and the difference of two instants err by at most one epsilon.
 */
const ROUNDING_MARGIN = 1 + 4 * Number.EPSILON;

/** Options of {@link BudgetedProbeScheduler}. */
export interface BudgetedProbeSchedulerOptions {
  readonly vmId: string;
  /** Instant at which this process started. */
  readonly startMs: InstantMs;
}

/** What the scheduler remembers of a target. */
interface ProbedTarget {
  /** True if this VM is one of the responsible VMs. */
  readonly responsible: boolean;
  /** Order among equally old targets; differs between VMs. */
  readonly tieBreak: string;
  /** Instant of this VM's last probe. */
  lastProbeMs: InstantMs;
}

/**
 * Schedules probes so that the fleet stays within its budget without messages.
 *
 * Each VM may send k = floor(10 x budget / vmCeiling) probes in a window of
 * 10 s. Successive probes, and the start and the first probe, are at least
 * 10 s / k apart, measured between actual instants. A replacement that starts
 * after its predecessor ended therefore continues its spacing, a late tick
 * only lowers the rate, and a pause is not made up for. With k = 0 (budget
 * below vmCeiling / 10 probes per second) no probe is sent, since VMs in
 * separate partitions could not share a single probe.
 *
 * A probe is charged when it is returned. The caller must send it in the same
 * tick and drop it otherwise: sending it after a pause would place it next to
 * the following one.
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
  private lastChargeMs: InstantMs;
  private liveVmIds: readonly string[];
  private targets = new Map<string, ProbedTarget>();

  /**
   * @param options - id of this VM and start of this process
   */
  constructor(options: BudgetedProbeSchedulerOptions) {
    super();
    this.vmId = options.vmId;
    this.lastChargeMs = options.startMs;
    this.liveVmIds = [options.vmId];
  }

  /**
   * Sets the budget. The spacing to the last probe is measured with the new
   * interval at once, so a smaller budget holds in all windows that start
   * after the change.
   *
   * @param probesPerSecond - budget of all VMs together
   * @param vmCeiling - upper bound of entry VMs alive at once
   * @param nowMs - current instant; not needed, since spacing is measured
   *     from the last probe
   */
  override setBudget(
    probesPerSecond: number,
    vmCeiling: number,
    nowMs: InstantMs,
  ): void;
  override setBudget(probesPerSecond: number, vmCeiling: number): void {
    const windowBudget = (BUDGET_WINDOW_MS / 1_000) * probesPerSecond;
    const probesPerWindow = Math.floor(windowBudget / vmCeiling);
    this.intervalMs =
      probesPerWindow >= 1
        ? (BUDGET_WINDOW_MS / probesPerWindow) * ROUNDING_MARGIN
        : Number.POSITIVE_INFINITY;
  }

  /**
   * Sets the live VMs. They decide only who probes which target, never how
   * many probes are sent.
   *
   * @param vmIds - ids of the live VMs
   */
  override setLiveVms(vmIds: readonly string[]): void {
    if (sameIds(vmIds, this.liveVmIds)) {
      return;
    }
    this.liveVmIds = [...vmIds];
    const previous = this.targets;
    this.targets = new Map();
    for (const [targetId, target] of previous) {
      this.targets.set(targetId, this.describe(targetId, target.lastProbeMs));
    }
  }

  /**
   * Picks and charges a probe. A target counts as old as its newest report or
   * this VM's last probe, whichever is later, so a target that never answers
   * does not take the probes of the others.
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
    this.forgetRemoved(candidates);
    const chosen =
      this.oldest(candidates, true) ?? this.oldest(candidates, false);
    if (chosen === undefined) {
      return undefined;
    }
    this.lastChargeMs = nowMs;
    this.targetOf(chosen).lastProbeMs = nowMs;
    return chosen;
  }

  /** Finds the target whose report and last probe are the oldest. */
  private oldest(
    candidates: readonly ProbeCandidate[],
    responsibleOnly: boolean,
  ): string | undefined {
    let bestId: string | undefined;
    let bestAgeMs = Number.POSITIVE_INFINITY;
    let bestTieBreak = '';
    for (const {targetId, reportMeasuredMs} of candidates) {
      const target = this.targetOf(targetId);
      if (responsibleOnly && !target.responsible) {
        continue;
      }
      const knownMs = Math.max(
        reportMeasuredMs ?? Number.NEGATIVE_INFINITY,
        target.lastProbeMs,
      );
      if (
        bestId === undefined ||
        knownMs < bestAgeMs ||
        (knownMs === bestAgeMs && target.tieBreak < bestTieBreak)
      ) {
        bestId = targetId;
        bestAgeMs = knownMs;
        bestTieBreak = target.tieBreak;
      }
    }
    return bestId;
  }

  /** Looks up a target, adding it on first sight. */
  private targetOf(targetId: string): ProbedTarget {
    const known = this.targets.get(targetId);
    if (known !== undefined) {
      return known;
    }
    const added = this.describe(targetId, Number.NEGATIVE_INFINITY);
    this.targets.set(targetId, added);
    return added;
  }

  /** Derives the responsibility of this VM for a target. */
  private describe(targetId: string, lastProbeMs: InstantMs): ProbedTarget {
    const ranked = rendezvousRank(`probe/${targetId}`, this.liveVmIds);
    const responsible = ranked
      .slice(0, RESPONSIBLE_VM_COUNT)
      .includes(this.vmId);
    const tieBreak = hashText(`${this.vmId}/${targetId}`);
    return {responsible, tieBreak, lastProbeMs};
  }

  /** Drops targets that left the service. */
  private forgetRemoved(candidates: readonly ProbeCandidate[]): void {
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

/** Compares two lists of ids. */
function sameIds(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((id, index) => id === b[index]);
}
