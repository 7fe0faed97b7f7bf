/**
 * Attempts at targets, their verdicts, retry decisions and retry budgets.
 *
 * @packageDocumentation
 */
export {Attempt} from './attempt.js';
export {
  attemptChart,
  isFinalState,
  verdictOfState,
  type AttemptEvent,
  type AttemptState,
} from './attempt_chart.js';
export {WindowBudget, type WindowLimit} from './window_budget.js';
export {RetryBudget, type RetryCost} from './retry_budget.js';
export {
  decideRetry,
  MAX_ATTEMPTS,
  MAX_ATTEMPTS_WITH_REFUSALS,
  type RetryContext,
  type RetryDecision,
  type RetryStopReason,
} from './retry_decision.js';
