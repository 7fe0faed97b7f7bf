/**
 * State machine for requests on published routes.
 *
 * @packageDocumentation
 */
import {CallerCostOrder} from '../admission/index.js';
import type {InstantMs} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {TargetChoice, TargetForecast} from '../load/index.js';
import {RequestQuarantine} from '../recovery/index.js';
import {WeightedSplit, type RouteTable} from '../routes/index.js';
import {AdmissionControl} from './admission_control.js';
import {relayResultOf, type EndSignal} from './attempt_result.js';
import {Delivery, type DeliveryAttempt} from './delivery.js';
import {
  answerEvent,
  attemptFailedEvent,
  clearedEvent,
  implicatedEvent,
  refuseEvent,
  relayEvent,
  sendEvent,
  violationEvent,
} from './delivery_events.js';
import type {DeliveryEngineOptions} from './delivery_options.js';
import {firstHedgeCheckMs, nextHedgeCheckMs} from './hedge_timing.js';
import {OpenAttempts} from './open_attempts.js';
import {PlannedStop} from './planned_stop.js';
import {buildRefusal} from './refusal.js';
import {RouteStatisticsTable} from './route_statistics.js';
import {ServiceLimits} from './service_limits.js';
import {TargetFacts} from './target_facts.js';
import {TargetSelection} from './target_selection.js';
import type {
  DeliveryEffect,
  DeliveryEvent,
  DeliveryReason,
  RoutedRequest,
} from './types.js';

/** Share of the resend budget that hedges leave to refused requests. */
const HEDGE_RESERVE_SHARE = 0.4;

/** Unsent attempts from which on retries take from the resend budget. */
const MAX_UNSENT_COUNT = 6;

/** Targets that are probed if the budget does not allow more. */
const MIN_PROBED_COUNT = 2;

/** Time allowed for load probes; within a failure domain they take 1 ms. */
const PROBE_TIMEOUT_MS = 8;

/**
 * Turns requests, signals of attempts and timers into effects for the adapters.
 * Each request ends exactly once, by the first of response, refusal, route
 * timeout, caller deadline and caller disconnect.
 *
 * @example
 * ```ts
 * const engine = new DeliveryEngine(options);
 * engine.applyRoutes(table);
 * perform(engine.onRequest(request, clock.nowMs()));
 * ```
 */
export class DeliveryEngine {
  private table: RouteTable | undefined;
  private readonly stop = new PlannedStop();
  private readonly split = new WeightedSplit();
  private readonly deliveries = new Map<string, Delivery>();
  private readonly probing = new Set<Delivery>();
  private readonly statistics = new RouteStatisticsTable();
  private readonly limits: ServiceLimits;
  private readonly admission: AdmissionControl;
  private readonly selection: TargetSelection;
  private readonly openAttempts: OpenAttempts;
  private readonly facts: TargetFacts;
  private readonly quarantine: RequestQuarantine;
  private effects: DeliveryEffect[] = [];
  private tokenCount = 0;
  private requestCount = 0;

  /** @param options - target loads, quarantine, budgets and random source */
  constructor(private readonly options: DeliveryEngineOptions) {
    const {board, random, grants} = options;
    const {statistics} = this;
    const limits = new ServiceLimits(options);
    this.limits = limits;
    const {admission: policy = new CallerCostOrder()} = options;
    this.admission = new AdmissionControl({policy, board, limits, statistics});
    this.quarantine = new RequestQuarantine(options.quarantine);
    this.facts = new TargetFacts({
      board,
      targetLimits: options.targetLimits,
      reachability: options.relays.reachability,
    });
    this.openAttempts = new OpenAttempts({
      board,
      peers: options.relays.peers,
      cancel: token => this.effects.push({type: 'cancel', token}),
    });
    this.selection = new TargetSelection({
      board,
      random,
      grants,
      statistics,
      coldAllowance: options.coldAllowance,
    });
  }

  /**
   * Number of requests that a planned stop must wait for: unanswered ones, and
   * ones that are not idempotent and may still run at a target.
   */
  get openCount(): number {
    let count = 0;
    for (const {isClosed, rule} of this.deliveries.values()) {
      count += Number(!isClosed || !rule.idempotent);
    }
    return count;
  }

  /** Number of requests that wait for room at their service. */
  get waitingCount(): number {
    return this.admission.waiting.size;
  }

  /** Applies routes to all requests that arrive from now on. */
  applyRoutes(table: RouteTable): void {
    this.table = table;
  }

  /**
   * Begins a planned stop: from now on, requests that are not expected to be
   * answered before the end are refused, so that another VM can serve them.
   *
   * @param endsAtMs - instant at which open requests are aborted
   */
  beginLeaving(endsAtMs: InstantMs): void {
    this.stop.begin(endsAtMs);
  }

  /** Refuses all requests that arrive from now on. */
  refuseArrivals(): void {
    this.stop.refuseArrivals();
  }

  /**
   * Returns the instant at which {@link DeliveryEngine.onTimer} is due next.
   *
   * @returns instant in milliseconds; infinite for none
   */
  nextTimerMs(): InstantMs {
    let next = Infinity;
    for (const delivery of this.deliveries.values()) {
      if (delivery.isClosed) {
        next = Math.min(next, delivery.attemptsEndAtMs);
      } else {
        next = Math.min(next, delivery.expiresAtMs, delivery.hedgeCheckAtMs);
        if (this.admission.waiting.has(delivery)) {
          next = Math.min(next, delivery.waitUntilMs);
        }
        if (this.probing.has(delivery)) {
          next = Math.min(next, delivery.probeDeadlineMs ?? Infinity);
        }
      }
    }
    return next;
  }

  /**
   * Starts the delivery of a request.
   *
   * @param request - request of a caller
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onRequest(
    request: RoutedRequest,
    nowMs: InstantMs,
  ): readonly DeliveryEffect[] {
    this.accept(request, nowMs);
    return this.takeEffects();
  }

  /** Starts the delivery of a request, or refuses it. */
  private accept(request: RoutedRequest, nowMs: InstantMs): void {
    const {table} = this;
    if (table === undefined) {
      this.refuseOnArrival(request, 'no-routes');
      return;
    }
    const rule = table.find(request.host, request.path);
    if (rule === undefined) {
      this.refuseOnArrival(request, 'no-route');
      return;
    }
    if (this.stop.isRefusingArrivals) {
      this.refuseOnArrival(request, 'leaving');
      return;
    }
    if (table.version < (request.relay?.routesVersion ?? 0)) {
      this.refuseOnArrival(request, 'outdated-routes');
      return;
    }
    const service = this.split.next(rule, this.options.random.nextFloat());
    if (service === undefined) {
      this.refuseOnArrival(request, 'no-target');
      return;
    }
    if (this.quarantine.isQuarantined(request, nowMs)) {
      this.refuseOnArrival(request, 'quarantined');
      return;
    }
    this.requestCount += 1;
    const delivery = new Delivery(request, rule, service, {
      maxWaitMs: this.selection.maxWaitMs(rule),
      sequence: this.requestCount,
    });
    this.deliveries.set(request.requestId, delivery);
    if (this.admission.waiting.size > 0) {
      // Those that wait may be more urgent.
      this.admission.waiting.add(delivery);
      this.dispatchWaiting(nowMs);
    } else {
      this.dispatch(delivery, nowMs);
    }
  }

  /**
   * Handles a signal of an attempt. After `sent` the adapter must check the
   * effects for a `cancel` of the token before it writes the first byte.
   *
   * @param token - token of the `send` effect
   * @param signal - what happened
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onSignal(
    token: string,
    signal: AttemptSignal,
    nowMs: InstantMs,
  ): readonly DeliveryEffect[] {
    const open = this.openAttempts.find(token);
    if (open === undefined) {
      if (signal.type === 'response') {
        this.effects.push({type: 'discard', token});
      } else if (signal.type === 'sent') {
        // Withdrawn while it waited for a connection.
        this.effects.push({type: 'cancel', token});
      }
      return this.takeEffects();
    }
    const {delivery, attempt} = open;
    if (signal.type === 'sent') {
      this.onSent(delivery, attempt, nowMs);
    } else {
      this.onEnded(delivery, attempt, signal, nowMs);
      this.dispatchWaiting(nowMs);
    }
    return this.takeEffects();
  }

  /**
   * Dispatches a request whose load probes are complete.
   *
   * @param requestId - request of the `probe` effect
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onProbesDone(requestId: string, nowMs: InstantMs): readonly DeliveryEffect[] {
    const delivery = this.deliveries.get(requestId);
    if (delivery !== undefined && this.probing.delete(delivery)) {
      this.dispatch(delivery, nowMs);
    }
    return this.takeEffects();
  }

  /**
   * Records the size of a request and its response. Must be called before the
   * `response` signal.
   *
   * @param token - token of the attempt
   * @param sizeBytes - size of request and response together
   */
  recordSize(token: string, sizeBytes: number): void {
    const delivery = this.openAttempts.find(token)?.delivery;
    if (delivery !== undefined) {
      this.statistics.recordSize(delivery.rule, sizeBytes);
    }
  }

  /**
   * Ends a request whose caller has disconnected. Attempts that may be dropped
   * are cancelled.
   *
   * @param requestId - request of the caller
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onCallerGone(requestId: string, nowMs: InstantMs): readonly DeliveryEffect[] {
    const delivery = this.deliveries.get(requestId);
    if (delivery !== undefined && !delivery.isClosed) {
      this.close(delivery);
      this.openAttempts.withdrawDroppable(delivery, nowMs);
      this.record('caller-gone', {
        callId: delivery.request.callId,
        elapsedMs: Math.round(nowMs - delivery.request.arrivedMs),
      });
      this.deleteIfDone(delivery);
    }
    return this.takeEffects();
  }

  /**
   * Handles all expirations, waits and hedges that are due.
   *
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onTimer(nowMs: InstantMs): readonly DeliveryEffect[] {
    for (const delivery of [...this.deliveries.values()]) {
      if (delivery.isClosed) {
        this.endAttempts(delivery, nowMs);
      } else if (nowMs >= delivery.expiresAtMs) {
        this.expire(delivery, nowMs);
      } else if (this.probing.has(delivery)) {
        if (nowMs >= (delivery.probeDeadlineMs ?? nowMs)) {
          this.probing.delete(delivery);
          this.dispatch(delivery, nowMs);
        }
      } else if (nowMs >= delivery.hedgeCheckAtMs) {
        this.tryHedge(delivery, nowMs);
      }
    }
    this.dispatchWaiting(nowMs);
    return this.takeEffects();
  }

  /**
   * Dispatches waiting requests, for example after targets have changed.
   *
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onTargetsChanged(nowMs: InstantMs): readonly DeliveryEffect[] {
    this.dispatchWaiting(nowMs);
    return this.takeEffects();
  }

  private dispatchWaiting(nowMs: InstantMs): void {
    const {waiting} = this.admission;
    if (waiting.size === 0) {
      return;
    }
    const fullRanks = new Map<string, number>();
    for (const delivery of waiting.ordered(nowMs)) {
      const {service, rule, triedTargetIds} = delivery;
      const isFull = rule.rank >= (fullRanks.get(service) ?? Infinity);
      if (isFull && this.mayWait(delivery, nowMs)) {
        continue;
      }
      this.dispatch(delivery, nowMs);
      delivery.hasTurn = false;
      // Without room for this one there is none for those behind it.
      if (waiting.has(delivery) && triedTargetIds.length === 0) {
        fullRanks.set(
          service,
          Math.min(rule.rank, fullRanks.get(service) ?? Infinity),
        );
      }
    }
  }

  private mayWait(delivery: Delivery, nowMs: InstantMs): boolean {
    return (
      nowMs < delivery.waitUntilMs &&
      nowMs < delivery.expiresAtMs &&
      !this.admission.wouldStartTooLate(delivery, nowMs)
    );
  }

  /** Sends a request to the best target, queues it, or refuses it. */
  private dispatch(delivery: Delivery, nowMs: InstantMs): void {
    this.admission.waiting.delete(delivery);
    if (this.quarantine.isQuarantined(delivery.request, nowMs)) {
      this.refuse(delivery, 'quarantined', nowMs);
      return;
    }
    if (this.relay(delivery, nowMs)) {
      return;
    }
    this.countDirect(delivery, nowMs);
    const forecasts = this.selection.forecasts(delivery, nowMs);
    if (forecasts.length === 0 && !this.selection.hasUntried(delivery)) {
      this.giveUp(delivery, 'no-target', nowMs);
      return;
    }
    const room = this.admission.roomFor(delivery, nowMs);
    if (room.isFree && this.probe(delivery, forecasts, nowMs)) {
      return;
    }
    const choice = room.isFree
      ? this.selection.choose(delivery, forecasts, nowMs, room.mayQueue)
      : undefined;
    if (
      choice !== undefined &&
      !this.stop.canFinish(choice.forecast.durationMs, nowMs)
    ) {
      this.giveUp(delivery, 'leaving', nowMs);
    } else if (choice !== undefined) {
      this.send(delivery, choice, nowMs);
    } else if (this.mayWait(delivery, nowMs)) {
      this.admission.waiting.add(delivery);
    } else {
      this.giveUp(delivery, 'overloaded', nowMs);
    }
  }

  /**
   * Passes a request to a peer, or gives it up, if this VM reaches no target.
   *
   * @returns false if the request takes the direct way
   */
  private relay(delivery: Delivery, nowMs: InstantMs): boolean {
    const {relays} = this.options;
    if (delivery.request.relay !== undefined) {
      // A relayed request must not be passed on once more.
      if (relays.reachability.isCutOff) {
        this.giveUp(delivery, 'cut-off', nowMs);
      }
      return delivery.isClosed;
    }
    if (delivery.sentCount >= delivery.maxAttempts) {
      return false;
    }
    const decision = relays.decide(
      {
        unreachableCount: delivery.unreachableCount,
        triedHosts: delivery.triedPeerHosts,
      },
      nowMs,
    );
    if (decision.type === 'send-directly') {
      return false;
    }
    if (decision.type === 'give-up') {
      this.giveUp(delivery, 'cut-off', nowMs);
    } else if (!this.stop.canFinish(this.workMsOf(delivery), nowMs)) {
      this.giveUp(delivery, 'leaving', nowMs);
    } else {
      this.sendToPeer(delivery, decision.host, nowMs);
    }
    return true;
  }

  /** Counts a request that this VM itself sends to a target. */
  private countDirect(delivery: Delivery, nowMs: InstantMs): void {
    if (!delivery.isCounted) {
      delivery.isCounted = true;
      this.limits.onRequest(delivery.service, nowMs);
    }
    if (!delivery.isDemandCounted) {
      delivery.isDemandCounted = true;
      this.admission.onRequest(delivery, nowMs);
      this.options.grants.onRequest(delivery.service, nowMs);
    }
  }

  private sendToPeer(delivery: Delivery, host: string, nowMs: InstantMs): void {
    const {request, rule} = delivery;
    this.tokenCount += 1;
    const token = `t${this.tokenCount}`;
    const targetCount = delivery.maxAttempts - delivery.sentCount;
    const attempt = delivery.addAttempt({
      token,
      targetId: `vm ${host}`,
      targetStartedMs: 0,
      startedMs: nowMs,
      expectedMs: this.workMsOf(delivery),
      slowness: 1,
      peerHost: host,
      targetCount,
    });
    delivery.hedgeCheckAtMs = Infinity;
    this.openAttempts.add(delivery, attempt, nowMs);
    const routesVersion = this.table?.version ?? 0;
    const {isCounted} = delivery;
    this.effects.push({
      type: 'relay',
      token,
      requestId: request.requestId,
      host,
      freshness: rule.idempotent ? 'any' : 'proven',
      deadlineMs: delivery.expiresAtMs,
      terms: {maxAttempts: targetCount, isCounted, routesVersion},
    });
    // The peer counts the request; a second peer must not count it again.
    delivery.isCounted = true;
    this.log(relayEvent(delivery, attempt, nowMs));
  }

  private workMsOf({rule}: Delivery): number {
    return this.statistics.of(rule).work.workMs;
  }

  /** Probes the best targets with outdated load; false if none is probed. */
  private probe(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
  ): boolean {
    if (delivery.probeDeadlineMs !== undefined) {
      return false;
    }
    const targetIds = this.selection.targetsToProbe(delivery, forecasts, nowMs);
    const {takeProbes} = this.options;
    const probedIds = [targetIds.length, MIN_PROBED_COUNT]
      .map(count => targetIds.slice(0, count))
      .find(ids => ids.length > 0 && takeProbes(ids.length, nowMs));
    if (probedIds === undefined) {
      return false;
    }
    const {requestId} = delivery.request;
    delivery.probeDeadlineMs = nowMs + PROBE_TIMEOUT_MS;
    this.probing.add(delivery);
    this.effects.push({type: 'probe', requestId, targetIds: probedIds});
    return true;
  }

  private send(
    delivery: Delivery,
    choice: TargetChoice,
    nowMs: InstantMs,
  ): void {
    const {board} = this.options;
    const {forecast} = choice;
    const target = board.target(forecast.targetId);
    if (target === undefined) {
      return;
    }
    this.tokenCount += 1;
    const token = `t${this.tokenCount}`;
    const {request, rule} = delivery;
    const attempt = delivery.addAttempt({
      token,
      targetId: forecast.targetId,
      targetStartedMs: target.startedMs,
      startedMs: nowMs,
      expectedMs: forecast.durationMs,
      slowness: forecast.slowness,
      peerHost: undefined,
      targetCount: 1,
    });
    delivery.triedTargetIds.push(forecast.targetId);
    delivery.hedgeCheckAtMs = firstHedgeCheckMs(
      rule,
      forecast.durationMs,
      nowMs,
    );
    this.openAttempts.add(delivery, attempt, nowMs);
    this.selection.onSent(forecast, nowMs);
    this.effects.push({
      type: 'send',
      token,
      requestId: request.requestId,
      targetId: forecast.targetId,
      host: target.host,
      port: target.port,
      freshness: rule.idempotent ? 'any' : 'proven',
      maxConnections: this.limits.maxConnections(
        this.table,
        delivery.service,
        nowMs,
      ),
      deadlineMs: delivery.expiresAtMs,
    });
    const routesVersion = this.table?.version ?? 0;
    this.log(sendEvent(delivery, choice, {routesVersion, nowMs}));
  }

  private onSent(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    nowMs: InstantMs,
  ): void {
    const isTooLate = delivery.isClosed || nowMs >= delivery.expiresAtMs;
    if (isTooLate || this.options.board.isClosed(attempt.targetId)) {
      this.effects.push({type: 'cancel', token: attempt.token});
      return;
    }
    attempt.sentMs = nowMs;
    attempt.verdict = 'may-have-run';
  }

  private onEnded(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    signal: EndSignal,
    nowMs: InstantMs,
  ): void {
    this.openAttempts.end(attempt);
    if (attempt.peerHost !== undefined) {
      this.onRelayEnded(delivery, attempt, signal, nowMs);
      this.deleteIfDone(delivery);
      return;
    }
    this.facts.recordEnd(attempt, signal, nowMs);
    if (signal.type === 'response') {
      this.onResponse(delivery, attempt, signal, nowMs);
    } else if (signal.type === 'unreachable') {
      attempt.verdict = 'not-run';
      delivery.lastFailure = 'unreachable';
      delivery.unreachableCount += 1;
      this.retryOrGiveUp(delivery, attempt, 'unreachable', nowMs);
    } else if (signal.type === 'lost') {
      if (signal.violation !== undefined) {
        this.log(violationEvent(delivery, attempt, signal.violation));
      }
      this.onLost(delivery, attempt, nowMs);
    } else {
      attempt.verdict = signal.bytesSent ? 'may-have-run' : 'not-run';
      this.retryOrGiveUp(delivery, attempt, 'lost', nowMs);
    }
    this.deleteIfDone(delivery);
  }

  /** Handles the end of an attempt that a peer carried. */
  private onRelayEnded(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    signal: EndSignal,
    nowMs: InstantMs,
  ): void {
    const {token, peerHost = ''} = attempt;
    const result = relayResultOf(signal);
    const {peers} = this.options.relays;
    peers.onEnded(peerHost, result.outcome, nowMs);
    attempt.verdict = result.verdict;
    if (signal.type === 'response') {
      if (result.outcome === 'carried' && !delivery.isClosed) {
        this.respond(delivery, token, signal.status, nowMs);
        return;
      }
      this.effects.push({type: 'discard', token});
      const {retryAfterSeconds = 0} = signal;
      const knownSeconds = delivery.peerRetrySeconds ?? 0;
      delivery.peerRetrySeconds = Math.max(knownSeconds, retryAfterSeconds);
    }
    if (delivery.isClosed) {
      return;
    }
    const reason = result.verdict === 'not-run' ? 'refused' : 'lost';
    this.log(attemptFailedEvent(delivery, attempt, reason, nowMs));
    delivery.triedPeerHosts.push(peerHost);
    if (delivery.openAttempts.length > 0) {
      return;
    }
    if (result.verdict === 'not-run') {
      this.dispatch(delivery, nowMs);
    } else {
      this.giveUp(delivery, 'lost', nowMs);
    }
  }

  private onResponse(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    signal: Extract<AttemptSignal, {readonly type: 'response'}>,
    nowMs: InstantMs,
  ): void {
    const {token} = attempt;
    this.facts.recordResponse(attempt, signal, nowMs);
    if (signal.refused) {
      attempt.verdict = 'not-run';
      delivery.lastFailure = 'refused';
      this.effects.push({type: 'discard', token});
      this.retryOrGiveUp(delivery, attempt, 'refused', nowMs);
      return;
    }
    attempt.verdict = 'ran';
    // A target may fail a request before it reaches what crashes others.
    const isSuccess = signal.status < 500;
    if (isSuccess && this.quarantine.onAnswered(delivery.request, nowMs)) {
      this.log(clearedEvent(delivery, attempt, signal.status));
    }
    if (delivery.isClosed) {
      this.effects.push({type: 'discard', token});
      return;
    }
    if (signal.status < 500) {
      this.observeWork(delivery, attempt, nowMs);
      this.respond(delivery, token, signal.status, nowMs);
    } else {
      this.onServerError(delivery, attempt, signal.status, nowMs);
    }
  }

  /** Forwards a server error unless another attempt is open or allowed. */
  private onServerError(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    status: number,
    nowMs: InstantMs,
  ): void {
    const {token} = attempt;
    if (delivery.errorToken !== undefined) {
      this.effects.push({type: 'discard', token});
    } else {
      delivery.errorToken = token;
    }
    if (delivery.openAttempts.length > 0) {
      return;
    }
    if (delivery.rule.idempotent && this.resend(delivery, 0, nowMs)) {
      this.log(attemptFailedEvent(delivery, attempt, 'server-error', nowMs));
      return;
    }
    this.respond(delivery, delivery.errorToken, status, nowMs);
  }

  private onLost(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    nowMs: InstantMs,
  ): void {
    delivery.lastFailure = 'lost';
    if (this.options.relays.reachability.isCutOff) {
      // The links of this VM were lost, not the target.
      this.retryOrGiveUp(delivery, attempt, 'lost', nowMs);
      return;
    }
    const crashedTargetCount = this.quarantine.onCrash(
      attempt.targetId,
      delivery.request,
      nowMs,
    );
    this.log(implicatedEvent(delivery, attempt, crashedTargetCount));
    this.retryOrGiveUp(delivery, attempt, 'lost', nowMs);
  }

  /** Retries or answers a request after an attempt without a response. */
  private retryOrGiveUp(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    reason: DeliveryReason,
    nowMs: InstantMs,
  ): void {
    if (delivery.isClosed) {
      return;
    }
    this.log(attemptFailedEvent(delivery, attempt, reason, nowMs));
    if (delivery.openAttempts.length > 0) {
      return;
    }
    const isUnsent = attempt.sentMs === undefined;
    if (isUnsent && this.unsentCount(delivery) < MAX_UNSENT_COUNT) {
      this.dispatch(delivery, nowMs);
      return;
    }
    const mayResend =
      delivery.rule.idempotent || delivery.verdict === 'not-run';
    if (mayResend && this.resend(delivery, 0, nowMs)) {
      return;
    }
    this.giveUp(delivery, reason, nowMs);
  }

  /** Resends a request if attempts, budget and time allow it. */
  private resend(
    delivery: Delivery,
    reserve: number,
    nowMs: InstantMs,
  ): boolean {
    const {service, request} = delivery;
    if (delivery.sentCount >= delivery.maxAttempts) {
      return false;
    }
    if (this.quarantine.isQuarantined(request, nowMs)) {
      return false;
    }
    const forecasts = this.selection.forecasts(delivery, nowMs);
    const choice = this.selection.choose(delivery, forecasts, nowMs);
    if (choice === undefined) {
      return false;
    }
    if (choice.forecast.durationMs > delivery.expiresAtMs - nowMs) {
      return false;
    }
    return this.sendWithinBudget(delivery, choice, {service, reserve}, nowMs);
  }

  private sendWithinBudget(
    delivery: Delivery,
    choice: TargetChoice,
    budget: {readonly service: string; readonly reserve: number},
    nowMs: InstantMs,
  ): boolean {
    const {service} = budget;
    const reserve = this.admission.resendReserve(
      delivery,
      budget.reserve,
      nowMs,
    );
    if (!this.limits.tryResend(service, reserve, nowMs)) {
      this.record('budget-used-up', {callId: delivery.request.callId, service});
      return false;
    }
    this.send(delivery, choice, nowMs);
    return true;
  }

  /** Hedges an attempt that takes longer than forecast, if worthwhile. */
  private tryHedge(delivery: Delivery, nowMs: InstantMs): void {
    delivery.hedgeCheckAtMs = nextHedgeCheckMs(nowMs);
    const [open] = delivery.openAttempts;
    const isOnlyAttempt = delivery.openAttempts.length === 1;
    if (open === undefined || !isOnlyAttempt || !delivery.rule.idempotent) {
      delivery.hedgeCheckAtMs = Infinity;
      return;
    }
    if (delivery.sentCount >= delivery.maxAttempts) {
      delivery.hedgeCheckAtMs = Infinity;
      return;
    }
    if (this.options.relays.reachability.isCutOff) {
      this.hedgeAtPeer(delivery, nowMs);
      return;
    }
    const choice = this.selection.chooseHedge(delivery, nowMs);
    if (choice === undefined) {
      return;
    }
    const budget = {service: delivery.service, reserve: HEDGE_RESERVE_SHARE};
    if (this.sendWithinBudget(delivery, choice, budget, nowMs)) {
      delivery.hedgeCheckAtMs = Infinity;
    }
  }

  /** Hedges an attempt whose connection a cut has silenced. */
  private hedgeAtPeer(delivery: Delivery, nowMs: InstantMs): void {
    const {request, service} = delivery;
    const {unreachableCount, triedPeerHosts: triedHosts} = delivery;
    const progress = {unreachableCount, triedHosts};
    const decision = this.options.relays.decide(progress, nowMs);
    if (request.relay !== undefined || decision.type !== 'relay') {
      return;
    }
    if (this.limits.tryResend(service, HEDGE_RESERVE_SHARE, nowMs)) {
      this.sendToPeer(delivery, decision.host, nowMs);
    }
  }

  private respond(
    delivery: Delivery,
    token: string,
    status: number,
    nowMs: InstantMs,
  ): void {
    const {requestId} = delivery.request;
    this.close(delivery);
    if (delivery.errorToken !== undefined && delivery.errorToken !== token) {
      this.effects.push({type: 'discard', token: delivery.errorToken});
    }
    this.effects.push({
      type: 'respond',
      requestId,
      outcome: {type: 'response', token},
    });
    this.log(answerEvent(delivery, token, status, nowMs));
    this.openAttempts.withdrawUnsent(delivery, nowMs);
    this.deleteIfDone(delivery);
  }

  /** Ends a request that cannot be sent again: with a server error, if any. */
  private giveUp(
    delivery: Delivery,
    reason: DeliveryReason,
    nowMs: InstantMs,
  ): void {
    if (delivery.errorToken !== undefined) {
      this.respond(delivery, delivery.errorToken, 500, nowMs);
      return;
    }
    this.refuse(delivery, reason, nowMs);
  }

  private refuse(
    delivery: Delivery,
    reason: DeliveryReason,
    nowMs: InstantMs,
  ): void {
    const {request, verdict} = delivery;
    const {board, random} = this.options;
    const load = {
      ...board.serviceLoad(delivery.service, nowMs),
      ownInFlight: board.ownInFlight(delivery.service),
    };
    const share = load.inFlightCount / Math.max(1, load.slotCount);
    const peerRetrySeconds =
      reason === 'cut-off' ? delivery.peerRetrySeconds : undefined;
    const outcome = buildRefusal(
      {reason, verdict, load: share, peerRetrySeconds},
      random,
    );
    this.close(delivery);
    this.effects.push({type: 'respond', requestId: request.requestId, outcome});
    this.log(refuseEvent(delivery, {reason, outcome}, load, nowMs));
    this.deleteIfDone(delivery);
  }

  private refuseOnArrival(
    request: RoutedRequest,
    reason: DeliveryReason,
  ): void {
    const {requestId, callId, host, path} = request;
    const cause = {reason, verdict: 'not-run', load: 0} as const;
    const outcome = buildRefusal(cause, this.options.random);
    this.effects.push({type: 'respond', requestId, outcome});
    this.record('refuse', {
      callId,
      reason,
      host,
      path,
      routesVersion: this.table?.version ?? 0,
    });
  }

  /** Ends a request whose route timeout or caller deadline has passed. */
  private expire(delivery: Delivery, nowMs: InstantMs): void {
    const reason = delivery.isBoundByRoute ? 'timeout' : 'deadline';
    this.giveUp(delivery, reason, nowMs);
    this.openAttempts.withdrawDroppable(delivery, nowMs);
    this.deleteIfDone(delivery);
  }

  /** Ends the attempts of an answered request that are unanswered for too long. */
  private endAttempts(delivery: Delivery, nowMs: InstantMs): void {
    if (nowMs >= delivery.attemptsEndAtMs) {
      this.openAttempts.withdrawAll(delivery, nowMs);
      this.deleteIfDone(delivery);
    }
  }

  private close(delivery: Delivery): void {
    delivery.isClosed = true;
    delivery.hedgeCheckAtMs = Infinity;
    this.admission.waiting.delete(delivery);
    this.probing.delete(delivery);
  }

  private deleteIfDone(delivery: Delivery): void {
    if (delivery.isClosed && delivery.openAttempts.length === 0) {
      this.deliveries.delete(delivery.request.requestId);
    }
  }

  private unsentCount({attempts}: Delivery): number {
    return attempts.filter(({sentMs}) => sentMs === undefined).length;
  }

  private observeWork(
    {rule}: Delivery,
    attempt: DeliveryAttempt,
    nowMs: InstantMs,
  ): void {
    if (attempt.sentMs !== undefined) {
      const {work} = this.statistics.of(rule);
      work.observe(nowMs - attempt.sentMs, attempt.slowness);
    }
  }

  private record(name: string, details: DeliveryEvent['details']): void {
    this.log({name, details});
  }

  private log(event: DeliveryEvent): void {
    this.effects.push({type: 'event', event});
  }

  private takeEffects(): readonly DeliveryEffect[] {
    const {effects} = this;
    this.effects = [];
    return effects;
  }
}
