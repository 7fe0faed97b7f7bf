/**
 * Claims of non-idempotent requests with an idempotency key.
 *
 * @packageDocumentation
 */
import {type InstantMs, rendezvousRank, type Verdict} from '../core/index.js';
import type {ClaimAnswer} from '../recovery/index.js';
import type {ActiveClaim, ActiveRequest} from './active_request.js';
import type {Completion} from './completion.js';
import type {Dispatcher} from './dispatcher.js';
import type {EngineContext} from './engine_context.js';
import type {ClaimReply, RefusalReason} from './types.js';

/** Refusal that the caller gets if the home VM does not grant a claim. */
interface Denial {
  readonly reason: RefusalReason;
  /** Undefined to use the verdict of the request itself. */
  readonly verdict: Verdict | undefined;
}

/**
 * Sends claims to home VMs and handles their replies.
 *
 * @internal
 */
export class ClaimFlow {
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Sends a claim to the request's home VM; refuses the request if none. */
  start(request: ActiveRequest): void {
    const key = request.caller.idempotencyKey;
    const homeVmId = this.homeOf(request);
    if (key === undefined || homeVmId === undefined) {
      this.completion.refuse(request, 'home-unreachable');
      return;
    }
    const token = this.context.nextToken();
    request.claim = {token, homeVmId, state: 'pending'};
    this.context.pendingClaims.set(token, request);
    this.context.emit({
      type: 'claim',
      homeVmId,
      claim: {
        key,
        fingerprint: request.caller.fingerprint,
        attempt: request.caller.attempt,
        claimantId: this.context.options.incarnationId,
        token,
        deadlineMs: request.deadlineMs,
      },
    });
  }

  /** Handles the reply to a claim. */
  onReply(reply: ClaimReply, nowMs: InstantMs): void {
    const request = this.context.pendingClaims.get(reply.token);
    const claim = request?.claim;
    if (request === undefined || claim === undefined) {
      const details = {token: reply.token, answer: reply.answer.type};
      this.context.emitEvent('recovery', 'late-claim-reply', details);
      return;
    }
    this.context.pendingClaims.delete(reply.token);
    if (reply.answer.type === 'granted') {
      this.onGranted(request, claim, nowMs);
      return;
    }
    const isUnknown = reply.answer.type === 'unreachable';
    claim.state = isUnknown ? 'unknown' : 'denied';
    if (request.isClosedToCaller) {
      this.completion.closeIfDone(request);
      return;
    }
    this.onDenied(request, claim, reply.answer);
  }

  /** Ends the wait for the reply to a claim. */
  expire(request: ActiveRequest): void {
    if (request.claim?.state === 'pending') {
      request.claim.state = 'unknown';
      this.context.pendingClaims.delete(request.claim.token);
      this.completion.closeIfDone(request);
    }
  }

  private onGranted(
    request: ActiveRequest,
    claim: ActiveClaim,
    nowMs: InstantMs,
  ): void {
    claim.state = 'granted';
    request.claimGranted = true;
    if (request.isClosedToCaller) {
      this.completion.closeIfDone(request);
      return;
    }
    this.dispatcher.enqueue(request, nowMs);
  }

  private onDenied(
    request: ActiveRequest,
    claim: ActiveClaim,
    answer: ClaimAnswer,
  ): void {
    const homeVmId = this.homeOf(request);
    if (answer.type === 'not-home' && homeVmId !== claim.homeVmId) {
      // The membership view of this VM has changed since the claim was sent.
      this.start(request);
      return;
    }
    const {reason, verdict} = denialOf(answer);
    this.completion.refuse(request, reason, verdict);
  }

  private homeOf(request: ActiveRequest): string | undefined {
    const key = request.caller.idempotencyKey;
    return key === undefined
      ? undefined
      : rendezvousRank(key, this.context.readyVmIds)[0];
  }
}

function denialOf(answer: ClaimAnswer): Denial {
  switch (answer.type) {
    case 'ran':
      return {reason: 'already-ran', verdict: 'ran'};
    case 'running':
      return {reason: 'already-running', verdict: 'may-have-run'};
    case 'may-have-run':
      return {reason: 'possibly-ran', verdict: 'may-have-run'};
    case 'mismatch':
      return {reason: 'key-mismatch', verdict: undefined};
    case 'granted':
    case 'not-home':
    case 'unreachable':
      return {reason: 'home-unreachable', verdict: undefined};
  }
}
