/**
 * When an unanswered attempt may be hedged.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {RouteRule} from '../routes/index.js';

/** Multiple of the forecast duration after which an attempt may be hedged. */
const HEDGE_DELAY_FACTOR = 1.2;

/** Minimum time after which an attempt may be hedged. */
const MIN_HEDGE_DELAY_MS = 40;

/** Interval of further checks whether to hedge. */
const HEDGE_CHECK_INTERVAL_MS = 40;

/**
 * Returns the instant of the first check whether to hedge an attempt.
 *
 * @param rule - route of the request
 * @param durationMs - forecast duration of the attempt, in milliseconds
 * @param nowMs - current instant in milliseconds
 * @returns the instant; infinite for a request that is not idempotent
 */
export function firstHedgeCheckMs(
  rule: RouteRule,
  durationMs: number,
  nowMs: InstantMs,
): InstantMs {
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, durationMs * HEDGE_DELAY_FACTOR);
  return rule.idempotent ? nowMs + delayMs : Infinity;
}

/** Returns the instant of the next check, after one that sent no hedge. */
export function nextHedgeCheckMs(nowMs: InstantMs): InstantMs {
  return nowMs + HEDGE_CHECK_INTERVAL_MS;
}
