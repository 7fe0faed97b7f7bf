/**
 * Decision on a retry after a failed attempt.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';

/**
 * Greatest number of attempts of one request in this VM that may have run. The
 * budget bounds the retries of a service; this bounds what one request can take
 * of it.
 */
export const MAX_ATTEMPTS = 4;

/**
 * Greatest number of attempts of any verdict. Attempts that did not run cost
 * little, and near capacity a request often meets four full targets in a row.
 */
export const MAX_ATTEMPTS_WITH_REFUSALS = 8;

/** State of a request after an attempt ended without an answer. */
export interface RetryQuestion {
  readonly idempotent: boolean;
  /** Verdicts of all attempts so far, the failed one included. */
  readonly verdicts: readonly Verdict[];
  /** True if any byte of a response or any answer went to the caller. */
  readonly responseStarted: boolean;
  /** True if the request was in flight when a target crashed. */
  readonly implicated: boolean;
  readonly deadlineMs: InstantMs;
  readonly nowMs: InstantMs;
}

/** Why a request is not retried. */
export type RetryRefusal =
  'response-started' | 'deadline' | 'implicated' | 'may-have-run' | 'attempts';

/** Result of the decision; the caller still takes a token of the budget. */
export type RetryDecision =
  | {readonly type: 'retry'}
  | {readonly type: 'stop'; readonly reason: RetryRefusal};

/**
 * Decides whether a request may be sent again. A non-idempotent request may
 * only if every earlier attempt ended as `not-run`.
 *
 * @param question - state of the request
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
export function decideRetry(question: RetryQuestion): RetryDecision {
  if (question.responseStarted) {
    return {type: 'stop', reason: 'response-started'};
  }
  if (question.implicated) {
    return {type: 'stop', reason: 'implicated'};
  }
  if (question.nowMs >= question.deadlineMs) {
    return {type: 'stop', reason: 'deadline'};
  }
  const notRun = question.verdicts.every(verdict => verdict === 'not-run');
  if (!question.idempotent && !notRun) {
    return {type: 'stop', reason: 'may-have-run'};
  }
  const runCount = question.verdicts.filter(
    verdict => verdict !== 'not-run',
  ).length;
  if (
    runCount >= MAX_ATTEMPTS ||
    question.verdicts.length >= MAX_ATTEMPTS_WITH_REFUSALS
  ) {
    return {type: 'stop', reason: 'attempts'};
  }
  return {type: 'retry'};
}
