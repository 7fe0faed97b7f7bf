/**
 * Asks targets for their load on behalf of a failure domain.
 *
 * @packageDocumentation
 */
import type {Clock} from '../core/index.js';
import type {LoadBoard} from '../load/index.js';
import type {KnownTarget} from '../registry/index.js';
import type {RouteTable} from '../routes/index.js';
import type {TargetClient} from '../target_http/index.js';

/** Connections that probes may use at a target. */
const PROBE_CONNECTIONS = 4;

/** A probe that takes longer counts as failed. */
const PROBE_TIMEOUT_MS = 250;

/** Options of {@link TargetProber}. */
export interface TargetProberOptions {
  readonly clock: Clock;
  readonly targets: TargetClient;
  readonly board: LoadBoard;
  readonly routes: () => RouteTable | undefined;
}

/** Sends probes; at most one is open at each target. */
export class TargetProber {
  private readonly open = new Map<string, (() => void)[]>();
  private count = 0;

  /** @param options - connections, board and routes */
  constructor(private readonly options: TargetProberOptions) {}

  /** Probes sent so far. */
  get probeCount(): number {
    return this.count;
  }

  /**
   * Asks targets for their load.
   *
   * @param targets - registered targets
   * @param onDone - called once when all have answered or failed
   */
  ask(targets: readonly KnownTarget[], onDone: () => void): void {
    let left = targets.length;
    const onOne = (): void => {
      left -= 1;
      if (left === 0) {
        onDone();
      }
    };
    targets.forEach(target => this.probe(target, onOne));
  }

  /**
   * Asks a target for its load unless an answer is pending.
   *
   * @param target - registered target
   * @param onDone - called when the pending answer has come or failed
   */
  probe(target: KnownTarget, onDone?: () => void): void {
    const {targetId, host, port, service} = target;
    const path = this.options.routes()?.service(service)?.healthPath;
    if (path === undefined) {
      onDone?.();
      return;
    }
    const pending = this.open.get(targetId);
    const listeners = onDone === undefined ? [] : [onDone];
    if (pending !== undefined) {
      pending.push(...listeners);
      return;
    }
    this.open.set(targetId, listeners);
    this.count += 1;
    const {clock, targets, board} = this.options;
    const token = `probe-${this.count}`;
    const sentMs = clock.nowMs();
    const timer = setTimeout(() => targets.cancel(token), PROBE_TIMEOUT_MS);
    targets.send({
      target: {targetId, host, port},
      maxConnections: PROBE_CONNECTIONS,
      request: {
        token,
        method: 'GET',
        path,
        headers: [],
        body: undefined,
        freshness: 'any',
        deadlineMs: sentMs + PROBE_TIMEOUT_MS,
        silenceLimitMs: undefined,
        targetId,
      },
      listener: (signal, response) => {
        if (signal.type === 'sent') {
          return;
        }
        clearTimeout(timer);
        const waiting = this.open.get(targetId) ?? [];
        this.open.delete(targetId);
        response?.discard();
        const nowMs = clock.nowMs();
        if (signal.type !== 'response') {
          board.onProbed(targetId, false, nowMs);
        } else if (signal.figures !== undefined) {
          const measuredMs = (sentMs + nowMs) / 2;
          board.onSample(targetId, {...signal.figures, measuredMs});
          board.onProbed(targetId, true, nowMs);
        }
        waiting.forEach(each => each());
      },
    });
  }
}
