/**
 * Executes the effects of the delivery engine and reports their results to it.
 *
 * @packageDocumentation
 */
import {
  RELAY_HEADER,
  type CallerListener,
  type CallerServer,
  type Exchange,
} from '../caller_http/index.js';
import type {Clock, InstantMs} from '../core/index.js';
import type {
  DeliveryEffect,
  DeliveryEngine,
  DeliveryOutcome,
  RoutedRequest,
} from '../delivery/index.js';
import type {AttemptSignal} from '../engine/index.js';
import {encodeRelayHead} from '../peer_relay/index.js';
import type {LoadBoard} from '../load/index.js';
import type {TargetClient, TargetResponse} from '../target_http/index.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {EventLogger} from './event_logger.js';
import type {TargetProber} from './target_prober.js';

type EffectOf<T extends DeliveryEffect['type']> = Extract<
  DeliveryEffect,
  {readonly type: T}
>;

/** Most connections to one peer that carries requests. */
const MAX_PEER_CONNECTIONS = 64;

/** Options of {@link DeliveryRunner}. */
export interface DeliveryRunnerOptions {
  readonly clock: Clock;
  readonly engine: DeliveryEngine;
  readonly targets: TargetClient;
  /** Client for requests that peers carry. */
  readonly peers: TargetClient;
  readonly relayPort: number;
  readonly board: LoadBoard;
  readonly prober: TargetProber;
  readonly metrics: EntryMetrics;
  readonly log: EventLogger;
}

/**
 * Executes effects in the order in which the engine returns them. An effect may
 * trigger further inputs while it runs; their effects are queued behind it. A
 * cancellation in response to `sent` is executed immediately, because it must
 * take effect before the first byte is written.
 */
export class DeliveryRunner implements CallerListener<RoutedRequest> {
  private readonly queue: DeliveryEffect[] = [];
  private readonly responses = new Map<string, TargetResponse>();
  private isRunning = false;
  private readonly servers: CallerServer<RoutedRequest>[] = [];
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs: InstantMs = Infinity;

  /** @param options - engine, adapters, metrics and log */
  constructor(private readonly options: DeliveryRunnerOptions) {}

  /** Adds a server whose requests this runner answers. */
  attach(server: CallerServer<RoutedRequest>): void {
    this.servers.push(server);
  }

  onRequest(exchange: Exchange<RoutedRequest>): void {
    const {metrics} = this.options;
    if (exchange.request.relay === undefined) {
      metrics.onRequest();
    } else {
      metrics.onRelay('from-peer');
    }
    this.feed(nowMs => this.options.engine.onRequest(exchange.request, nowMs));
  }

  onCallerGone(requestId: string): void {
    this.feed(nowMs => this.options.engine.onCallerGone(requestId, nowMs));
  }

  /**
   * Passes an input to the engine and executes the resulting effects. An
   * exception of the engine is logged and does not end the process.
   *
   * @param input - calls one method of the engine
   */
  feed(input: (nowMs: InstantMs) => readonly DeliveryEffect[]): void {
    try {
      this.queue.push(...input(this.options.clock.nowMs()));
    } catch (error) {
      this.options.log.error('delivery', 'engine input failed', error);
    }
    this.runQueue();
    this.scheduleTimer();
  }

  private runQueue(): void {
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    let effect = this.queue.shift();
    while (effect !== undefined) {
      try {
        this.perform(effect);
      } catch (error) {
        this.options.log.error(
          'delivery',
          `effect ${effect.type} failed`,
          error,
        );
      }
      effect = this.queue.shift();
    }
    this.isRunning = false;
  }

  /** Sets the timer for the instant that the engine requests next. */
  private scheduleTimer(): void {
    const {engine, clock} = this.options;
    const dueMs = engine.nextTimerMs();
    if (dueMs === this.timerDueMs) {
      return;
    }
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    if (!Number.isFinite(dueMs)) {
      return;
    }
    const delayMs = Math.max(0, Math.ceil(dueMs - clock.nowMs()));
    this.timer = setTimeout(() => {
      this.timerDueMs = Infinity;
      this.feed(nowMs => engine.onTimer(nowMs));
    }, delayMs);
  }

  private perform(effect: DeliveryEffect): void {
    switch (effect.type) {
      case 'send':
        this.send(effect);
        break;
      case 'relay':
        this.relay(effect);
        break;
      case 'probe':
        this.probeTargets(effect);
        break;
      case 'cancel':
        this.cancel(effect.token);
        break;
      case 'discard':
        this.responses.get(effect.token)?.discard();
        this.responses.delete(effect.token);
        break;
      case 'respond':
        this.respond(effect.requestId, effect.outcome);
        break;
      case 'event':
        this.options.log.request(effect.event.name, effect.event.details);
        break;
    }
  }

  private probeTargets({requestId, targetIds}: EffectOf<'probe'>): void {
    const {engine, prober, board} = this.options;
    const targets = targetIds.flatMap(targetId => {
      const target = board.target(targetId);
      return target === undefined ? [] : [target];
    });
    prober.probeAll(targets, () =>
      this.feed(nowMs => engine.onProbesDone(requestId, nowMs)),
    );
  }

  private send(effect: EffectOf<'send'>): void {
    const exchange = this.find(effect.requestId);
    if (exchange === undefined) {
      this.reportCallerGone(effect.token);
      return;
    }
    const {targetId, host, port, token} = effect;
    const {request, headers, body} = exchange;
    this.options.metrics.onAttempt();
    this.options.targets.send({
      target: {targetId, host, port},
      maxConnections: effect.maxConnections,
      request: {
        token,
        method: request.method,
        path: request.path,
        headers,
        body,
        freshness: effect.freshness,
        deadlineMs: effect.deadlineMs,
        silenceLimitMs: undefined,
        targetId,
        callId: request.callId,
      },
      listener: (signal, response) => this.onSignal(token, signal, response),
    });
  }

  /** Passes a request to a peer. */
  private relay(effect: EffectOf<'relay'>): void {
    const exchange = this.find(effect.requestId);
    if (exchange === undefined) {
      this.reportCallerGone(effect.token);
      return;
    }
    const {host, token, deadlineMs, terms} = effect;
    const {request, body} = exchange;
    this.options.metrics.onRelay('to-peer');
    this.options.peers.send({
      target: {targetId: host, host, port: this.options.relayPort},
      maxConnections: MAX_PEER_CONNECTIONS,
      request: {
        token,
        method: request.method,
        path: request.path,
        headers: [
          ...exchange.headers,
          RELAY_HEADER,
          encodeRelayHead(request, terms, deadlineMs),
        ],
        body,
        freshness: effect.freshness,
        deadlineMs,
        silenceLimitMs: undefined,
        callId: request.callId,
      },
      listener: (signal, response) => this.onSignal(token, signal, response),
    });
  }

  private cancel(token: string): void {
    this.options.targets.cancel(token);
    this.options.peers.cancel(token);
  }

  private find(requestId: string): Exchange<RoutedRequest> | undefined {
    for (const server of this.servers) {
      const exchange = server.find(requestId);
      if (exchange !== undefined) {
        return exchange;
      }
    }
    return undefined;
  }

  /** Reports an attempt whose caller has disconnected before it was sent. */
  private reportCallerGone(token: string): void {
    const signal = {type: 'cancelled', bytesSent: false} as const;
    this.feed(nowMs => this.options.engine.onSignal(token, signal, nowMs));
  }

  private onSignal(
    token: string,
    signal: AttemptSignal,
    response: TargetResponse | undefined,
  ): void {
    const {engine, clock} = this.options;
    if (signal.type === 'sent') {
      const effects = engine.onSignal(token, signal, clock.nowMs());
      for (const effect of effects) {
        if (effect.type === 'cancel') {
          this.cancel(effect.token);
        } else {
          this.queue.push(effect);
        }
      }
      return;
    }
    if (response !== undefined) {
      this.responses.set(token, response);
      engine.recordSize(token, response.sizeBytes);
    }
    this.options.metrics.onAttemptEnded(signal.type);
    this.feed(nowMs => engine.onSignal(token, signal, nowMs));
  }

  private respond(requestId: string, outcome: DeliveryOutcome): void {
    const {metrics, clock} = this.options;
    const exchange = this.find(requestId);
    const elapsedMs =
      clock.nowMs() - (exchange?.request.arrivedMs ?? clock.nowMs());
    if (outcome.type === 'refusal') {
      metrics.onAnswered(`refused-${outcome.reason}`, elapsedMs);
      exchange?.refuse(outcome);
      return;
    }
    const response = this.responses.get(outcome.token);
    this.responses.delete(outcome.token);
    if (exchange === undefined || response === undefined) {
      response?.discard();
      return;
    }
    metrics.onAnswered('delivered', elapsedMs);
    exchange.forward(response);
  }
}
