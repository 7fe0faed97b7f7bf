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
 * Least wait that callers are asked for when targets are busy. Work at a target
 * takes some tenths of a second, so slots become free within this time.
 */
const BUSY_WAIT_SECONDS = 0.08;

/** Load of a service, as a share of its slots, from which on waits grow. */
const OVERLOAD = 0.8;

/**
 * Growth of the wait with each unit of load beyond. A caller that comes back at
 * once meets the same peak and uses up its few tries.
 */
const OVERLOAD_WAIT_SECONDS = 1;

/** Greatest wait; callers have seconds, not minutes. */
const MAX_WAIT_SECONDS = 0.6;

/** Spread of the waits, as a share, so that callers do not return together. */
const WAIT_SPREAD = 0.5;

/** Why a request gets no response of a target. */
export interface RefusalCause {
  readonly reason: DeliveryReason;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** Requests at the service as a share of its slots; 0 if unknown. */
  readonly load: number;
}

/**
 * Builds the answer to a request that gets no response of a target.
 *
 * @param cause - why
 * @param random - spreads the return of callers
 * @returns status, verdict and wait
 */
export function buildRefusal(
  cause: RefusalCause,
  random: RandomSource,
): DeliveryOutcome {
  const {reason, verdict} = cause;
  return {
    type: 'refusal',
    status: statusOf(reason, verdict),
    verdict,
    reason,
    retryAfterSeconds: retryAfterSeconds(cause, random),
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
  {reason, verdict, load}: RefusalCause,
  random: RandomSource,
): number | undefined {
  if (verdict !== 'not-run' || reason === 'no-route') {
    return undefined;
  }
  if (reason === 'quarantined') {
    return undefined;
  }
  const isVmAtFault = reason === 'no-routes' || reason === 'leaving';
  const seconds = isVmAtFault ? OTHER_VM_WAIT_SECONDS : busyWaitSeconds(load);
  const spread = 1 + random.nextFloat() * WAIT_SPREAD;
  return Math.round(seconds * spread * 1000) / 1000;
}

function busyWaitSeconds(load: number): number {
  const excess = Math.max(0, load - OVERLOAD);
  const seconds = BUSY_WAIT_SECONDS + excess * OVERLOAD_WAIT_SECONDS;
  return Math.min(seconds, MAX_WAIT_SECONDS);
}
