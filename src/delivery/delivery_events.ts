/**
 * Log events of the decisions on requests: inputs with their age, and outcome.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {ResponseViolation} from '../engine/index.js';
import type {TargetChoice} from '../load/index.js';
import type {ServiceLoad} from '../limits/index.js';
import type {Delivery, DeliveryAttempt} from './delivery.js';
import type {DeliveryEvent, DeliveryOutcome, DeliveryReason} from './types.js';

/** Logged in place of the age of an unknown load. */
const UNKNOWN_AGE_MS = -1;

/** Length to which paths are cut in the log. */
const MAX_LOGGED_PATH_LENGTH = 200;

/**
 * Builds the log event of the start of an attempt.
 *
 * @param delivery - request
 * @param choice - target and forecast
 * @param options - version of the routes, and the current instant
 * @returns event to log
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
 * Builds the log event of a request that is passed to a peer.
 *
 * @param delivery - request
 * @param attempt - attempt that the peer carries
 * @param nowMs - current instant in milliseconds
 * @returns event to log
 */
export function relayEvent(
  {request, rule, attempts, unreachableCount}: Delivery,
  {peerHost = '', targetCount}: DeliveryAttempt,
  nowMs: InstantMs,
): DeliveryEvent {
  return {
    name: 'relay',
    details: {
      callId: request.callId,
      route: rule.name,
      attempt: attempts.length,
      peer: peerHost,
      maxAttempts: targetCount,
      unreachableCount,
      waitedMs: Math.round(nowMs - request.arrivedMs),
    },
  };
}

/**
 * Builds the log event of the end of an attempt without a response to forward.
 *
 * @param delivery - request
 * @param attempt - attempt that ended
 * @param outcome - outcome of the attempt
 * @param nowMs - current instant in milliseconds
 * @returns event to log
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
 * Builds the log event of a target that violated the protocol.
 *
 * @param delivery - request
 * @param attempt - attempt whose connection was closed
 * @param violation - kind of violation
 * @returns event to log
 */
export function violationEvent(
  {request}: Delivery,
  {targetId}: DeliveryAttempt,
  violation: ResponseViolation,
): DeliveryEvent {
  const {callId} = request;
  return {name: 'target-violation', details: {callId, targetId, violation}};
}

/**
 * Builds the log event of a request that was in flight when a target was lost,
 * with all that distinguishes it from another request.
 *
 * @param delivery - request
 * @param attempt - attempt that was lost
 * @param crashedTargetCount - targets lost with the request, at any VM
 * @returns event to log
 */
export function implicatedEvent(
  {request}: Delivery,
  {targetId}: DeliveryAttempt,
  crashedTargetCount: number,
): DeliveryEvent {
  const {callId, fingerprint, resourceFingerprint} = request;
  const {callerAddress, method, host, path} = request;
  return {
    name: 'implicated',
    details: {
      callId,
      targetId,
      crashedTargetCount,
      fingerprint,
      resourceFingerprint,
      callerAddress,
      method,
      host,
      path: path.slice(0, MAX_LOGGED_PATH_LENGTH),
    },
  };
}

/**
 * Builds the log event of a response that clears a request of the suspicion of
 * crashing targets.
 *
 * @param delivery - request
 * @param attempt - attempt that was answered
 * @param status - HTTP status code
 * @returns event to log
 */
export function clearedEvent(
  {request}: Delivery,
  {targetId}: DeliveryAttempt,
  status: number,
): DeliveryEvent {
  const {callId, fingerprint, resourceFingerprint} = request;
  return {
    name: 'cleared',
    details: {callId, targetId, fingerprint, resourceFingerprint, status},
  };
}

/**
 * Builds the log event of a response that is forwarded.
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
 * Builds the log event of an answer generated by the load balancer.
 *
 * @param delivery - request
 * @param refusal - reason and outcome
 * @param load - load of the service, and the open attempts of this VM at it
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
      rank: rule.rank,
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
