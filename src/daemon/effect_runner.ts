/**
 * Carries out the effects of the request engine and reports back.
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
  Outcome,
  RequestEngine,
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

/** Connections that probes may use at most. */
const PROBE_CONNECTIONS = 1;

/** Options of {@link EffectRunner}. */
export interface EffectRunnerOptions {
  readonly clock: Clock;
  readonly engine: RequestEngine;
  readonly targets: TargetClient;
  readonly claims: ClaimRouter;
  readonly events: EventLog;
  readonly metrics: DaemonMetrics;
  readonly log: ComponentLog;
  /** Publishes a fact of this VM. */
  readonly publish: (key: string, value: string) => void;
}

/** A response that arrived and was not passed on yet. */
interface HeldResponse {
  readonly requestId: string;
  readonly response: TargetResponse;
}

/**
 * Effects run in the order in which the engine returned them. An effect may
 * cause further inputs while it runs; their effects wait for their turn, except
 * a cancellation on `sent`, which must take effect before the first byte.
 */
export class EffectRunner implements CallerListener {
  private readonly queue: Effect[] = [];
  private readonly responses = new Map<string, HeldResponse>();
  private readonly maxConnections = new Map<string, number>();
  private readonly loadProbe: LoadProbe;
  private draining = false;
  private server: CallerServer | undefined;

  /** @param options - engine, adapters and destinations */
  constructor(private readonly options: EffectRunnerOptions) {
    const {clock, targets} = options;
    this.loadProbe = new LoadProbe({clock, client: targets});
  }

  /** Sets the server that answers callers. */
  attach(server: CallerServer): void {
    this.server = server;
  }

  /**
   * Gives an input to the engine and carries out the effects. A fault in the
   * engine is logged and does not end the process.
   *
   * @param input - calls one method of the engine
   * @returns false if the input failed
   */
  feed(input: (nowMs: number) => readonly Effect[]): boolean {
    try {
      this.queue.push(...input(this.options.clock.nowMs()));
    } catch (error) {
      this.options.log.error('input failed', error);
      return false;
    }
    this.drain();
    return true;
  }

  /** Takes in a caller's request. */
  onRequest(exchange: Exchange): void {
    const {engine, metrics} = this.options;
    const {request} = exchange;
    metrics.onRequest(request.service);
    if (!this.feed(nowMs => engine.onRequest(request, nowMs))) {
      // The state of the request is unknown: it must not look not-run.
      this.respond(request.requestId, {
        type: 'refusal',
        status: 500,
        verdict: 'may-have-run',
        reason: 'connection-lost',
        retryAfterSeconds: undefined,
      });
    }
  }

  /** Takes in that a caller closed its connection. */
  onCallerGone(requestId: string): void {
    this.feed(nowMs => this.options.engine.onCallerGone(requestId, nowMs));
    this.dropResponses(requestId);
  }

  private drain(): void {
    if (this.draining) {
      return;
    }
    this.draining = true;
    try {
      for (let next = this.queue.shift(); next; next = this.queue.shift()) {
        this.runSafely(next);
      }
    } finally {
      this.draining = false;
    }
  }

  private runSafely(effect: Effect): void {
    try {
      this.run(effect);
    } catch (error) {
      this.options.log.error(`effect ${effect.type} failed`, error);
    }
  }

  private run(effect: Effect): void {
    const {engine, claims, events, targets} = this.options;
    switch (effect.type) {
      case 'send':
        this.send(effect);
        return;
      case 'cancel':
        targets.cancel(effect.token);
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
    const {targets, engine} = this.options;
    const {token, requestId, targetId, host, port, maxConnections} = effect;
    const exchange = this.server?.find(requestId);
    if (exchange === undefined) {
      // The caller left while the effect waited for its turn.
      this.feed(nowMs =>
        engine.onAttemptSignal(
          token,
          {type: 'cancelled', bytesSent: false},
          nowMs,
        ),
      );
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
        this.runSafely(effect);
      } else {
        this.queue.push(effect);
      }
    }
    this.drain();
    if (response !== undefined && this.server?.find(requestId) === undefined) {
      this.dropResponses(requestId);
    }
  }

  private respond(requestId: string, outcome: Outcome): void {
    const held =
      outcome.type === 'response'
        ? this.responses.get(outcome.token)
        : undefined;
    let response: TargetResponse | undefined;
    if (outcome.type === 'response' && held?.requestId === requestId) {
      response = held.response;
      this.responses.delete(outcome.token);
    }
    this.options.metrics.onOutcome(outcome);
    this.server?.respond(requestId, outcome, response);
    this.dropResponses(requestId);
  }

  /** Forgets responses of a request that will not be passed on. */
  private dropResponses(requestId: string): void {
    for (const [token, held] of this.responses) {
      if (held.requestId === requestId) {
        this.responses.delete(token);
        held.response.discard();
      }
    }
  }

  private probe(effect: EffectOf<'probe'>): void {
    const {engine, metrics} = this.options;
    const {service, targetId, host, port} = effect;
    metrics.onProbe(service);
    const maxConnections =
      this.maxConnections.get(targetId) ?? PROBE_CONNECTIONS;
    this.loadProbe.probe({targetId, host, port}, maxConnections, report =>
      this.feed(nowMs => engine.onReport(service, report, nowMs)),
    );
  }
}
