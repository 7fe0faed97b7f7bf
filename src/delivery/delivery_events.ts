/**
 * Log lines of the decisions on requests: inputs with their age, and outcome.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {TargetChoice} from '../load/index.js';
import type {ServiceLoad} from '../limits/index.js';
import type {Delivery, DeliveryAttempt} from './delivery.js';
import type {DeliveryEvent, DeliveryOutcome, DeliveryReason} from './types.js';

/** Age that stands for a load that is not known. */
const UNKNOWN_AGE_MS = -1;

/**
 * Describes the start of an attempt.
 *
 * @param delivery - request
 * @param choice - target and forecast
 * @param options - version of the routes, and the current instant
 * @returns line for the log
 */
export function sendEvent(
  {request, rule, attempts}: Delivery,
  {forecast, cost}: TargetChoice,
  options: {readonly routesVersion: number; readonly nowMs: InstantMs},
): DeliveryEvent {
  const {targetId, durationMs, loadAgeMs, failureShare} = forecast;
  const {freeSlots, slowness} = forecast;
  return {
    name: 'send',
    details: {
      callId: request.callId,
      route: rule.name,
      routesVersion: options.routesVersion,
      attempt: attempts.length,
      targetId,
      expectedMs: Math.round(durationMs),
      loadAgeMs: Number.isFinite(loadAgeMs)
        ? Math.round(loadAgeMs)
        : UNKNOWN_AGE_MS,
      freeSlots: roundShare(freeSlots),
      slowness: roundShare(slowness),
      failureShare: roundShare(failureShare),
      cost: roundShare(cost),
      waitedMs: Math.round(options.nowMs - request.arrivedMs),
    },
  };
}

/**
 * Describes the end of an attempt without an answer to pass on.
 *
 * @param delivery - request
 * @param attempt - attempt that ended
 * @param outcome - how it ended
 * @param nowMs - current instant in milliseconds
 * @returns line for the log
 */
export function attemptFailedEvent(
  {request}: Delivery,
  {targetId, verdict, startedMs}: DeliveryAttempt,
  outcome: string,
  nowMs: InstantMs,
): DeliveryEvent {
  const elapsedMs = Math.round(nowMs - startedMs);
  const {callId} = request;
  return {
    name: 'attempt-failed',
    details: {callId, targetId, outcome, verdict, elapsedMs},
  };
}

/**
 * Describes a response that is passed on.
 *
 * @param delivery - request
 * @param token - token of the attempt
 * @param status - HTTP status code
 * @param nowMs - current instant in milliseconds
 * @returns line for the log
 */
export function answerEvent(
  {request, attempts}: Delivery,
  token: string,
  status: number,
  nowMs: InstantMs,
): DeliveryEvent {
  const attempt = attempts.find(each => each.token === token);
  return {
    name: 'answer',
    details: {
      callId: request.callId,
      status,
      targetId: attempt?.targetId ?? '',
      attempts: attempts.length,
      sinceSentMs: Math.round(nowMs - (attempt?.sentMs ?? nowMs)),
      elapsedMs: Math.round(nowMs - request.arrivedMs),
    },
  };
}

/**
 * Describes an answer of the balancer itself.
 *
 * @param delivery - request
 * @param refusal - reason and outcome
 * @param load - load of the service as this VM knows it, with its own part
 * @param nowMs - current instant in milliseconds
 * @returns line for the log
 */
export function refuseEvent(
  {request, rule, verdict, attempts}: Delivery,
  refusal: {readonly reason: DeliveryReason; readonly outcome: DeliveryOutcome},
  load: ServiceLoad & {readonly ownInFlight: number},
  nowMs: InstantMs,
): DeliveryEvent {
  const {reason, outcome} = refusal;
  return {
    name: 'refuse',
    details: {
      callId: request.callId,
      route: rule.name,
      reason,
      verdict,
      status: outcome.type === 'refusal' ? outcome.status : 0,
      slotCount: load.slotCount,
      inFlightCount: Math.round(load.inFlightCount),
      ownInFlight: load.ownInFlight,
      attempts: attempts.length,
      elapsedMs: Math.round(nowMs - request.arrivedMs),
    },
  };
}

function roundShare(value: number): number {
  return Math.round(value * 1000) / 1000;
}
