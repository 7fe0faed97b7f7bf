/**
 * Detection of a VM that reaches no target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Targets that must have failed since the last response of any target. Fewer
 * may be down by themselves.
 */
const MIN_FAILED_COUNT = 3;

/** Failed targets from which on the VM no longer reports on targets. */
const MIN_SUSPECT_COUNT = 2;

/** Time without a response of any target until the VM counts as cut off. */
const MIN_SILENCE_MS = 250;

/** Targets that must respond before the VM counts as connected again. */
const MIN_REACHED_COUNT = 2;

/** Time within which these targets must respond, by default. */
const DEFAULT_REACHED_WINDOW_MS = 600;

/** Time after which a failure is no longer evidence. */
const FAILURE_TTL_MS = 3_000;

/** Time over which a VM takes its requests back after a cut. */
const RETURN_MS = 1_000;

/** Interval at which a VM that is cut off looks for targets that respond. */
const PROBE_INTERVAL_MS = 150;

/** Targets that it probes each time. */
const PROBED_COUNT = 2;

/**
 * Interval at which a VM without recent responses probes one target while a peer
 * of its failure domain is cut off, since it may be so too.
 */
const SELF_CHECK_INTERVAL_MS = 300;

/** Change of the state of a VM. */
export type ReachabilityChange =
  | {readonly type: 'cut-off'; readonly failedCount: number}
  | {readonly type: 'returned'; readonly cutOffSinceMs: InstantMs};

/**
 * Tells a VM that is cut off from all targets from targets that are down. A
 * response of any target shows that the VM is connected; several targets that
 * fail in a row without one show that it is not. Whether peers do reach targets
 * is for the caller to check: if none does, the targets are down.
 *
 * @example
 * ```ts
 * reachability.onFailed('t-07', nowMs);
 * const change = reachability.update(targetCount, nowMs);
 * ```
 */
export class TargetReachability {
  /** Targets that failed since the last response of any target. */
  private readonly failedMs = new Map<string, InstantMs>();
  /** Targets that responded while the VM is cut off. */
  private readonly reachedMs = new Map<string, InstantMs>();
  private lastReachedMs: InstantMs = -Infinity;
  private sinceMs: InstantMs | undefined;
  private returnedMs: InstantMs = -Infinity;
  private nextProbeMs: InstantMs = -Infinity;
  private probeOffset = 0;
  private readonly reachedWindowMs: number;

  /**
   * @param options - `reachedWindowMs`: time within which two targets must
   *     respond to end a cut
   */
  constructor(options: {readonly reachedWindowMs?: number} = {}) {
    this.reachedWindowMs = options.reachedWindowMs ?? DEFAULT_REACHED_WINDOW_MS;
  }

  /** True while the VM reaches no target. */
  get isCutOff(): boolean {
    return this.sinceMs !== undefined;
  }

  /** Instant from which on the VM has been cut off; undefined if it is not. */
  get cutOffSinceMs(): InstantMs | undefined {
    return this.sinceMs;
  }

  /** True if the failures of targets may be those of this VM's links. */
  get isSuspect(): boolean {
    return this.isCutOff || this.failedMs.size >= MIN_SUSPECT_COUNT;
  }

  /** Records a response of a target, whatever its status. */
  onReached(targetId: string, nowMs: InstantMs): void {
    this.lastReachedMs = nowMs;
    this.failedMs.clear();
    if (this.isCutOff) {
      this.reachedMs.set(targetId, nowMs);
    }
  }

  /** Records a connection to a target that failed or was lost. */
  onFailed(targetId: string, nowMs: InstantMs): void {
    this.failedMs.set(targetId, nowMs);
  }

  /**
   * Discards the failures after a pause of this VM: connections and probes ran
   * out meanwhile.
   *
   * @param nowMs - instant at which the VM resumed
   */
  onPause(nowMs: InstantMs): void {
    this.failedMs.clear();
    this.lastReachedMs = nowMs;
  }

  /**
   * Re-evaluates the state.
   *
   * @param targetCount - number of registered targets
   * @param nowMs - current instant in milliseconds
   * @returns the change of the state; undefined if there is none
   */
  update(
    targetCount: number,
    nowMs: InstantMs,
  ): ReachabilityChange | undefined {
    expire(this.failedMs, nowMs - FAILURE_TTL_MS);
    expire(this.reachedMs, nowMs - this.reachedWindowMs);
    if (this.sinceMs !== undefined) {
      return this.reachedMs.size >= Math.min(MIN_REACHED_COUNT, targetCount)
        ? this.endCut(this.sinceMs, nowMs)
        : undefined;
    }
    const neededCount = Math.max(1, Math.min(MIN_FAILED_COUNT, targetCount));
    const isSilent = nowMs - this.lastReachedMs >= MIN_SILENCE_MS;
    if (this.failedMs.size < neededCount || !isSilent) {
      return undefined;
    }
    this.sinceMs = Math.min(...this.failedMs.values());
    return {type: 'cut-off', failedCount: this.failedMs.size};
  }

  /**
   * Returns the share of the requests to pass to peers. It falls gradually
   * after a cut, so that new connections do not all open at once.
   *
   * @param nowMs - current instant in milliseconds
   * @returns 0 to 1
   */
  relayShare(nowMs: InstantMs): number {
    if (this.isCutOff) {
      return 1;
    }
    return Math.max(0, 1 - (nowMs - this.returnedMs) / RETURN_MS);
  }

  /**
   * Selects the targets to probe now, in turn. A VM that is cut off sends no
   * requests to targets and would not see their return otherwise; a VM with few
   * requests would learn late that it is cut off.
   *
   * @param targetIds - registered targets
   * @param isPeerCutOff - whether a peer of the failure domain is cut off
   * @param nowMs - current instant in milliseconds
   * @returns ids; none while nothing suggests a cut
   */
  takeProbes(
    targetIds: readonly string[],
    isPeerCutOff: boolean,
    nowMs: InstantMs,
  ): readonly string[] {
    const isRecent = nowMs - this.lastReachedMs < SELF_CHECK_INTERVAL_MS;
    const isChecking = isPeerCutOff && !isRecent;
    if ((!this.isCutOff && !isChecking) || nowMs < this.nextProbeMs) {
      return [];
    }
    this.nextProbeMs =
      nowMs + (this.isCutOff ? PROBE_INTERVAL_MS : SELF_CHECK_INTERVAL_MS);
    const maxCount = this.isCutOff ? PROBED_COUNT : 1;
    const count = Math.min(maxCount, targetIds.length);
    return Array.from({length: count}, () => {
      this.probeOffset = (this.probeOffset + 1) % targetIds.length;
      return targetIds[this.probeOffset] ?? '';
    });
  }

  private endCut(
    cutOffSinceMs: InstantMs,
    nowMs: InstantMs,
  ): ReachabilityChange {
    this.sinceMs = undefined;
    this.returnedMs = nowMs;
    this.reachedMs.clear();
    this.failedMs.clear();
    return {type: 'returned', cutOffSinceMs};
  }
}

/** Deletes the entries of instants before `oldestMs`. */
function expire(instants: Map<string, InstantMs>, oldestMs: InstantMs): void {
  for (const [key, atMs] of instants) {
    if (atMs < oldestMs) {
      instants.delete(key);
    }
  }
}
