/**
 * Completion of a request: response to the caller, settlement of its claim.
 *
 * @packageDocumentation
 */
import type {Verdict} from '../core/index.js';
import type {ActiveRequest} from './active_request.js';
import type {EngineContext} from './engine_context.js';
import {buildRefusal} from './refusal.js';
import type {RefusalReason, RequestOutcome} from './types.js';

/**
 * Answers each caller at most once and settles each claim once.
 *
 * @internal
 */
export class Completion {
  constructor(private readonly context: EngineContext) {}

  /** Answers the caller unless it was answered or has disconnected. */
  respond(request: ActiveRequest, outcome: RequestOutcome): void {
    if (request.isClosedToCaller) {
      this.closeIfDone(request);
      return;
    }
    request.isClosedToCaller = true;
    // Settled first, so that the home VM has the verdict before a copy arrives.
    this.settleIfDue(request);
    const requestId = request.caller.requestId;
    this.context.emit({type: 'respond', requestId, outcome});
    this.closeIfDone(request);
  }

  /** Refuses the request, by default with its own verdict. */
  refuse(
    request: ActiveRequest,
    reason: RefusalReason,
    verdict: Verdict = verdictForCaller(request),
  ): void {
    this.respond(
      request,
      buildRefusal(reason, verdict, request.isUnverifiedCopy),
    );
  }

  /** Marks the request as one whose caller has disconnected. */
  abandon(request: ActiveRequest): void {
    request.isClosedToCaller = true;
    this.closeIfDone(request);
  }

  /** Removes a request once its caller, attempt and claim are done. */
  closeIfDone(request: ActiveRequest): void {
    this.settleIfDue(request);
    const isOpen =
      !request.isClosedToCaller ||
      request.attempt !== undefined ||
      request.claim?.state === 'pending';
    if (isOpen) {
      return;
    }
    this.context.deadlines.delete(request);
    this.context.requests.delete(request.caller.requestId);
  }

  /** Sends the verdict to the home VM once it is final. */
  private settleIfDue(request: ActiveRequest): void {
    const claim = request.claim;
    const key = request.caller.idempotencyKey;
    if (claim === undefined || key === undefined) {
      return;
    }
    const needsSettlement =
      claim.state === 'granted' || claim.state === 'unknown';
    const isFinished =
      request.isClosedToCaller && request.attempt === undefined;
    if (!needsSettlement || !isFinished) {
      return;
    }
    claim.state = 'settled';
    this.context.emit({
      type: 'settle',
      homeVmId: claim.homeVmId,
      settlement: {
        key,
        claimantId: this.context.options.incarnationId,
        token: claim.token,
        verdict: request.verdict,
      },
    });
  }
}

/**
 * Returns the verdict to report to the caller. An earlier copy of an unverified
 * request may have run even if this one did not.
 */
function verdictForCaller(request: ActiveRequest): Verdict {
  const verdict = request.verdict;
  return verdict === 'not-run' && request.isUnverifiedCopy
    ? 'may-have-run'
    : verdict;
}
