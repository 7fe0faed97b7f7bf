/**
 * Health of the targets of a service as seen by one VM.
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

/**
 * Duration of the first ejection, in milliseconds; doubles up to the maximum.
 */
const FIRST_EJECTION_MS = 1_000;

/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 30_000;

/** Time in good health that resets the ejection count, in milliseconds. */
const EJECTION_COUNT_RESET_MS = 60_000;

/** Slow-start factor of a new target or one on probation. */
const MIN_SLOW_START_FACTOR = 0.1;

/**
 * Time after a pause of this VM during which failures and silence are ignored,
 * in milliseconds: deadlines expired and connections broke during the pause.
 */
const PAUSE_GRACE_MS = 1_000;

const NO_TARGETS: ReadonlySet<string> = new Set();

/** Settings of {@link HealthTable}. */
export interface HealthSettings {
  /** Maximum share of the targets that may be ejected, from 0 to 1. */
  readonly maxEjectedShare: number;
  /** Time over which the load of a new or recovered target ramps up. */
  readonly slowStartMs: number;
}

/** Health of one target. */
interface TargetHealth {
  state: HealthState;
  /** Events counted in this state; a success resets all other counts. */
  readonly eventCounts: Map<HealthEvent, number>;
  ejectionCount: number;
  /** Instant at which the timer of the state fires; Infinity without one. */
  timerDueMs: InstantMs;
  /** Instant at which the slow start began; -Infinity if there was none. */
  slowStartBeginMs: InstantMs;
}

/**
 * Tracks the health of the targets of one service. Each target follows the
 * state chart `target.json`; `needed` in the metadata of a state is the number
 * of events of a kind that trigger a transition. A success resets the counts of
 * the other kinds, and each of those resets the count of successes.
 *
 * Load and health reports do not count as success: these endpoints may mislead,
 * so only answered requests show that a target works.
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
  /** Number of targets that are ejected or on probation. */
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
   * Adds a target; does nothing if it is already in the table.
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
      eventCounts: new Map(),
      ejectionCount: 0,
      timerDueMs: Number.POSITIVE_INFINITY,
      slowStartBeginMs: options.cold ? nowMs : Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Removes a target.
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
   * Records an event; ignored for an unknown target.
   *
   * @param targetId - observed target
   * @param event - observed event
   * @param nowMs - current instant in milliseconds
   */
  record(targetId: string, event: HealthEvent, nowMs: InstantMs): void {
    this.fireDueTimers(nowMs);
    const target = this.targets.get(targetId);
    if (target === undefined || this.isIgnoredAfterPause(event, nowMs)) {
      return;
    }
    const neededCount = healthMeta(target.state).needed?.[event] ?? 1;
    if (countEvent(target.eventCounts, event) >= neededCount) {
      this.applyEvent(target, event, nowMs);
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
      target.eventCounts.clear();
    }
  }

  /**
   * Returns the targets that must not be chosen. If more than the permitted
   * share are unhealthy, health is ignored and the set is empty: a fault of
   * this VM or its network, or an overload, is then more likely than so many
   * bad targets.
   *
   * @param targetIds - targets of the service that are not draining
   * @param nowMs - current instant in milliseconds
   * @returns ids of ejected targets, at most `maxEjectedShare` of `targetIds`
   */
  ejectedAmong(
    targetIds: readonly string[],
    nowMs: InstantMs,
  ): ReadonlySet<string> {
    this.fireDueTimers(nowMs);
    const ejected = targetIds.filter(
      id => !healthMeta(this.stateOf(id)).usable,
    );
    const maxEjectedCount = Math.floor(
      this.settings.maxEjectedShare * targetIds.length,
    );
    if (ejected.length === 0 || ejected.length > maxEjectedCount) {
      return NO_TARGETS;
    }
    return new Set(ejected);
  }

  /**
   * Returns whether no target is restricted, so that the check of each target
   * can be skipped.
   *
   * @param nowMs - current instant in milliseconds
   * @returns true if no target is ejected or on probation
   */
  allHealthy(nowMs: InstantMs): boolean {
    this.fireDueTimers(nowMs);
    return this.restrictedCount === 0;
  }

  /**
   * Returns the state of a target as of the last call with an instant.
   *
   * @param targetId - target to look up
   * @returns the state; the initial state for an unknown target
   */
  stateOf(targetId: string): HealthState {
    return this.targets.get(targetId)?.state ?? targetChart.initial;
  }

  /**
   * Returns the share of its full load that a target may receive.
   *
   * @param targetId - target to look up
   * @param nowMs - current instant in milliseconds
   * @returns factor from 0.1 (new or on probation) to 1
   */
  slowStartFactor(targetId: string, nowMs: InstantMs): number {
    const target = this.targets.get(targetId);
    if (target === undefined) {
      return 1;
    }
    if (target.state === 'probation') {
      return MIN_SLOW_START_FACTOR;
    }
    const elapsedMs = nowMs - target.slowStartBeginMs;
    if (elapsedMs >= this.settings.slowStartMs) {
      return 1;
    }
    const share = Math.max(elapsedMs, 0) / this.settings.slowStartMs;
    return MIN_SLOW_START_FACTOR + (1 - MIN_SLOW_START_FACTOR) * share;
  }

  /** Returns whether the event may be an effect of a pause of this VM. */
  private isIgnoredAfterPause(event: HealthEvent, nowMs: InstantMs): boolean {
    return (
      (event === 'failure' || event === 'silence') && nowMs < this.graceEndMs
    );
  }

  /** Applies an event to the chart and enters the resulting state. */
  private applyEvent(
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
      this.countEjection(target, nowMs);
    }
    if (from === 'probation' && to === 'healthy') {
      target.slowStartBeginMs = nowMs;
    }
    this.restrictedCount += Number(isRestricted(to));
    this.restrictedCount -= Number(isRestricted(from));
    target.state = to;
    target.eventCounts.clear();
    target.timerDueMs =
      to === 'ejected'
        ? nowMs + ejectionDurationMs(target.ejectionCount)
        : nowMs + (healthMeta(to).timerMs ?? Number.POSITIVE_INFINITY);
    this.nextTimerMs = Math.min(this.nextTimerMs, target.timerDueMs);
  }

  /** Counts an ejection; restarts at 1 after a long time in good health. */
  private countEjection(target: TargetHealth, nowMs: InstantMs): void {
    const hasRecovered =
      target.state !== 'probation' &&
      nowMs - target.slowStartBeginMs > EJECTION_COUNT_RESET_MS;
    target.ejectionCount = hasRecovered ? 1 : target.ejectionCount + 1;
  }

  /** Fires all timers that are due. */
  private fireDueTimers(nowMs: InstantMs): void {
    if (nowMs < this.nextTimerMs) {
      return;
    }
    this.nextTimerMs = Number.POSITIVE_INFINITY;
    for (const target of this.targets.values()) {
      if (target.timerDueMs <= nowMs) {
        target.timerDueMs = Number.POSITIVE_INFINITY;
        this.applyEvent(target, 'timer', nowMs);
      }
      this.nextTimerMs = Math.min(this.nextTimerMs, target.timerDueMs);
    }
  }
}

/** Returns whether a target in this state gets few or no requests. */
function isRestricted(state: HealthState): boolean {
  return state === 'probation' || !healthMeta(state).usable;
}

/** Returns the duration of the n-th consecutive ejection, in milliseconds. */
function ejectionDurationMs(ejectionCount: number): number {
  return Math.min(
    FIRST_EJECTION_MS * 2 ** (ejectionCount - 1),
    MAX_EJECTION_MS,
  );
}

/**
 * Counts an event, resets the counts that it contradicts, and returns its own.
 */
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
