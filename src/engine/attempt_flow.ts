/**
 * Attempts at targets: start, signals, cancellation, retries.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {Attempt, decideRetry, type RetryCost} from '../retries/index.js';
import type {AttemptOutcome} from '../routing/index.js';
import type {ActiveRequest} from './active_request.js';
import type {Completion} from './completion.js';
import type {EngineContext} from './engine_context.js';
import type {KnownTarget, ServiceState} from './service_state.js';
import type {AttemptSignal, RefusalReason} from './types.js';

type ResponseSignal = Extract<AttemptSignal, {type: 'response'}>;
type LostSignal = Extract<AttemptSignal, {type: 'lost'}>;

/** Tokens of the retry budget that a retry costs. */
const ORDINARY_RETRY_COST = 1;

/**
 * The same after an explicit refusal. The target did no work, so a retry cannot
 * multiply an overload as one after a timeout does.
 */
const REFUSAL_RETRY_COST = 0.2;

/**
 * Tokens that retries of the cheapest kind leave for the others. Half of the
 * level up to which tokens return without traffic, so that a service of little
 * traffic retries all kinds.
 */
const CHEAPEST_KIND_RESERVE = 5;

/** A request together with its current attempt. */
interface Running {
  readonly request: ActiveRequest;
  readonly attempt: Attempt;
}

/**
 * Runs the attempts of all requests.
 *
 * @internal
 */
export class AttemptFlow {
  /**
   * @param context - shared state
   * @param completion - end of requests
   * @param requeue - puts a request back into its queue for another attempt
   */
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly requeue: (request: ActiveRequest) => void,
  ) {}

  /** Starts an attempt at a target; the request has left the queue. */
  start(request: ActiveRequest, target: KnownTarget, nowMs: InstantMs): void {
    const {service, snapshot, kind} = request;
    const token = this.context.nextToken();
    const attempt = new Attempt({token, targetId: target.targetId});
    if (request.verdicts.length === 0) {
      service.budget.onFirstAttempt();
    }
    request.attempt = attempt;
    this.context.attempts.set(token, request);
    service.addAttempt(target, request);
    service.pool.onSent(target.targetId, nowMs);
    attempt.connect();
    this.context.emit({
      type: 'send',
      token,
      requestId: request.caller.requestId,
      targetId: target.targetId,
      host: target.host,
      port: target.port,
      freshness: kind.idempotent ? 'any' : 'proven',
      maxConnections: snapshot.maxConnections,
      // A non-idempotent request is not sent again, so breaking it off would
      // only turn a slow answer into an unknown one.
      silenceLimitMs: kind.idempotent
        ? service.silenceLimitMs(kind, {
            remainingMs: request.deadlineMs - nowMs,
            lostCount: request.verdicts.filter(verdict => verdict !== 'not-run')
              .length,
          })
        : undefined,
      deadlineMs: request.deadlineMs,
    });
  }

  /**
   * Takes in a step of an attempt.
   *
   * @returns the service whose slot may have become free; undefined if none
   */
  onSignal(
    token: string,
    signal: AttemptSignal,
    nowMs: InstantMs,
  ): ServiceState | undefined {
    const request = this.context.attempts.get(token);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
      this.onLateSignal(token, signal);
      return undefined;
    }
    this.onRunningSignal({request, attempt}, signal, nowMs);
    return request.service;
  }

  /** Cancels the current attempt, if any, without a retry. */
  cancel(
    request: ActiveRequest,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void {
    const attempt = request.attempt;
    if (attempt === undefined) {
      return;
    }
    if (outcome === 'timed-out') {
      observeUnfinished({request, attempt}, nowMs);
    }
    attempt.cancel({bytesSent: false});
    this.context.emit({type: 'cancel', token: attempt.token});
    this.finish({request, attempt}, outcome, nowMs);
  }

  /**
   * Records a signal of an attempt that is unknown or has ended, except for
   * `cancelled`, with which the adapter answers each `cancel`.
   */
  private onLateSignal(token: string, signal: AttemptSignal): void {
    if (signal.type === 'cancelled') {
      return;
    }
    if (signal.type === 'sent') {
      this.context.emit({type: 'cancel', token});
    }
    this.context.event('attempt', 'late-signal', {token, signal: signal.type});
  }

  private onRunningSignal(
    running: Running,
    signal: AttemptSignal,
    nowMs: InstantMs,
  ): void {
    switch (signal.type) {
      case 'sent':
        return this.onSent(running, nowMs);
      case 'response':
        return this.onResponse(running, signal, nowMs);
      case 'unreachable':
        return this.onUnreachable(running, nowMs);
      case 'lost':
        return this.onLost(running, signal, nowMs);
      case 'cancelled':
        return this.onCancelled(running, signal.bytesSent, nowMs);
    }
  }

  /** Last check before the first byte leaves. */
  private onSent(running: Running, nowMs: InstantMs): void {
    const {request, attempt} = running;
    if (attempt.isSent) {
      const details = {token: attempt.token, signal: 'sent'};
      this.context.event('attempt', 'repeated-signal', details);
      return;
    }
    if (nowMs >= request.deadlineMs) {
      this.cancel(request, 'cancelled', nowMs);
      this.completion.refuse(request, 'deadline');
      return;
    }
    if (this.isQuarantined(request, nowMs)) {
      this.cancel(request, 'cancelled', nowMs);
      this.completion.refuse(request, 'quarantined', 'may-have-run');
      return;
    }
    attempt.markSent(nowMs);
  }

  private onResponse(
    running: Running,
    signal: ResponseSignal,
    nowMs: InstantMs,
  ): void {
    this.takeReport(running, signal, nowMs);
    if (signal.refused) {
      running.attempt.refuse();
      this.finish(running, 'refused', nowMs);
      this.retryOrRefuse(running, 'overloaded', nowMs);
      return;
    }
    this.onAnswer(running, signal.status, nowMs);
  }

  private onAnswer(running: Running, status: number, nowMs: InstantMs): void {
    const {request, attempt} = running;
    const isError = status >= 500;
    if (!isError && attempt.sentMs !== undefined) {
      const durationMs = nowMs - attempt.sentMs;
      request.service.estimatorOf(request.kind).observe(durationMs, nowMs);
    }
    attempt.complete();
    const isLate = nowMs >= request.deadlineMs;
    const outcome = isError ? 'server-error' : 'answered';
    this.finish(running, isLate ? 'timed-out' : outcome, nowMs);
    const {quarantine} = this.context.options;
    quarantine.onAnswered(request.crashFingerprint, nowMs);
    this.completion.respond(request, {type: 'response', token: attempt.token});
  }

  private onUnreachable(running: Running, nowMs: InstantMs): void {
    const wasSent = running.attempt.isSent;
    running.attempt.failConnection();
    this.finish(running, wasSent ? 'lost' : 'unreachable', nowMs);
    this.retryOrRefuse(running, 'no-target', nowMs);
  }

  private onLost(running: Running, signal: LostSignal, nowMs: InstantMs): void {
    // Neither a request that crashes targets nor a silent connection may eject
    // a target.
    const isBlamed = signal.crashed && this.onCrash(running, nowMs);
    const isTargetFault = !isBlamed && signal.silent !== true;
    running.attempt.lose();
    this.finish(running, isTargetFault ? 'lost' : 'cancelled', nowMs);
    this.retryOrRefuse(running, 'connection-lost', nowMs);
  }

  /** The adapter gave up an attempt that the engine did not cancel. */
  private onCancelled(
    running: Running,
    bytesSent: boolean,
    nowMs: InstantMs,
  ): void {
    running.attempt.cancel({bytesSent});
    this.finish(running, 'cancelled', nowMs);
    this.retryOrRefuse(running, 'no-target', nowMs);
  }

  /**
   * Implicates all requests that were in flight at a crashed target.
   *
   * @returns true if one of them was implicated before this signal
   */
  private onCrash(running: Running, nowMs: InstantMs): boolean {
    const {quarantine} = this.context.options;
    const {targetId} = running.attempt;
    const target = running.request.service.targets.get(targetId);
    const inFlight = [...(target?.requests ?? [])].filter(
      other => other === running.request || other.attempt?.isSent === true,
    );
    const fingerprints = [
      ...new Set(inFlight.map(other => other.crashFingerprint)),
    ];
    const isBlamed = fingerprints.some(fingerprint =>
      quarantine.isImplicated(fingerprint, nowMs),
    );
    quarantine.onCrash(targetId, fingerprints, nowMs);
    // Each VM that does not know of it yet may lose another target.
    this.context.hasUrgentFacts = true;
    const details = {targetId, requestCount: fingerprints.length};
    this.context.event('target', 'target-crashed', details);
    return isBlamed;
  }

  /** Takes the attempt out of all tables. */
  private finish(
    running: Running,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void {
    const {request, attempt} = running;
    request.verdicts.push(attempt.verdict);
    request.attempt = undefined;
    this.context.attempts.delete(attempt.token);
    request.service.removeAttempt(attempt.targetId, request);
    request.service.pool.onFinished(attempt.targetId, outcome, nowMs);
    if (outcome !== 'answered') {
      this.context.event('attempt', 'attempt-failed', {
        token: attempt.token,
        requestId: request.caller.requestId,
        targetId: attempt.targetId,
        state: attempt.state,
        outcome,
      });
    }
  }

  /** Sends the request to another target, or answers the caller. */
  private retryOrRefuse(
    running: Running,
    cause: RefusalReason,
    nowMs: InstantMs,
  ): void {
    const {request, attempt} = running;
    if (request.isClosedToCaller) {
      this.completion.closeIfDone(request);
      return;
    }
    request.failedTargetIds.push(attempt.targetId);
    const reason = this.reasonAgainstRetry(request, cause, nowMs);
    if (reason !== undefined) {
      this.completion.refuse(request, reason);
      return;
    }
    this.context.event('request', 'retry', {
      requestId: request.caller.requestId,
      failedTargetId: attempt.targetId,
    });
    this.requeue(request);
  }

  private reasonAgainstRetry(
    request: ActiveRequest,
    cause: RefusalReason,
    nowMs: InstantMs,
  ): RefusalReason | undefined {
    const decision = decideRetry({
      idempotent: request.kind.idempotent,
      verdicts: request.verdicts,
      responseStarted: request.isClosedToCaller,
      implicated: this.isImplicated(request, nowMs),
      deadlineMs: request.deadlineMs,
      nowMs,
    });
    if (decision.type === 'retry') {
      const cost = retryCostOf(request, cause);
      const isAllowed = request.service.budget.tryTake(nowMs, cost);
      return isAllowed ? undefined : 'retry-budget';
    }
    if (decision.reason === 'deadline') {
      return 'deadline';
    }
    return request.verdict === 'not-run' ? cause : 'connection-lost';
  }

  private takeReport(
    running: Running,
    signal: ResponseSignal,
    nowMs: InstantMs,
  ): void {
    const {service} = running.request;
    const {targetId} = running.attempt;
    if (signal.draining) {
      const sign = signal.refused ? 'refusal' : 'response';
      service.markDraining(targetId, sign, nowMs);
    }
    if (signal.inFlight !== undefined) {
      const report = {
        targetId,
        source: 'response' as const,
        inFlight: signal.inFlight,
        draining: signal.draining,
        measuredMs: nowMs,
      };
      service.onReport(report, 'response', nowMs);
    }
  }

  private isImplicated(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {quarantine} = this.context.options;
    return quarantine.isImplicated(request.crashFingerprint, nowMs);
  }

  private isQuarantined(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {quarantine} = this.context.options;
    return quarantine.isQuarantined(request.crashFingerprint, nowMs);
  }
}

/** Feeds the time of a request that is given up into the estimate. */
function observeUnfinished(running: Running, nowMs: InstantMs): void {
  const {request, attempt} = running;
  if (attempt.sentMs !== undefined) {
    request.service
      .estimatorOf(request.kind)
      .observeUnfinished(nowMs - attempt.sentMs, nowMs);
  }
}

/** What a retry takes of the budget, by cause and worth of the request. */
function retryCostOf(request: ActiveRequest, cause: RefusalReason): RetryCost {
  const isCheapest = request.snapshot.isCheapest(request.kind);
  return {
    cost: cause === 'overloaded' ? REFUSAL_RETRY_COST : ORDINARY_RETRY_COST,
    reserve: isCheapest ? CHEAPEST_KIND_RESERVE : 0,
  };
}
