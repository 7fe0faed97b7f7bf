/**
 * Executes the effects of the request engine and reports their results to it.
 *
 * @packageDocumentation
 */
import {
  CallerServer,
  type CallerListener,
  type Exchange,
} from '../caller_http/index.js';
import type {Clock} from '../core/index.js';
import type {
  AttemptSignal,
  Effect,
  RequestEngine,
  RequestOutcome,
} from '../engine/index.js';
import {
  LoadProbe,
  type TargetClient,
  type TargetResponse,
} from '../target_http/index.js';
import type {ClaimRouter} from './claim_router.js';
import type {ComponentLog} from './component_log.js';
import type {DaemonMetrics} from './daemon_metrics.js';
import type {EventLog} from './event_log.js';

type EffectOf<T extends Effect['type']> = Extract<Effect, {readonly type: T}>;

/** Connection limit of probes of a target that was sent no request yet. */
const DEFAULT_PROBE_CONNECTIONS = 1;

/** Most connections to one peer that carries requests. */
const MAX_PEER_CONNECTIONS = 64;

/** Options of {@link EffectRunner}. */
export interface EffectRunnerOptions {
  readonly clock: Clock;
  readonly engine: RequestEngine;
  readonly targets: TargetClient;
  /** Client for requests that peers carry. */
  readonly peers: TargetClient;
  readonly claims: ClaimRouter;
  readonly events: EventLog;
  readonly metrics: DaemonMetrics;
  readonly log: ComponentLog;
  /** Publishes a fact of this VM. */
  readonly publish: (key: string, value: string) => void;
}

/** A response that has arrived and is not forwarded yet. */
interface PendingResponse {
  readonly requestId: string;
  readonly response: TargetResponse;
}

/**
 * Executes effects in the order in which the engine returns them. An effect may
 * trigger further inputs while it runs; their effects are queued behind it. A
 * cancellation in response to `sent` is executed immediately, because it must
 * take effect before the first byte is written.
 */
export class EffectRunner implements CallerListener {
  private readonly queue: Effect[] = [];
  private readonly responses = new Map<string, PendingResponse>();
  private readonly maxConnections = new Map<string, number>();
  private readonly loadProbe: LoadProbe;
  private isRunning = false;
  private readonly servers: CallerServer[] = [];

  /** @param options - engine, adapters, event log and metrics */
  constructor(private readonly options: EffectRunnerOptions) {
    const {clock, targets} = options;
    this.loadProbe = new LoadProbe({clock, client: targets});
  }

  /** Adds a server whose requests this runner answers. */
  attach(server: CallerServer): void {
    this.servers.push(server);
  }

  /**
   * Passes an input to the engine and executes the resulting effects. An
   * exception of the engine is logged and does not end the process.
   *
   * @param input - calls one method of the engine
   * @returns false if the engine threw an exception
   */
  feed(input: (nowMs: number) => readonly Effect[]): boolean {
    try {
      this.queue.push(...input(this.options.clock.nowMs()));
    } catch (error) {
      this.options.log.error('input failed', error);
      return false;
    }
    this.runQueue();
    return true;
  }

  /** Passes a request of a caller to the engine. */
  onRequest(exchange: Exchange): void {
    const {engine, metrics} = this.options;
    const {request} = exchange;
    if (request.isRelayed === true) {
      metrics.onRelay('from-peer');
    } else {
      metrics.onRequest(request.service);
    }
    if (!this.feed(nowMs => engine.onRequest(request, nowMs))) {
      // The state of the request is unknown, so the verdict must not be
      // not-run.
      this.respond(request.requestId, {
        type: 'refusal',
        status: 500,
        verdict: 'may-have-run',
        reason: 'connection-lost',
        retryAfterSeconds: undefined,
      });
    }
  }

  /**
   * Handles that a caller closed its connection, and discards its responses.
   */
  onCallerGone(requestId: string): void {
    this.feed(nowMs => this.options.engine.onCallerGone(requestId, nowMs));
    this.discardResponses(requestId);
  }

  private runQueue(): void {
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    try {
      for (let next = this.queue.shift(); next; next = this.queue.shift()) {
        this.executeSafely(next);
      }
    } finally {
      this.isRunning = false;
    }
  }

  private executeSafely(effect: Effect): void {
    try {
      this.execute(effect);
    } catch (error) {
      this.options.log.error(`effect ${effect.type} failed`, error);
    }
  }

  private execute(effect: Effect): void {
    const {engine, claims, events, targets, peers} = this.options;
    switch (effect.type) {
      case 'send':
        this.send(effect);
        return;
      case 'relay':
        this.relay(effect);
        return;
      case 'cancel':
        targets.cancel(effect.token);
        peers.cancel(effect.token);
        return;
      case 'claim':
        claims.claim(effect.homeVmId, effect.claim, reply =>
          this.feed(nowMs => engine.onClaimReply(reply, nowMs)),
        );
        return;
      case 'settle':
        claims.settle(effect.homeVmId, effect.settlement);
        return;
      case 'respond':
        this.respond(effect.requestId, effect.outcome);
        return;
      case 'probe':
        this.probe(effect);
        return;
      case 'publish':
        this.options.publish(effect.key, effect.value);
        return;
      case 'event':
        events.record(effect.part, effect.name, effect.details);
        return;
    }
  }

  private send(effect: EffectOf<'send'>): void {
    const {targets} = this.options;
    const {token, requestId, targetId, host, port, maxConnections} = effect;
    const exchange = this.find(requestId);
    if (exchange === undefined) {
      this.reportCallerGone(token);
      return;
    }
    this.maxConnections.set(targetId, maxConnections);
    targets.send({
      target: {targetId, host, port},
      maxConnections,
      request: {
        token,
        method: exchange.request.method,
        path: exchange.request.path,
        headers: exchange.headers,
        body: exchange.body,
        freshness: effect.freshness,
        deadlineMs: effect.deadlineMs,
        silenceLimitMs: effect.silenceLimitMs,
      },
      listener: (signal, response) => {
        this.onSignal(token, requestId, signal, response);
      },
    });
  }

  /** Passes a request to a peer. */
  private relay(effect: EffectOf<'relay'>): void {
    const {token, requestId, host, port, freshness, deadlineMs} = effect;
    const exchange = this.find(requestId);
    if (exchange === undefined) {
      this.reportCallerGone(token);
      return;
    }
    this.options.metrics.onRelay('to-peer');
    this.options.peers.send({
      target: {targetId: host, host, port},
      maxConnections: MAX_PEER_CONNECTIONS,
      request: {
        token,
        method: exchange.request.method,
        path: exchange.request.path,
        headers: exchange.headers,
        body: exchange.body,
        freshness,
        deadlineMs,
        silenceLimitMs: undefined,
      },
      listener: (signal, response) => {
        this.onSignal(token, requestId, signal, response);
      },
    });
  }

  /** Reports an attempt whose caller disconnected before it was sent. */
  private reportCallerGone(token: string): void {
    const signal = {type: 'cancelled', bytesSent: false} as const;
    this.feed(nowMs =>
      this.options.engine.onAttemptSignal(token, signal, nowMs),
    );
  }

  private find(requestId: string): Exchange | undefined {
    return this.serverOf(requestId)?.find(requestId);
  }

  private serverOf(requestId: string): CallerServer | undefined {
    return this.servers.find(each => each.find(requestId) !== undefined);
  }

  private onSignal(
    token: string,
    requestId: string,
    signal: AttemptSignal,
    response: TargetResponse | undefined,
  ): void {
    const {engine, clock, log, metrics} = this.options;
    metrics.onSignal(signal.type);
    if (response !== undefined) {
      this.responses.set(token, {requestId, response});
    }
    let effects: readonly Effect[] = [];
    try {
      effects = engine.onAttemptSignal(token, signal, clock.nowMs());
    } catch (error) {
      log.error(`signal ${signal.type} failed`, error);
    }
    for (const effect of effects) {
      if (
        signal.type === 'sent' &&
        effect.type === 'cancel' &&
        effect.token === token
      ) {
        this.executeSafely(effect);
      } else {
        this.queue.push(effect);
      }
    }
    this.runQueue();
    if (response !== undefined && this.find(requestId) === undefined) {
      this.discardResponses(requestId);
    }
  }

  private respond(requestId: string, outcome: RequestOutcome): void {
    const pending =
      outcome.type === 'response'
        ? this.responses.get(outcome.token)
        : undefined;
    let response: TargetResponse | undefined;
    if (outcome.type === 'response' && pending?.requestId === requestId) {
      response = pending.response;
      this.responses.delete(outcome.token);
    }
    this.options.metrics.onOutcome(outcome);
    // Any server discards the response to a caller that has disconnected.
    const server = this.serverOf(requestId) ?? this.servers[0];
    server?.respond(requestId, outcome, response);
    this.discardResponses(requestId);
  }

  /** Discards the responses of a request that will not be forwarded. */
  private discardResponses(requestId: string): void {
    for (const [token, pending] of this.responses) {
      if (pending.requestId === requestId) {
        this.responses.delete(token);
        pending.response.discard();
      }
    }
  }

  private probe(effect: EffectOf<'probe'>): void {
    const {engine, metrics} = this.options;
    const {service, targetId, host, port} = effect;
    metrics.onProbe(service);
    const maxConnections =
      this.maxConnections.get(targetId) ?? DEFAULT_PROBE_CONNECTIONS;
    this.loadProbe.probe({targetId, host, port}, maxConnections, report =>
      this.feed(nowMs => engine.onReport(service, report, nowMs)),
    );
  }
}
