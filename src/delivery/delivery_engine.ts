/**
 * The life of requests that follow published routes.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {
  LoadBoard,
  TargetChoice,
  TargetForecast,
  TargetOutcome,
} from '../load/index.js';
import type {CrashQuarantine} from '../recovery/index.js';
import type {WindowLimit} from '../retries/index.js';
import {WeightedSplit, type RouteTable} from '../routes/index.js';
import {Delivery, type DeliveryAttempt} from './delivery.js';
import {
  answerEvent,
  attemptFailedEvent,
  refuseEvent,
  sendEvent,
} from './delivery_events.js';
import {buildRefusal} from './refusal.js';
import {RouteExperiences} from './route_experience.js';
import {ServiceLimits} from './service_limits.js';
import {TargetSelection} from './target_selection.js';
import type {
  DeliveryEffect,
  DeliveryEvent,
  DeliveryReason,
  RoutedRequest,
} from './types.js';

/** Multiple of the forecast after which an unanswered attempt is looked at. */
const REVIEW_FACTOR = 1.2;

/** Least time after which an unanswered attempt is looked at. */
const MIN_REVIEW_MS = 40;

/** Interval of further looks. */
const REVIEW_INTERVAL_MS = 40;

/** Part of the resend budget that second sends leave for refused requests. */
const SECOND_SEND_RESERVE = 0.4;

/** Connections that cannot be opened for one request until it is given up. */
const MAX_UNREACHABLE = 6;

/** Targets that are asked when the budget does not allow more. */
const LEAST_ASKED_COUNT = 2;

/** Time for targets to state their load; within a failure domain it takes 1 ms. */
const ASK_TIMEOUT_MS = 8;

/** Options of {@link DeliveryEngine}. */
export interface DeliveryEngineOptions {
  readonly board: LoadBoard;
  readonly quarantine: CrashQuarantine;
  readonly random: RandomSource;
  readonly resendLimit: WindowLimit;
  /** Upper bound of the number of VMs. */
  readonly fleetSize: (nowMs: InstantMs) => number;
  /** Budget of probes; takes as many as are wanted, or none. */
  readonly takeProbes: (count: number, nowMs: InstantMs) => boolean;
}

/**
 * Takes requests, attempts' signals and time; returns what adapters must do.
 * Each request has one end: the first of response, refusal, route's time,
 * caller's deadline and caller's departure decides and ends all the rest.
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
  private isLeaving = false;
  private readonly split = new WeightedSplit();
  private readonly deliveries = new Map<string, Delivery>();
  private readonly byToken = new Map<string, Delivery>();
  private readonly waiting = new Set<Delivery>();
  private readonly asking = new Set<Delivery>();
  private readonly experiences = new RouteExperiences();
  private readonly limits: ServiceLimits;
  private readonly selection: TargetSelection;
  private effects: DeliveryEffect[] = [];
  private tokenCount = 0;

  /** @param options - load of targets, quarantine, budget and random source */
  constructor(private readonly options: DeliveryEngineOptions) {
    const {board, random} = options;
    const {experiences} = this;
    this.limits = new ServiceLimits(options);
    this.selection = new TargetSelection({board, random, experiences});
  }

  /** Requests that are not answered, or whose attempts have not ended. */
  get openCount(): number {
    return this.deliveries.size;
  }

  /** Makes routes the ones for requests that arrive from now on. */
  applyRoutes(table: RouteTable): void {
    this.table = table;
  }

  /** Refuses requests that arrive from now on. */
  beginLeaving(): void {
    this.isLeaving = true;
  }

  /**
   * Finds the instant at which {@link onTimer} must be called next.
   *
   * @returns instant in milliseconds; infinite for none
   */
  nextTimerMs(): InstantMs {
    let next = Infinity;
    for (const delivery of this.deliveries.values()) {
      if (!delivery.isClosed) {
        next = Math.min(next, delivery.finalAtMs, delivery.reviewAtMs);
        if (this.waiting.has(delivery)) {
          next = Math.min(next, delivery.waitUntilMs);
        }
        if (this.asking.has(delivery)) {
          next = Math.min(next, delivery.askedUntilMs ?? Infinity);
        }
      }
    }
    return next;
  }

  /**
   * Takes in a request.
   *
   * @param request - request of a caller
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onRequest(
    request: RoutedRequest,
    nowMs: InstantMs,
  ): readonly DeliveryEffect[] {
    const {table} = this;
    if (table === undefined) {
      return this.refuseAtOnce(request, 'no-routes');
    }
    const rule = table.find(request.host, request.path);
    if (rule === undefined) {
      return this.refuseAtOnce(request, 'no-route');
    }
    if (this.isLeaving) {
      return this.refuseAtOnce(request, 'leaving');
    }
    const service = this.split.next(rule, this.options.random.nextFloat());
    if (service === undefined) {
      return this.refuseAtOnce(request, 'no-target');
    }
    if (this.options.quarantine.isQuarantined(request.fingerprint, nowMs)) {
      return this.refuseAtOnce(request, 'quarantined');
    }
    const delivery = new Delivery(request, rule, service, {
      maxWaitMs: this.selection.maxWaitMs(rule),
    });
    this.deliveries.set(request.requestId, delivery);
    this.limits.onRequest(service, nowMs);
    this.dispatch(delivery, nowMs);
    return this.takeEffects();
  }

  /**
   * Takes in a step of an attempt. After `sent` the adapter must look for a
   * `cancel` of the token before it writes the first byte.
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
    const delivery = this.byToken.get(token);
    const attempt = delivery?.attempts.find(each => each.token === token);
    if (delivery === undefined || attempt === undefined) {
      if (signal.type === 'response') {
        this.effects.push({type: 'discard', token});
      }
      return this.takeEffects();
    }
    if (signal.type === 'sent') {
      this.onSent(delivery, attempt, nowMs);
    } else {
      this.onEnded(delivery, attempt, signal, nowMs);
      this.dispatchWaiting(nowMs);
    }
    return this.takeEffects();
  }

  /**
   * Notes that the targets asked for a request have stated their load.
   *
   * @param requestId - request of the `ask` effect
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onAsked(requestId: string, nowMs: InstantMs): readonly DeliveryEffect[] {
    const delivery = this.deliveries.get(requestId);
    if (delivery !== undefined && this.asking.delete(delivery)) {
      this.dispatch(delivery, nowMs);
    }
    return this.takeEffects();
  }

  /**
   * Notes the size of a request and its answer, before the answer is reported.
   *
   * @param token - token of the attempt
   * @param sizeBytes - size of both
   */
  onSize(token: string, sizeBytes: number): void {
    const delivery = this.byToken.get(token);
    if (delivery !== undefined) {
      this.experiences.onSize(delivery.rule, sizeBytes);
    }
  }

  /**
   * Notes that a caller has gone. Attempts that may be dropped are cancelled.
   *
   * @param requestId - request of the caller
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onCallerGone(requestId: string, nowMs: InstantMs): readonly DeliveryEffect[] {
    const delivery = this.deliveries.get(requestId);
    if (delivery !== undefined && !delivery.isClosed) {
      this.close(delivery);
      this.cancelAttempts(delivery, nowMs);
      this.record('caller-gone', {
        callId: delivery.request.callId,
        elapsedMs: Math.round(nowMs - delivery.request.arrivedMs),
      });
      this.forgetIfDone(delivery);
    }
    return this.takeEffects();
  }

  /**
   * Acts on instants that have passed.
   *
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onTimer(nowMs: InstantMs): readonly DeliveryEffect[] {
    for (const delivery of [...this.deliveries.values()]) {
      if (delivery.isClosed) {
        continue;
      }
      if (nowMs >= delivery.finalAtMs) {
        this.expire(delivery, nowMs);
      } else if (this.asking.has(delivery)) {
        if (nowMs >= (delivery.askedUntilMs ?? nowMs)) {
          this.asking.delete(delivery);
          this.dispatch(delivery, nowMs);
        }
      } else if (this.waiting.has(delivery)) {
        this.dispatch(delivery, nowMs);
      } else if (nowMs >= delivery.reviewAtMs) {
        this.review(delivery, nowMs);
      }
    }
    return this.takeEffects();
  }

  /**
   * Sends requests that wait, for example after news of targets.
   *
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onNews(nowMs: InstantMs): readonly DeliveryEffect[] {
    this.dispatchWaiting(nowMs);
    return this.takeEffects();
  }

  private dispatchWaiting(nowMs: InstantMs): void {
    if (this.waiting.size === 0) {
      return;
    }
    const byRank = [...this.waiting].sort(
      (a, b) =>
        a.rule.rank - b.rule.rank || a.request.arrivedMs - b.request.arrivedMs,
    );
    for (const delivery of byRank) {
      this.dispatch(delivery, nowMs);
    }
  }

  /** Sends a request to the best target, lets it wait, or refuses it. */
  private dispatch(delivery: Delivery, nowMs: InstantMs): void {
    const {quarantine} = this.options;
    this.waiting.delete(delivery);
    if (quarantine.isQuarantined(delivery.request.fingerprint, nowMs)) {
      this.refuse(delivery, 'quarantined', nowMs);
      return;
    }
    const forecasts = this.selection.forecasts(delivery, nowMs);
    if (forecasts.length === 0) {
      this.giveUp(delivery, 'no-target', nowMs);
      return;
    }
    const hasRoom = this.limits.hasRoom(delivery.service, nowMs);
    if (hasRoom && this.ask(delivery, forecasts, nowMs)) {
      return;
    }
    const choice = hasRoom
      ? this.selection.choose(delivery, forecasts, nowMs)
      : undefined;
    if (choice !== undefined) {
      this.send(delivery, choice, nowMs);
    } else if (nowMs < delivery.waitUntilMs) {
      this.waiting.add(delivery);
    } else {
      this.giveUp(delivery, 'overloaded', nowMs);
    }
  }

  /** Asks the best targets for their load unless it is known well enough. */
  private ask(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
  ): boolean {
    if (delivery.askedUntilMs !== undefined) {
      return false;
    }
    const targetIds = this.selection.targetsToAsk(delivery, forecasts, nowMs);
    const {takeProbes} = this.options;
    const allowed = [targetIds.length, LEAST_ASKED_COUNT]
      .map(count => targetIds.slice(0, count))
      .find(ids => ids.length > 0 && takeProbes(ids.length, nowMs));
    if (allowed === undefined) {
      return false;
    }
    const {requestId} = delivery.request;
    delivery.askedUntilMs = nowMs + ASK_TIMEOUT_MS;
    this.asking.add(delivery);
    this.effects.push({type: 'ask', requestId, targetIds: allowed});
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
    const attempt: DeliveryAttempt = {
      token,
      targetId: forecast.targetId,
      startedMs: nowMs,
      expectedMs: forecast.durationMs,
      slowness: forecast.slowness,
      sentMs: undefined,
      verdict: 'not-run',
      isOpen: true,
    };
    delivery.attempts.push(attempt);
    delivery.triedTargetIds.push(forecast.targetId);
    delivery.reviewAtMs = rule.idempotent
      ? nowMs + Math.max(MIN_REVIEW_MS, forecast.durationMs * REVIEW_FACTOR)
      : Infinity;
    this.byToken.set(token, delivery);
    board.onSent(forecast.targetId, nowMs);
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
      deadlineMs: delivery.finalAtMs,
    });
    const routesVersion = this.table?.version ?? 0;
    this.log(sendEvent(delivery, choice, {routesVersion, nowMs}));
  }

  private onSent(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    nowMs: InstantMs,
  ): void {
    if (delivery.isClosed || nowMs >= delivery.finalAtMs) {
      this.effects.push({type: 'cancel', token: attempt.token});
      return;
    }
    attempt.sentMs = nowMs;
    attempt.verdict = 'may-have-run';
  }

  private onEnded(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    signal: Exclude<AttemptSignal, {readonly type: 'sent'}>,
    nowMs: InstantMs,
  ): void {
    attempt.isOpen = false;
    this.byToken.delete(attempt.token);
    const outcome = outcomeOf(signal);
    this.options.board.onEnded(attempt.targetId, outcome, nowMs);
    if (signal.type === 'response') {
      this.onResponse(delivery, attempt, signal, nowMs);
    } else if (signal.type === 'unreachable') {
      attempt.verdict = 'not-run';
      delivery.lastFailure = 'unreachable';
      this.goOn(delivery, attempt, 'unreachable', nowMs);
    } else if (signal.type === 'lost') {
      this.onLost(delivery, attempt, nowMs);
    } else {
      attempt.verdict = signal.bytesSent ? 'may-have-run' : 'not-run';
      this.goOn(delivery, attempt, 'lost', nowMs);
    }
    this.forgetIfDone(delivery);
  }

  private onResponse(
    delivery: Delivery,
    attempt: DeliveryAttempt,
    signal: Extract<AttemptSignal, {readonly type: 'response'}>,
    nowMs: InstantMs,
  ): void {
    const {board, quarantine} = this.options;
    const {token, targetId} = attempt;
    if (signal.figures !== undefined) {
      board.onSample(targetId, {...signal.figures, measuredMs: nowMs});
    }
    if (signal.refused) {
      attempt.verdict = 'not-run';
      delivery.lastFailure = 'refused';
      this.effects.push({type: 'discard', token});
      this.goOn(delivery, attempt, 'refused', nowMs);
      return;
    }
    attempt.verdict = 'ran';
    quarantine.onAnswered(delivery.request.fingerprint, nowMs);
    if (delivery.isClosed) {
      this.effects.push({type: 'discard', token});
      return;
    }
    if (signal.status < 500) {
      this.learn(delivery, attempt, nowMs);
      this.respond(delivery, token, signal.status, nowMs);
    } else {
      this.onServerError(delivery, attempt, signal.status, nowMs);
    }
  }

  /** A server error is passed on unless another target can do better. */
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
    const {quarantine} = this.options;
    const {fingerprint} = delivery.request;
    delivery.lastFailure = 'lost';
    quarantine.onCrash(attempt.targetId, [fingerprint], nowMs);
    this.goOn(delivery, attempt, 'lost', nowMs);
  }

  /** After an attempt without a response: another one, or an answer. */
  private goOn(
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
    const isFree = attempt.sentMs === undefined;
    if (isFree && this.unreachableCount(delivery) < MAX_UNREACHABLE) {
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

  /** Sends once more if attempts, budget and time allow. */
  private resend(
    delivery: Delivery,
    reserve: number,
    nowMs: InstantMs,
  ): boolean {
    const {rule, service, request} = delivery;
    const {quarantine} = this.options;
    if (delivery.sentCount >= rule.maxAttempts) {
      return false;
    }
    if (quarantine.isQuarantined(request.fingerprint, nowMs)) {
      return false;
    }
    const forecasts = this.selection.forecasts(delivery, nowMs);
    const choice = this.selection.choose(delivery, forecasts, nowMs);
    if (choice === undefined) {
      return false;
    }
    if (choice.forecast.durationMs > delivery.finalAtMs - nowMs) {
      return false;
    }
    return this.takeAndSend(delivery, choice, {service, reserve}, nowMs);
  }

  private takeAndSend(
    delivery: Delivery,
    choice: TargetChoice,
    budget: {readonly service: string; readonly reserve: number},
    nowMs: InstantMs,
  ): boolean {
    const {service, reserve} = budget;
    if (!this.limits.tryResend(service, reserve, nowMs)) {
      this.record('budget-used-up', {callId: delivery.request.callId, service});
      return false;
    }
    this.send(delivery, choice, nowMs);
    return true;
  }

  /** Looks at an attempt that takes longer than forecast. */
  private review(delivery: Delivery, nowMs: InstantMs): void {
    delivery.reviewAtMs = nowMs + REVIEW_INTERVAL_MS;
    const [open] = delivery.openAttempts;
    const isAlone = delivery.openAttempts.length === 1;
    if (open === undefined || !isAlone || !delivery.rule.idempotent) {
      delivery.reviewAtMs = Infinity;
      return;
    }
    if (delivery.sentCount >= delivery.rule.maxAttempts) {
      delivery.reviewAtMs = Infinity;
      return;
    }
    const choice = this.selection.chooseSecond(delivery, nowMs);
    if (choice === undefined) {
      return;
    }
    const budget = {service: delivery.service, reserve: SECOND_SEND_RESERVE};
    if (this.takeAndSend(delivery, choice, budget, nowMs)) {
      delivery.reviewAtMs = Infinity;
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
    this.cancelUnsent(delivery);
    this.forgetIfDone(delivery);
  }

  /** Ends a request that cannot be sent any more. */
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
    const outcome = buildRefusal({reason, verdict, load: share}, random);
    this.close(delivery);
    this.effects.push({type: 'respond', requestId: request.requestId, outcome});
    this.log(refuseEvent(delivery, {reason, outcome}, load, nowMs));
    this.forgetIfDone(delivery);
  }

  private refuseAtOnce(
    request: RoutedRequest,
    reason: DeliveryReason,
  ): readonly DeliveryEffect[] {
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
    return this.takeEffects();
  }

  /** The route's time or the caller's has passed. */
  private expire(delivery: Delivery, nowMs: InstantMs): void {
    const reason = delivery.isBoundByRoute ? 'timeout' : 'deadline';
    this.giveUp(delivery, reason, nowMs);
    this.cancelAttempts(delivery, nowMs);
    this.forgetIfDone(delivery);
  }

  /** Cancels what nobody waits for; sent work that must not repeat goes on. */
  private cancelAttempts(delivery: Delivery, nowMs: InstantMs): void {
    for (const attempt of delivery.openAttempts) {
      if (delivery.rule.idempotent || attempt.sentMs === undefined) {
        this.withdraw(attempt, nowMs);
      }
    }
  }

  private cancelUnsent(delivery: Delivery): void {
    for (const attempt of delivery.openAttempts) {
      if (attempt.sentMs === undefined) {
        this.effects.push({type: 'cancel', token: attempt.token});
      }
    }
  }

  private withdraw(attempt: DeliveryAttempt, nowMs: InstantMs): void {
    attempt.isOpen = false;
    this.byToken.delete(attempt.token);
    this.options.board.onEnded(attempt.targetId, 'withdrawn', nowMs);
    this.effects.push({type: 'cancel', token: attempt.token});
  }

  private close(delivery: Delivery): void {
    delivery.isClosed = true;
    delivery.reviewAtMs = Infinity;
    this.waiting.delete(delivery);
    this.asking.delete(delivery);
  }

  private forgetIfDone(delivery: Delivery): void {
    if (delivery.isClosed && delivery.openAttempts.length === 0) {
      this.deliveries.delete(delivery.request.requestId);
    }
  }

  private unreachableCount({attempts}: Delivery): number {
    return attempts.filter(({sentMs}) => sentMs === undefined).length;
  }

  private learn(
    {rule}: Delivery,
    attempt: DeliveryAttempt,
    nowMs: InstantMs,
  ): void {
    if (attempt.sentMs !== undefined) {
      const {work} = this.experiences.of(rule);
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

function outcomeOf(
  signal: Exclude<AttemptSignal, {readonly type: 'sent'}>,
): TargetOutcome {
  switch (signal.type) {
    case 'response':
      if (signal.refused) {
        return 'refused';
      }
      return signal.status >= 500 ? 'failed' : 'answered';
    case 'unreachable':
      return 'unreachable';
    case 'lost':
      return 'failed';
    case 'cancelled':
      return 'withdrawn';
  }
}
