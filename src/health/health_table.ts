/**
 * Health of a service's targets as seen by one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {
  healthMeta,
  targetChart,
  type HealthEvent,
  type HealthState,
} from './target_chart.js';

/** Duration of a target's first ejection, in milliseconds; then doubled. */
const FIRST_EJECTION_MS = 1_000;

/** Longest ejection, in milliseconds. */
const MAX_EJECTION_MS = 30_000;

/** Time in good health after which ejections start again at the first. */
const EJECTION_MEMORY_MS = 60_000;

/** Slow-start factor of a target that just started or is on probation. */
const MIN_SLOW_START_FACTOR = 0.1;

/**
 * Time after a pause of this VM in which failures and silence do not count, in
 * milliseconds: deadlines passed and connections broke during the pause.
 */
const PAUSE_GRACE_MS = 1_000;

const NO_TARGETS: ReadonlySet<string> = new Set();

/** Settings of {@link HealthTable}. */
export interface HealthSettings {
  /** Greatest share of the targets that may be ejected, from 0 to 1. */
  readonly maxEjectedShare: number;
  /** Time over which a new or returned target's share rises. */
  readonly slowStartMs: number;
}

/** Health of one target. */
interface TargetHealth {
  state: HealthState;
  /** Events in this state; a success ends the count of all others. */
  readonly counts: Map<HealthEvent, number>;
  ejectionCount: number;
  timerMs: InstantMs;
  slowStartMs: InstantMs;
}

/**
 * Health table of one service. Each target follows the chart `target.json`;
 * the `needed` numbers of its states say how many events of one kind make a
 * step. A success ends the count of the other kinds and they end its count.
 *
 * Load and health reports of targets do not count as success: the endpoints may
 * mislead, so only answered requests prove a target.
 *
 * @example
 * ```ts
 * table.record('t-07', 'failure', nowMs);
 * const excluded = table.ejectedAmong(targetIds, nowMs);
 * ```
 */
export class HealthTable {
  private settings: HealthSettings;
  private readonly targets = new Map<string, TargetHealth>();
  private nextTimerMs: InstantMs = Number.POSITIVE_INFINITY;
  private graceEndMs: InstantMs = Number.NEGATIVE_INFINITY;
  /** Targets that are ejected or on probation. */
  private restrictedCount = 0;

  /**
   * @param settings - ejection bound and slow start of the service
   */
  constructor(settings: HealthSettings) {
    this.settings = settings;
  }

  /**
   * Replaces the settings.
   *
   * @param settings - ejection bound and slow start of the service
   */
  configure(settings: HealthSettings): void {
    this.settings = settings;
  }

  /**
   * Adds a target; does nothing if it is known.
   *
   * @param targetId - target to add
   * @param nowMs - current instant in milliseconds
   * @param options - `cold`: true if the target just started
   */
  add(
    targetId: string,
    nowMs: InstantMs,
    options: {readonly cold: boolean},
  ): void {
    if (this.targets.has(targetId)) {
      return;
    }
    this.targets.set(targetId, {
      state: targetChart.initial,
      counts: new Map(),
      ejectionCount: 0,
      timerMs: Number.POSITIVE_INFINITY,
      slowStartMs: options.cold ? nowMs : Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Forgets a target.
   *
   * @param targetId - target that left the service
   */
  remove(targetId: string): void {
    const target = this.targets.get(targetId);
    if (target !== undefined && isRestricted(target.state)) {
      this.restrictedCount -= 1;
    }
    this.targets.delete(targetId);
  }

  /**
   * Records an observation; ignored for an unknown target.
   *
   * @param targetId - observed target
   * @param event - what was observed
   * @param nowMs - current instant in milliseconds
   */
  record(targetId: string, event: HealthEvent, nowMs: InstantMs): void {
    this.runTimers(nowMs);
    const target = this.targets.get(targetId);
    if (target === undefined || this.isExcused(event, nowMs)) {
      return;
    }
    const needed = healthMeta(target.state).needed?.[event] ?? 1;
    if (countEvent(target.counts, event) >= needed) {
      this.step(target, event, nowMs);
    }
  }

  /**
   * Starts the grace period after a pause of this VM.
   *
   * @param nowMs - instant at which the VM resumed
   */
  onPause(nowMs: InstantMs): void {
    this.graceEndMs = nowMs + PAUSE_GRACE_MS;
    for (const target of this.targets.values()) {
      target.counts.clear();
    }
  }

  /**
   * Lists the targets that must not be chosen. When more than the permitted
   * share look bad, health is ignored and the set is empty: the cause is then
   * likelier the VM, its network or an overload than so many targets.
   *
   * @param targetIds - targets of the service that do not drain
   * @param nowMs - current instant in milliseconds
   * @returns the ejected ones, at most `maxEjectedShare` of the targets
   */
  ejectedAmong(
    targetIds: readonly string[],
    nowMs: InstantMs,
  ): ReadonlySet<string> {
    this.runTimers(nowMs);
    const ejected = targetIds.filter(
      id => !healthMeta(this.stateOf(id)).usable,
    );
    const bound = Math.floor(this.settings.maxEjectedShare * targetIds.length);
    if (ejected.length === 0 || ejected.length > bound) {
      return NO_TARGETS;
    }
    return new Set(ejected);
  }

  /**
   * Tells whether every target is in a state without restrictions, so that
   * callers need not look at each one.
   *
   * @param nowMs - current instant in milliseconds
   * @returns true if no target is ejected or on probation
   */
  allHealthy(nowMs: InstantMs): boolean {
    this.runTimers(nowMs);
    return this.restrictedCount === 0;
  }

  /**
   * Looks up the state of a target as of the last call that took an instant.
   *
   * @param targetId - target to look up
   * @returns its state; the initial state for an unknown target
   */
  stateOf(targetId: string): HealthState {
    return this.targets.get(targetId)?.state ?? targetChart.initial;
  }

  /**
   * Computes the share of its full load that a target may take.
   *
   * @param targetId - target to look up
   * @param nowMs - current instant in milliseconds
   * @returns factor from 0.1 (cold, on probation) to 1
   */
  slowStartFactor(targetId: string, nowMs: InstantMs): number {
    const target = this.targets.get(targetId);
    if (target === undefined) {
      return 1;
    }
    if (target.state === 'probation') {
      return MIN_SLOW_START_FACTOR;
    }
    const elapsedMs = nowMs - target.slowStartMs;
    if (elapsedMs >= this.settings.slowStartMs) {
      return 1;
    }
    const share = Math.max(elapsedMs, 0) / this.settings.slowStartMs;
    return MIN_SLOW_START_FACTOR + (1 - MIN_SLOW_START_FACTOR) * share;
  }

  /** True if the event may be an effect of this VM's own pause. */
  private isExcused(event: HealthEvent, nowMs: InstantMs): boolean {
    return (
      (event === 'failure' || event === 'silence') && nowMs < this.graceEndMs
    );
  }

  /** Takes a step of the chart and sets what depends on the new state. */
  private step(
    target: TargetHealth,
    event: HealthEvent,
    nowMs: InstantMs,
  ): void {
    const from = target.state;
    const to = targetChart.next(from, event);
    if (from === to) {
      return;
    }
    if (to === 'ejected') {
      this.prepareEjection(target, nowMs);
    }
    if (from === 'probation' && to === 'healthy') {
      target.slowStartMs = nowMs;
    }
    this.restrictedCount += Number(isRestricted(to));
    this.restrictedCount -= Number(isRestricted(from));
    target.state = to;
    target.counts.clear();
    target.timerMs =
      to === 'ejected'
        ? nowMs + ejectionMs(target.ejectionCount)
        : nowMs + (healthMeta(to).timerMs ?? Number.POSITIVE_INFINITY);
    this.nextTimerMs = Math.min(this.nextTimerMs, target.timerMs);
  }

  /** Counts an ejection, from 1 again after a long time in good health. */
  private prepareEjection(target: TargetHealth, nowMs: InstantMs): void {
    const recovered =
      target.state !== 'probation' &&
      nowMs - target.slowStartMs > EJECTION_MEMORY_MS;
    target.ejectionCount = recovered ? 1 : target.ejectionCount + 1;
  }

  /** Applies all timers that are due. */
  private runTimers(nowMs: InstantMs): void {
    if (nowMs < this.nextTimerMs) {
      return;
    }
    this.nextTimerMs = Number.POSITIVE_INFINITY;
    for (const target of this.targets.values()) {
      if (target.timerMs <= nowMs) {
        target.timerMs = Number.POSITIVE_INFINITY;
        this.step(target, 'timer', nowMs);
      }
      this.nextTimerMs = Math.min(this.nextTimerMs, target.timerMs);
    }
  }
}

/** True for a state in which a target gets no or hardly any requests. */
function isRestricted(state: HealthState): boolean {
  return state === 'probation' || !healthMeta(state).usable;
}

/** Duration of the n-th ejection in a row, in milliseconds. */
function ejectionMs(count: number): number {
  return Math.min(FIRST_EJECTION_MS * 2 ** (count - 1), MAX_EJECTION_MS);
}

/** Counts an event and ends the counts that it contradicts. */
function countEvent(
  counts: Map<HealthEvent, number>,
  event: HealthEvent,
): number {
  const count = (counts.get(event) ?? 0) + 1;
  if (event === 'success') {
    counts.clear();
  } else {
    counts.delete('success');
  }
  counts.set(event, count);
  return count;
}
