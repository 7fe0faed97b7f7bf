/**
 * Arrival of a request: lookup of its kind, first checks, claim or queue.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {ActiveRequest} from './active_request.js';
import type {ClaimFlow} from './claim_flow.js';
import type {Completion} from './completion.js';
import type {Dispatcher} from './dispatcher.js';
import type {EngineContext} from './engine_context.js';
import {buildRefusal} from './refusal.js';
import type {CallerRequest, RefusalReason} from './types.js';

/**
 * Maximum time to the deadline. Claim records are kept for 10 minutes; a
 * request must be settled well before its record expires.
 */
const MAX_TIMEOUT_MS = 300_000;

/**
 * Validates requests of callers, then queues them or starts their claim.
 *
 * @internal
 */
export class Arrival {
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly dispatcher: Dispatcher,
    private readonly claims: ClaimFlow,
  ) {}

  /** Accepts a request, or refuses it at once. */
  onRequest(caller: CallerRequest, nowMs: InstantMs): void {
    const {requestId} = caller;
    if (this.context.requests.has(requestId)) {
      this.context.emitEvent('request', 'repeated-request-id', {requestId});
      return;
    }
    const resolved = this.resolve(caller, nowMs);
    if (!(resolved instanceof ActiveRequest)) {
      const outcome = buildRefusal(resolved, 'not-run', false);
      this.context.emit({type: 'respond', requestId, outcome});
      return;
    }
    this.context.requests.set(requestId, resolved);
    this.context.deadlines.set(resolved, resolved.deadlineMs);
    this.accept(resolved, nowMs);
  }

  /** Resolves service, preset and kind; returns the refusal reason if none. */
  private resolve(
    caller: CallerRequest,
    nowMs: InstantMs,
  ): ActiveRequest | RefusalReason {
    const {preset, vmList, services} = this.context;
    if (preset === undefined || vmList === undefined) {
      return 'not-ready';
    }
    const service = services.get(caller.service);
    const snapshot = service?.snapshot;
    if (service === undefined || snapshot === undefined) {
      return 'unknown-service';
    }
    const kind = snapshot.kindOf(caller.method, caller.path);
    if (kind === undefined) {
      return 'unknown-kind';
    }
    const requestedMs = caller.deadlineMs ?? nowMs + kind.timeoutMs;
    const deadlineMs = Math.min(requestedMs, nowMs + MAX_TIMEOUT_MS);
    return new ActiveRequest({
      caller,
      service,
      snapshot,
      kind,
      nowMs,
      deadlineMs,
    });
  }

  private accept(request: ActiveRequest, nowMs: InstantMs): void {
    const {quarantine} = this.context;
    if (nowMs >= request.deadlineMs) {
      this.completion.refuse(request, 'deadline');
    } else if (quarantine.isQuarantined(request.crashFingerprints, nowMs)) {
      this.completion.refuse(request, 'quarantined', 'may-have-run');
    } else if (!request.needsClaim) {
      this.dispatcher.enqueue(request, nowMs);
    } else if (this.dispatcher.wouldReject(request, nowMs)) {
      // Checked before the claim, which costs a round trip between VMs.
      this.completion.refuse(request, 'overloaded');
    } else {
      this.claims.start(request);
    }
  }
}
