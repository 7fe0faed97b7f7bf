/**
 * Answers that do not come from a target.
 *
 * @packageDocumentation
 */
import type {RandomSource, Verdict} from '../core/index.js';
import type {DeliveryOutcome, DeliveryReason} from './types.js';

/** Statuses. 503 promises that the request did not run and never will. */
const NOT_FOUND = 404;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Wait that callers are asked for when another VM can take the request. */
const OTHER_VM_WAIT_SECONDS = 0.01;

/**
 * Wait that callers are asked for when targets are busy. Work at a target takes
 * some tenths of a second, so slots become free within this time.
 */
const BUSY_WAIT_SECONDS = 0.08;

/** Spread of the waits, as a share, so that callers do not return together. */
const WAIT_SPREAD = 0.5;

/**
 * Builds the answer to a request that gets no response of a target.
 *
 * @param reason - why
 * @param verdict - whether the request may have run
 * @param random - spreads the return of callers
 * @returns status, verdict and wait
 */
export function buildRefusal(
  reason: DeliveryReason,
  verdict: Verdict,
  random: RandomSource,
): DeliveryOutcome {
  return {
    type: 'refusal',
    status: statusOf(reason, verdict),
    verdict,
    reason,
    retryAfterSeconds: retryAfterSeconds(reason, verdict, random),
  };
}

function statusOf(reason: DeliveryReason, verdict: Verdict): number {
  if (reason === 'no-route') {
    return NOT_FOUND;
  }
  if (verdict === 'not-run') {
    return UNAVAILABLE;
  }
  return reason === 'timeout' || reason === 'deadline'
    ? GATEWAY_TIMEOUT
    : BAD_GATEWAY;
}

function retryAfterSeconds(
  reason: DeliveryReason,
  verdict: Verdict,
  random: RandomSource,
): number | undefined {
  if (verdict !== 'not-run' || reason === 'no-route') {
    return undefined;
  }
  if (reason === 'quarantined') {
    return undefined;
  }
  const isVmAtFault = reason === 'no-routes' || reason === 'leaving';
  const seconds = isVmAtFault ? OTHER_VM_WAIT_SECONDS : BUSY_WAIT_SECONDS;
  const spread = 1 + random.nextFloat() * WAIT_SPREAD;
  return Math.round(seconds * spread * 1000) / 1000;
}
