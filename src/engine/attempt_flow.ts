/**
 * Attempts at targets: start, signals, cancellation and retries.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {RelayOutcome} from '../relay/index.js';
import {Attempt, decideRetry, type RetryCost} from '../retries/index.js';
import type {AttemptOutcome} from '../routing/index.js';
import type {ActiveRequest} from './active_request.js';
import type {Completion} from './completion.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState, ServiceTarget} from './service_state.js';
import type {AttemptSignal, RefusalReason} from './types.js';

type ResponseSignal = Extract<AttemptSignal, {type: 'response'}>;
type LostSignal = Extract<AttemptSignal, {type: 'lost'}>;

/** Cost of a retry in tokens of the retry budget. */
const ORDINARY_RETRY_COST = 1;

/**
 * Cost of a retry after an explicit refusal, in tokens. The target did no work,
 * so the retry cannot multiply an overload as one after a timeout does.
 */
const REFUSAL_RETRY_COST = 0.2;

/**
 * Tokens that retries of the kinds of lowest worth leave for other kinds. Half
 * of the level up to which the budget refills without traffic, so that a
 * service with little traffic retries all kinds.
 */
const LOWEST_WORTH_RESERVE = 5;

/** Request with its current attempt. */
interface RunningAttempt {
  readonly request: ActiveRequest;
  readonly attempt: Attempt;
}

/**
 * Starts, tracks and cancels the attempts of all requests.
 *
 * @internal
 */
export class AttemptFlow {
  /**
   * @param context - shared state of the engine
   * @param completion - answers callers and closes requests
   * @param requeue - returns a request to its queue for another attempt
   */
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly requeue: (request: ActiveRequest) => void,
  ) {}

  /** Starts an attempt of a request that is no longer queued. */
  start(request: ActiveRequest, target: ServiceTarget, nowMs: InstantMs): void {
    const {service, snapshot, kind} = request;
    const token = this.context.nextToken();
    const attempt = new Attempt({token, targetId: target.targetId});
    if (request.verdicts.length === 0) {
      service.retryBudget.onFirstAttempt();
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
      // A non-idempotent request is not retried once sent, so aborting it
      // would only turn a slow response into an unknown result.
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

  /** Passes a request that is no longer queued to a peer. */
  startAtPeer(request: ActiveRequest, vmId: string): void {
    const address = this.context.relayAddresses.get(vmId);
    if (address === undefined) {
      request.triedPeers.push(vmId);
      this.requeue(request);
      return;
    }
    const token = this.context.nextToken();
    const attempt = new Attempt({token, targetId: `vm ${vmId}`});
    request.attempt = attempt;
    request.attemptPeer = vmId;
    this.context.attempts.set(token, request);
    this.context.relays.peers.onStarted(vmId);
    attempt.connect();
    this.context.emit({
      type: 'relay',
      token,
      requestId: request.caller.requestId,
      host: address.host,
      port: address.port,
      freshness: request.kind.idempotent ? 'any' : 'proven',
      deadlineMs: request.deadlineMs,
    });
    this.context.emitEvent('request', 'relayed', {
      requestId: request.caller.requestId,
      peer: vmId,
    });
  }

  /**
   * Applies a signal of the adapter to its attempt.
   *
   * @returns the service that may have a free slot now; undefined if none
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
    const running = {request, attempt};
    if (request.attemptPeer !== undefined && signal.type !== 'sent') {
      this.onPeerSignal(running, request.attemptPeer, signal, nowMs);
      return request.service;
    }
    this.recordReachability(running, signal, nowMs);
    this.onRunningSignal(running, signal, nowMs);
    return request.service;
  }

  /** Cancels the current attempt, if any, and does not retry. */
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
      if (request.attemptPeer === undefined) {
        this.context.reachability.onFailed(attempt.targetId, nowMs);
      }
    }
    attempt.cancel({bytesSent: false});
    this.context.emit({type: 'cancel', token: attempt.token});
    this.finish({request, attempt}, outcome, nowMs);
  }

  /**
   * Records a signal of an attempt that is unknown or has ended. Ignores
   * `cancelled`, since the adapter confirms each `cancel` with it.
   */
  private onLateSignal(token: string, signal: AttemptSignal): void {
    if (signal.type === 'cancelled') {
      return;
    }
    if (signal.type === 'sent') {
      this.context.emit({type: 'cancel', token});
    }
    this.context.emitEvent('attempt', 'late-signal', {
      token,
      signal: signal.type,
    });
  }

  /** Records what a signal tells about the links of this VM. */
  private recordReachability(
    {request, attempt}: RunningAttempt,
    signal: AttemptSignal,
    nowMs: InstantMs,
  ): void {
    const {reachability} = this.context;
    if (signal.type === 'response') {
      reachability.onReached(attempt.targetId, nowMs);
    } else if (signal.type === 'unreachable' || signal.type === 'lost') {
      reachability.onFailed(attempt.targetId, nowMs);
      request.unreachableCount += Number(signal.type === 'unreachable');
    }
  }

  /** Handles the end of an attempt that a peer carried. */
  private onPeerSignal(
    running: RunningAttempt,
    vmId: string,
    signal: Exclude<AttemptSignal, {type: 'sent'}>,
    nowMs: InstantMs,
  ): void {
    const {request, attempt} = running;
    const isResponse = signal.type === 'response';
    const isAnswered =
      isResponse && !signal.refused && signal.unanswered !== true;
    if (isAnswered) {
      attempt.complete();
    } else if (isResponse && signal.refused) {
      attempt.refuse();
    } else if (signal.type === 'unreachable') {
      attempt.failConnection();
    } else if (signal.type === 'cancelled') {
      attempt.cancel({bytesSent: signal.bytesSent});
    } else {
      attempt.lose();
    }
    const isNotRun = attempt.verdict === 'not-run';
    this.finish(running, isAnswered ? 'answered' : 'cancelled', nowMs);
    request.triedPeers.push(vmId);
    if (isAnswered) {
      const {token} = attempt;
      this.completion.respond(request, {type: 'response', token});
    } else if (request.isClosedToCaller) {
      this.completion.closeIfDone(request);
    } else if (isNotRun) {
      this.requeue(request);
    } else {
      this.completion.refuse(request, 'connection-lost');
    }
  }

  private onRunningSignal(
    running: RunningAttempt,
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

  /** Checks deadline and quarantine a last time before the first byte. */
  private onSent(running: RunningAttempt, nowMs: InstantMs): void {
    const {request, attempt} = running;
    if (attempt.isSent) {
      const details = {token: attempt.token, signal: 'sent'};
      this.context.emitEvent('attempt', 'repeated-signal', details);
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
    running: RunningAttempt,
    signal: ResponseSignal,
    nowMs: InstantMs,
  ): void {
    this.recordLoad(running, signal, nowMs);
    if (signal.refused) {
      running.attempt.refuse();
      this.finish(running, 'refused', nowMs);
      this.retryOrRefuse(running, 'overloaded', nowMs);
      return;
    }
    this.onAnswer(running, signal.status, nowMs);
  }

  private onAnswer(
    running: RunningAttempt,
    status: number,
    nowMs: InstantMs,
  ): void {
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
    if (!isError) {
      this.context.quarantine.onAnswered(request.crashFingerprints, nowMs);
    }
    this.completion.respond(request, {type: 'response', token: attempt.token});
  }

  private onUnreachable(running: RunningAttempt, nowMs: InstantMs): void {
    const wasSent = running.attempt.isSent;
    running.attempt.failConnection();
    this.finish(running, wasSent ? 'lost' : 'unreachable', nowMs);
    this.retryOrRefuse(running, 'no-target', nowMs);
  }

  private onLost(
    running: RunningAttempt,
    signal: LostSignal,
    nowMs: InstantMs,
  ): void {
    // Neither a request that crashes targets nor a silent connection may cause
    // the ejection of a target.
    const {isCutOff} = this.context.reachability;
    const wasImplicated =
      signal.crashed && !isCutOff && this.onCrash(running, nowMs);
    const isTargetFault = !wasImplicated && signal.silent !== true;
    running.attempt.lose();
    this.finish(running, isTargetFault ? 'lost' : 'cancelled', nowMs);
    this.retryOrRefuse(running, 'connection-lost', nowMs);
  }

  /** Ends an attempt that the adapter, not the engine, cancelled. */
  private onCancelled(
    running: RunningAttempt,
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
   * @returns true if one of them was already implicated before this signal
   */
  private onCrash(running: RunningAttempt, nowMs: InstantMs): boolean {
    const {quarantine} = this.context;
    const {targetId} = running.attempt;
    const target = running.request.service.targets.get(targetId);
    const inFlight = [...(target?.requests ?? [])].filter(
      other => other === running.request || other.attempt?.isSent === true,
    );
    const wasImplicated = inFlight.some(({crashFingerprints}) =>
      quarantine.isImplicated(crashFingerprints, nowMs),
    );
    for (const {crashFingerprints} of inFlight) {
      quarantine.onCrash(targetId, crashFingerprints, nowMs);
    }
    const requests = new Set(
      inFlight.map(other => other.crashFingerprints.fingerprint),
    );
    // Until a VM receives this fact, a copy may crash another of its targets.
    this.context.hasUrgentFacts = true;
    const details = {targetId, requestCount: requests.size};
    this.context.emitEvent('target', 'target-crashed', details);
    return wasImplicated;
  }

  /** Removes an ended attempt and reports its outcome to the pool. */
  private finish(
    running: RunningAttempt,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void {
    const {request, attempt} = running;
    request.verdicts.push(attempt.verdict);
    request.attempt = undefined;
    this.context.attempts.delete(attempt.token);
    const peer = request.attemptPeer;
    if (peer === undefined) {
      request.service.removeAttempt(attempt.targetId, request);
      request.service.pool.onFinished(attempt.targetId, outcome, nowMs);
    } else {
      request.attemptPeer = undefined;
      this.context.relays.peers.onEnded(peer, relayOutcomeOf(attempt), nowMs);
    }
    if (outcome !== 'answered') {
      this.context.emitEvent('attempt', 'attempt-failed', {
        token: attempt.token,
        requestId: request.caller.requestId,
        targetId: attempt.targetId,
        state: attempt.state,
        outcome,
      });
    }
  }

  /** Queues the request for another attempt, or refuses it. */
  private retryOrRefuse(
    running: RunningAttempt,
    cause: RefusalReason,
    nowMs: InstantMs,
  ): void {
    const {request, attempt} = running;
    if (request.isClosedToCaller) {
      this.completion.closeIfDone(request);
      return;
    }
    request.failedTargetIds.push(attempt.targetId);
    const reason = this.findRetryRefusal(request, cause, nowMs);
    if (reason !== undefined) {
      this.completion.refuse(request, reason);
      return;
    }
    this.context.emitEvent('request', 'retry', {
      requestId: request.caller.requestId,
      failedTargetId: attempt.targetId,
    });
    this.requeue(request);
  }

  /** Returns why a request must not be retried; undefined if it may be. */
  private findRetryRefusal(
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
      const isAllowed = request.service.retryBudget.tryTake(nowMs, cost);
      return isAllowed ? undefined : 'retry-budget';
    }
    if (decision.reason === 'deadline') {
      return 'deadline';
    }
    return request.verdict === 'not-run' ? cause : 'connection-lost';
  }

  /** Records the drain flag and the load that a response carries. */
  private recordLoad(
    running: RunningAttempt,
    signal: ResponseSignal,
    nowMs: InstantMs,
  ): void {
    const {service} = running.request;
    const {targetId} = running.attempt;
    if (signal.draining) {
      const drainSignal = signal.refused ? 'refusal' : 'response';
      service.markDraining(targetId, drainSignal, nowMs);
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
    const {quarantine} = this.context;
    return quarantine.isImplicated(request.crashFingerprints, nowMs);
  }

  private isQuarantined(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {quarantine} = this.context;
    return quarantine.isQuarantined(request.crashFingerprints, nowMs);
  }
}

/** Adds the elapsed time of an abandoned attempt to the estimate. */
function observeUnfinished(running: RunningAttempt, nowMs: InstantMs): void {
  const {request, attempt} = running;
  if (attempt.sentMs !== undefined) {
    request.service
      .estimatorOf(request.kind)
      .observeUnfinished(nowMs - attempt.sentMs, nowMs);
  }
}

/** Returns the cost of a retry by its cause and the worth of the request. */
function retryCostOf(request: ActiveRequest, cause: RefusalReason): RetryCost {
  const isLowestWorth = request.snapshot.isLowestWorth(request.kind);
  return {
    cost: cause === 'overloaded' ? REFUSAL_RETRY_COST : ORDINARY_RETRY_COST,
    reserve: isLowestWorth ? LOWEST_WORTH_RESERVE : 0,
  };
}

/** Returns how an ended attempt at a peer counts for that peer. */
function relayOutcomeOf({state}: Attempt): RelayOutcome {
  switch (state) {
    case 'answered':
      return 'carried';
    case 'refused':
      return 'refused';
    case 'cancelled-sent':
    case 'cancelled-unsent':
      return 'withdrawn';
    default:
      return 'failed';
  }
}
