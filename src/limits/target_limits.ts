/**
 * Limits that targets name: the requests per second that a target takes from all
 * VMs together.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Least limit that is applied. A target that takes nothing at all still gets a
 * request now and then, since only its answer tells that the limit has ended.
 */
export const MIN_LIMIT_PER_SECOND = 0.1;

/** Limits above this one restrict nothing. */
const MAX_LIMIT_PER_SECOND = 1_000_000;

/**
 * Time for which a limit holds after it was last named. VMs tell each
 * other of its end, so this is for targets that nobody hears of any more.
 */
const LIMIT_TTL_MS = 60_000;

/** Time for which the end of a limit is remembered, against older news. */
const ENDED_TTL_MS = 10_000;

/** What an answer of a target says about its limit. */
export type LimitStatement =
  | {readonly type: 'none'}
  /** Neither sets nor ends a limit. */
  | {readonly type: 'unreadable'}
  | {readonly type: 'limit'; readonly perSecond: number};

/**
 * Reads a named limit.
 *
 * @param text - decimal number; undefined if the answer names no limit
 * @returns the statement: zero counts as {@link MIN_LIMIT_PER_SECOND}, more than
 *     a million as no limit, and anything else than a number of at least zero is
 *     unreadable
 */
export function readLimit(text: string | undefined): LimitStatement {
  if (text === undefined) {
    return {type: 'none'};
  }
  if (!/^\d{1,300}(\.\d{0,300})?$/.test(text)) {
    return {type: 'unreadable'};
  }
  const perSecond = Number(text);
  return perSecond > MAX_LIMIT_PER_SECOND
    ? {type: 'none'}
    : {type: 'limit', perSecond: Math.max(MIN_LIMIT_PER_SECOND, perSecond)};
}

/** Limit of one target, as known to a VM. */
export interface KnownLimit {
  readonly targetId: string;
  /** Requests per second of all VMs together; 0 if the limit has ended. */
  readonly perSecond: number;
  /** Instant of this VM's clock at which the target said so. */
  readonly observedMs: InstantMs;
}

/** Change of a limit, for the log. */
export interface LimitChange {
  readonly targetId: string;
  /** New limit; 0 if it has ended. */
  readonly perSecond: number;
}

/** Records the limits that targets name; the latest statement holds. */
export class TargetLimits {
  private readonly limits = new Map<string, KnownLimit>();
  private changes: LimitChange[] = [];

  /**
   * Records what an answer of a target says.
   *
   * @param targetId - target that answered
   * @param statement - what it says about its limit
   * @param nowMs - current instant in milliseconds
   */
  onStatement(
    targetId: string,
    statement: LimitStatement,
    nowMs: InstantMs,
  ): void {
    if (statement.type === 'unreadable') {
      return;
    }
    const perSecond = statement.type === 'limit' ? statement.perSecond : 0;
    this.merge({targetId, perSecond, observedMs: nowMs});
  }

  /**
   * Merges a limit that this VM or another one has observed; the latest
   * observation holds.
   *
   * @param limit - limit, with the instant by this VM's clock
   */
  merge(limit: KnownLimit): void {
    const {targetId, observedMs} = limit;
    const perSecond =
      limit.perSecond === 0 || limit.perSecond > MAX_LIMIT_PER_SECOND
        ? 0
        : Math.max(MIN_LIMIT_PER_SECOND, limit.perSecond);
    const known = this.limits.get(targetId);
    if (known === undefined && perSecond === 0) {
      return;
    }
    if (known !== undefined && known.observedMs >= observedMs) {
      return;
    }
    this.limits.set(targetId, {targetId, perSecond, observedMs});
    if ((known?.perSecond ?? 0) !== perSecond) {
      this.changes.push({targetId, perSecond});
    }
  }

  /**
   * Returns the limit of a target.
   *
   * @param targetId - id of the target
   * @returns requests per second of all VMs together; undefined for no limit
   */
  limitOf(targetId: string): number | undefined {
    const perSecond = this.limits.get(targetId)?.perSecond ?? 0;
    return perSecond === 0 ? undefined : perSecond;
  }

  /** Lists the limits, and those that have ended lately. */
  list(): readonly KnownLimit[] {
    return [...this.limits.values()];
  }

  /**
   * Ends the limits that have not been named for long.
   *
   * @param nowMs - current instant in milliseconds
   * @returns changes of limits since the last call
   */
  onTick(nowMs: InstantMs): readonly LimitChange[] {
    for (const {targetId, perSecond, observedMs} of this.limits.values()) {
      const ageMs = nowMs - observedMs;
      if (perSecond === 0 && ageMs > ENDED_TTL_MS) {
        this.limits.delete(targetId);
      } else if (perSecond > 0 && ageMs > LIMIT_TTL_MS) {
        this.limits.set(targetId, {targetId, perSecond: 0, observedMs: nowMs});
        this.changes.push({targetId, perSecond: 0});
      }
    }
    const {changes} = this;
    this.changes = [];
    return changes;
  }
}
