/**
 * Carries out the effects of the delivery engine and reports back.
 *
 * @packageDocumentation
 */
import type {
  CallerListener,
  CallerServer,
  Exchange,
} from '../caller_http/index.js';
import type {Clock, InstantMs} from '../core/index.js';
import type {
  DeliveryEffect,
  DeliveryEngine,
  DeliveryOutcome,
  RoutedRequest,
} from '../delivery/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {LoadBoard} from '../load/index.js';
import type {TargetClient, TargetResponse} from '../target_http/index.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {EventLines} from './event_lines.js';
import type {TargetProber} from './target_prober.js';

type EffectOf<T extends DeliveryEffect['type']> = Extract<
  DeliveryEffect,
  {readonly type: T}
>;

/** Options of {@link DeliveryRunner}. */
export interface DeliveryRunnerOptions {
  readonly clock: Clock;
  readonly engine: DeliveryEngine;
  readonly targets: TargetClient;
  readonly board: LoadBoard;
  readonly prober: TargetProber;
  readonly metrics: EntryMetrics;
  readonly lines: EventLines;
}

/**
 * Effects run in the order in which the engine returned them. An effect may
 * cause further inputs while it runs; their effects wait for their turn, except
 * a cancellation on `sent`, which must take effect before the first byte.
 */
export class DeliveryRunner implements CallerListener<RoutedRequest> {
  private readonly queue: DeliveryEffect[] = [];
  private readonly responses = new Map<string, TargetResponse>();
  private isRunning = false;
  private server: CallerServer<RoutedRequest> | undefined;
  private timer: NodeJS.Timeout | undefined;
  private timerAtMs: InstantMs = Infinity;

  /** @param options - engine, adapters and destinations */
  constructor(private readonly options: DeliveryRunnerOptions) {}

  /** Sets the server that answers callers. */
  attach(server: CallerServer<RoutedRequest>): void {
    this.server = server;
  }

  onRequest(exchange: Exchange<RoutedRequest>): void {
    this.options.metrics.onRequest();
    this.feed(nowMs => this.options.engine.onRequest(exchange.request, nowMs));
  }

  onCallerGone(requestId: string): void {
    this.feed(nowMs => this.options.engine.onCallerGone(requestId, nowMs));
  }

  /**
   * Gives an input to the engine and carries out the effects. A fault in the
   * engine is logged and does not end the process.
   *
   * @param input - call of the engine
   */
  feed(input: (nowMs: InstantMs) => readonly DeliveryEffect[]): void {
    try {
      this.queue.push(...input(this.options.clock.nowMs()));
    } catch (error) {
      this.options.lines.error('delivery', 'input failed', error);
    }
    this.runQueue();
    this.schedule();
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
        this.options.lines.error('delivery', `${effect.type} failed`, error);
      }
      effect = this.queue.shift();
    }
    this.isRunning = false;
  }

  /** Calls the engine back at the instant that it names. */
  private schedule(): void {
    const {engine, clock} = this.options;
    const atMs = engine.nextTimerMs();
    if (atMs === this.timerAtMs) {
      return;
    }
    clearTimeout(this.timer);
    this.timerAtMs = atMs;
    if (!Number.isFinite(atMs)) {
      return;
    }
    const delayMs = Math.max(0, Math.ceil(atMs - clock.nowMs()));
    this.timer = setTimeout(() => {
      this.timerAtMs = Infinity;
      this.feed(nowMs => engine.onTimer(nowMs));
    }, delayMs);
  }

  private perform(effect: DeliveryEffect): void {
    switch (effect.type) {
      case 'send':
        this.send(effect);
        break;
      case 'ask':
        this.ask(effect);
        break;
      case 'cancel':
        this.options.targets.cancel(effect.token);
        break;
      case 'discard':
        this.responses.get(effect.token)?.discard();
        this.responses.delete(effect.token);
        break;
      case 'respond':
        this.respond(effect.requestId, effect.outcome);
        break;
      case 'event':
        this.options.lines.request(effect.event.name, effect.event.details);
        break;
    }
  }

  private ask({requestId, targetIds}: EffectOf<'ask'>): void {
    const {engine, prober, board} = this.options;
    const targets = targetIds.flatMap(targetId => {
      const target = board.target(targetId);
      return target === undefined ? [] : [target];
    });
    prober.ask(targets, () =>
      this.feed(nowMs => engine.onAsked(requestId, nowMs)),
    );
  }

  private send(effect: EffectOf<'send'>): void {
    const exchange = this.server?.find(effect.requestId);
    if (exchange === undefined) {
      const signal = {type: 'cancelled', bytesSent: false} as const;
      this.feed(nowMs =>
        this.options.engine.onSignal(effect.token, signal, nowMs),
      );
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

  private onSignal(
    token: string,
    signal: AttemptSignal,
    response: TargetResponse | undefined,
  ): void {
    const {engine, clock, targets} = this.options;
    if (signal.type === 'sent') {
      const effects = engine.onSignal(token, signal, clock.nowMs());
      for (const effect of effects) {
        if (effect.type === 'cancel') {
          targets.cancel(effect.token);
        } else {
          this.queue.push(effect);
        }
      }
      return;
    }
    if (response !== undefined) {
      this.responses.set(token, response);
      engine.onSize(token, response.sizeBytes);
    }
    this.options.metrics.onAttemptEnded(signal.type);
    this.feed(nowMs => engine.onSignal(token, signal, nowMs));
  }

  private respond(requestId: string, outcome: DeliveryOutcome): void {
    const {metrics, clock} = this.options;
    const exchange = this.server?.find(requestId);
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
    exchange.answer(response);
  }
}
