/**
 * Schedule of the calls to the platform; performs no I/O.
 *
 * Each document has at most one open call and at most two calls per second, so
 * a VM makes at most four calls per second for two documents. Even if all VMs
 * of a fleet of 500 read at the same time, they stay within the platform's
 * limit of 2,000 reads per second.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {DocumentVersion} from '../preset/index.js';

/** Maximum duration of a watch. */
export const MAX_WATCH_MS = 25_000;

/** Minimum time between the starts of two calls for one document. */
export const MIN_CALL_SPACING_MS = 500;

/** Delay limit after the first error; doubled after each further one. */
const INITIAL_BACKOFF_MS = 500;

/**
 * Maximum delay after errors. Short, because a published document reaches no VM
 * before the next call of the first reader.
 */
const MAX_BACKOFF_MS = 5_000;

/**
 * Maximum time between unconditional reads. A watch only returns platform
 * versions above the last one, so it would miss all documents after the
 * platform fell back to lower version numbers or returned a wrong one once.
 */
const MAX_CONDITIONAL_MS = 60_000;

/** Position in the history of the platform. */
export type PlatformPosition = Pick<
  DocumentVersion,
  'platformEra' | 'platformVersion'
>;

/** Outcome of a call. */
export type CallOutcome =
  /** A version above the last one, or the result of an unconditional read. */
  | {readonly type: 'newer'; readonly version: PlatformPosition}
  /** The last version or a lower one, such as a stale response. */
  | {readonly type: 'not-newer'; readonly version: PlatformPosition}
  /** The watch ended without a newer version. */
  | {readonly type: 'unchanged'}
  /** The platform was restored and does not have the watched version. */
  | {readonly type: 'history-lost'}
  | {readonly type: 'failed'};

/** Call to make next. */
export interface PlannedCall {
  /** Instant at which to start the call. */
  readonly startMs: InstantMs;
  /**
   * Waits for a version above this one; undefined for an unconditional read.
   */
  readonly after: number | undefined;
  /** Era of that version. */
  readonly era: number | undefined;
}

/**
 * Schedules the calls for one document.
 *
 * @example
 * ```ts
 * const call = schedule.next(clock.nowMs());
 * schedule.recordOutcome({type: 'unchanged'}, clock.nowMs());
 * ```
 */
export class WatchSchedule {
  private lastVersion: PlatformPosition | undefined;
  private lastStartMs = -Infinity;
  private lastUnconditionalMs = -Infinity;
  private failureCount = 0;
  private earliestStartMs = -Infinity;

  /**
   * @param random - source of the jitter
   */
  constructor(private readonly random: RandomSource) {}

  /**
   * Returns the next call.
   *
   * @param nowMs - current instant in milliseconds
   * @returns start of the call and the version that the document must exceed
   */
  next(nowMs: InstantMs): PlannedCall {
    const startMs = Math.max(
      nowMs,
      this.earliestStartMs,
      this.lastStartMs + MIN_CALL_SPACING_MS,
    );
    const isUnconditional =
      startMs - this.lastUnconditionalMs >= MAX_CONDITIONAL_MS;
    const last = isUnconditional ? undefined : this.lastVersion;
    return {startMs, after: last?.platformVersion, era: last?.platformEra};
  }

  /**
   * Records the start of a call.
   *
   * @param call - the planned call
   * @param nowMs - current instant in milliseconds
   */
  recordStart(call: PlannedCall, nowMs: InstantMs): void {
    this.lastStartMs = nowMs;
    if (call.after === undefined) {
      this.lastUnconditionalMs = nowMs;
    }
  }

  /**
   * Records the outcome of a call.
   *
   * @param outcome - outcome of the call
   * @param nowMs - current instant in milliseconds
   */
  recordOutcome(outcome: CallOutcome, nowMs: InstantMs): void {
    switch (outcome.type) {
      case 'newer':
        this.lastVersion = outcome.version;
        this.failureCount = 0;
        return;
      case 'unchanged':
        this.failureCount = 0;
        return;
      case 'not-newer':
        // Without backoff, a platform that responds to a watch immediately with
        // an old version would be called at the maximum rate.
        this.lastVersion = outcome.version;
        this.backOff(nowMs);
        return;
      case 'history-lost':
        // The next call is an unconditional read.
        this.lastVersion = undefined;
        return;
      case 'failed':
        this.backOff(nowMs);
        return;
    }
  }

  /**
   * Classifies the version of a document received.
   *
   * @param version - position of the document
   * @param after - version that the document had to exceed; undefined for an
   *     unconditional read
   * @returns the outcome of the call
   */
  classify(version: PlatformPosition, after: number | undefined): CallOutcome {
    return after === undefined || version.platformVersion > after
      ? {type: 'newer', version}
      : {type: 'not-newer', version};
  }

  /**
   * Delays the next call by 50 to 100 % of a limit that doubles with each
   * failure.
   */
  private backOff(nowMs: InstantMs): void {
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** Math.min(this.failureCount, 16),
    );
    this.failureCount++;
    this.earliestStartMs =
      nowMs + maxDelayMs * (0.5 + this.random.nextFloat() / 2);
  }
}
