/**
 * Decision whether to retry after a failed attempt.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';

/**
 * Maximum number of attempts of one request in this VM that may have run. The
 * budget bounds the retries of a service; this bounds the part of the budget
 * that one request can use.
 */
export const MAX_ATTEMPTS = 4;

/**
 * Maximum number of attempts with any verdict. Attempts that did not run are
 * cheap, and near capacity four full targets in a row are common.
 */
export const MAX_ATTEMPTS_WITH_REFUSALS = 8;

/** State of a request after an attempt ended without a response. */
export interface RetryContext {
  readonly idempotent: boolean;
  /** Verdicts of all attempts so far, including the failed one. */
  readonly verdicts: readonly Verdict[];
  /** True if the caller received any part of a response, or a refusal. */
  readonly responseStarted: boolean;
  /** True if the request was in flight when a target crashed. */
  readonly implicated: boolean;
  readonly deadlineMs: InstantMs;
  readonly nowMs: InstantMs;
}

/** Reason not to retry a request. */
export type RetryStopReason =
  'response-started' | 'deadline' | 'implicated' | 'may-have-run' | 'attempts';

/** Decision on a retry; the engine must still take tokens of the budget. */
export type RetryDecision =
  | {readonly type: 'retry'}
  | {readonly type: 'stop'; readonly reason: RetryStopReason};

/**
 * Decides whether a request may be retried. A non-idempotent request may be
 * retried only if every earlier attempt ended as `not-run`.
 *
 * @param context - state of the request
 * @returns `retry`, or `stop` with the first reason that applies
 *
 * @example
 * ```ts
 * const decision = decideRetry({
 *   idempotent: false, verdicts: ['not-run'], responseStarted: false,
 *   implicated: false, deadlineMs: 2000, nowMs: 100,
 * });
 * ```
 */
export function decideRetry(context: RetryContext): RetryDecision {
  if (context.responseStarted) {
    return {type: 'stop', reason: 'response-started'};
  }
  if (context.implicated) {
    return {type: 'stop', reason: 'implicated'};
  }
  if (context.nowMs >= context.deadlineMs) {
    return {type: 'stop', reason: 'deadline'};
  }
  const allNotRun = context.verdicts.every(verdict => verdict === 'not-run');
  if (!context.idempotent && !allNotRun) {
    return {type: 'stop', reason: 'may-have-run'};
  }
  const runCount = context.verdicts.filter(
    verdict => verdict !== 'not-run',
  ).length;
  if (
    runCount >= MAX_ATTEMPTS ||
    context.verdicts.length >= MAX_ATTEMPTS_WITH_REFUSALS
  ) {
    return {type: 'stop', reason: 'attempts'};
  }
  return {type: 'retry'};
}
