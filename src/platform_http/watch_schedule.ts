/**
 * When to call the platform next, and how. Pure.
 *
 * Each document has at most one call open and at most two calls a second, so
 * one VM makes at most four calls a second for two documents. Even if all VMs
 * of a fleet of 500 read at once, they stay within the platform's limit of
 * 2,000 reads a second.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';

/** Longest time that a watch stays open. */
export const MAX_WATCH_MS = 25_000;

/** Least time between the starts of two calls for one document. */
export const MIN_CALL_SPACING_MS = 500;

/** First delay after an error; doubled with each further one. */
const FIRST_BACKOFF_MS = 500;

/**
 * Longest delay after errors. Short, because a published document reaches no
 * VM before the first reader's next call.
 */
const MAX_BACKOFF_MS = 5_000;

/**
 * Longest time without an unconditional read. A watch asks for platform
 * versions above the last one; after the platform went back to lower version
 * numbers, or answered a wrong one once, it would wait in vain.
 */
const MAX_CONDITIONAL_MS = 60_000;

/** What a call came to. */
export type CallOutcome =
  /** A version above the last one, or the first one. */
  | {readonly type: 'newer'; readonly platformVersion: number}
  /** The last version again or a lower one, such as a stale answer. */
  | {readonly type: 'not-newer'; readonly platformVersion: number}
  /** The watch ended without a newer version. */
  | {readonly type: 'unchanged'}
  | {readonly type: 'failed'};

/** The next call. */
export interface PlannedCall {
  /** Instant at which to start it. */
  readonly startMs: InstantMs;
  /** Version to wait past; undefined for an unconditional read. */
  readonly after: number | undefined;
}

/**
 * Plans the calls for one document.
 *
 * @example
 * ```ts
 * const call = schedule.next(clock.nowMs());
 * schedule.onOutcome({type: 'unchanged'}, clock.nowMs());
 * ```
 */
export class WatchSchedule {
  private lastVersion: number | undefined;
  private lastStartMs = -Infinity;
  private lastUnconditionalMs = -Infinity;
  private failureCount = 0;
  private earliestMs = -Infinity;

  /**
   * @param random - source of the jitter
   */
  constructor(private readonly random: RandomSource) {}

  /**
   * Plans the next call.
   *
   * @param nowMs - current instant in milliseconds
   * @returns when to start the call and which version to wait past
   */
  next(nowMs: InstantMs): PlannedCall {
    const startMs = Math.max(
      nowMs,
      this.earliestMs,
      this.lastStartMs + MIN_CALL_SPACING_MS,
    );
    const unconditional =
      startMs - this.lastUnconditionalMs >= MAX_CONDITIONAL_MS;
    return {startMs, after: unconditional ? undefined : this.lastVersion};
  }

  /**
   * Notes that a call starts.
   *
   * @param call - the planned call
   * @param nowMs - current instant in milliseconds
   */
  onStart(call: PlannedCall, nowMs: InstantMs): void {
    this.lastStartMs = nowMs;
    if (call.after === undefined) {
      this.lastUnconditionalMs = nowMs;
    }
  }

  /**
   * Notes the outcome of a call.
   *
   * @param outcome - what the call came to
   * @param nowMs - current instant in milliseconds
   */
  onOutcome(outcome: CallOutcome, nowMs: InstantMs): void {
    switch (outcome.type) {
      case 'newer':
        this.lastVersion = outcome.platformVersion;
        this.failureCount = 0;
        return;
      case 'unchanged':
        this.failureCount = 0;
        return;
      case 'not-newer':
        // A platform that answers a watch at once with an old version would
        // be called at the full rate.
        this.lastVersion = outcome.platformVersion;
        this.backOff(nowMs);
        return;
      case 'failed':
        this.backOff(nowMs);
        return;
    }
  }

  /**
   * Classifies an answered version.
   *
   * @param platformVersion - version that the platform answered
   * @param after - version that the call waited past; undefined for a read
   * @returns the outcome
   */
  classify(platformVersion: number, after: number | undefined): CallOutcome {
    return after === undefined || platformVersion > after
      ? {type: 'newer', platformVersion}
      : {type: 'not-newer', platformVersion};
  }

  /** Delays the next call by half to all of a doubled time. */
  private backOff(nowMs: InstantMs): void {
    const limitMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(this.failureCount, 16),
    );
    this.failureCount++;
    this.earliestMs = nowMs + limitMs * (0.5 + this.random.nextFloat() / 2);
  }
}
