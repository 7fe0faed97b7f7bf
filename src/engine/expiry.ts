/**
 * Expiry of requests at their deadline or when their caller disconnects.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {ActiveRequest} from './active_request.js';
import type {AttemptFlow} from './attempt_flow.js';
import type {ClaimFlow} from './claim_flow.js';
import type {Completion} from './completion.js';
import type {EngineContext} from './engine_context.js';

/**
 * Time past the deadline for which a sent non-idempotent attempt, or a claim
 * without a reply, stays open so that its verdict can be settled. Shorter than
 * the 5 s after which the home VM assumes `may-have-run`.
 */
const SETTLE_GRACE_MS = 4000;

/**
 * Ends requests whose deadline has passed or whose caller has disconnected.
 *
 * @internal
 */
export class Expiry {
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly attempts: AttemptFlow,
    private readonly claims: ClaimFlow,
  ) {}

  /** Ends all requests whose deadline has passed. */
  expireDue(nowMs: InstantMs): void {
    for (const request of this.context.deadlines.takeDue(nowMs)) {
      this.expire(request, nowMs);
    }
  }

  /** Ends a request whose caller closed its connection. */
  onCallerGone(requestId: string, nowMs: InstantMs): void {
    const request = this.context.requests.get(requestId);
    if (request === undefined || request.isClosedToCaller) {
      return;
    }
    request.service.queue.remove(request);
    if (!mustFinish(request)) {
      this.attempts.cancel(request, 'cancelled', nowMs);
    }
    this.completion.abandon(request);
  }

  private expire(request: ActiveRequest, nowMs: InstantMs): void {
    const graceEndMs = request.deadlineMs + SETTLE_GRACE_MS;
    const isGraceOver = nowMs >= graceEndMs;
    request.service.queue.remove(request);
    if (!mustFinish(request) || isGraceOver) {
      this.attempts.cancel(request, 'timed-out', nowMs);
    }
    this.completion.refuse(request, 'deadline');
    if (isGraceOver) {
      this.claims.expire(request);
    }
    if (this.context.requests.has(request.caller.requestId)) {
      this.context.deadlines.set(request, graceEndMs);
    }
  }
}

/** Returns true if the attempt must go on so that its verdict is known. */
function mustFinish(request: ActiveRequest): boolean {
  return !request.kind.idempotent && request.attempt?.isSent === true;
}
