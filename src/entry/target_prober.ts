/**
 * Health and load probes of targets.
 *
 * @packageDocumentation
 */
import type {Clock} from '../core/index.js';
import type {LoadBoard} from '../load/index.js';
import type {KnownTarget} from '../registry/index.js';
import type {TargetReachability} from '../relay/index.js';
import type {RouteTable} from '../routes/index.js';
import type {TargetClient} from '../target_http/index.js';

/** Most connections to one target that probes may use. */
const MAX_PROBE_CONNECTIONS = 4;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/** Options of {@link TargetProber}. */
export interface TargetProberOptions {
  readonly clock: Clock;
  readonly targets: TargetClient;
  readonly board: LoadBoard;
  readonly reachability: TargetReachability;
  readonly routes: () => RouteTable | undefined;
}

/** Probes targets, with at most one pending probe per target. */
export class TargetProber {
  private readonly pendingCallbacks = new Map<string, (() => void)[]>();
  private sentCount = 0;

  /** @param options - clock, target client, load board and routes */
  constructor(private readonly options: TargetProberOptions) {}

  /** Returns the number of probes sent so far. */
  get probeCount(): number {
    return this.sentCount;
  }

  /**
   * Probes several targets.
   *
   * @param targets - registered targets, at least one
   * @param onDone - called once when all probes have succeeded or failed
   */
  probeAll(targets: readonly KnownTarget[], onDone: () => void): void {
    let pendingCount = targets.length;
    const onProbeDone = (): void => {
      pendingCount -= 1;
      if (pendingCount === 0) {
        onDone();
      }
    };
    targets.forEach(target => this.probe(target, onProbeDone));
  }

  /**
   * Probes a target, or joins a pending probe of it. Does nothing if the
   * service of the target has no health path.
   *
   * @param target - registered target
   * @param onDone - called when the probe has succeeded or failed
   */
  probe(target: KnownTarget, onDone?: () => void): void {
    const {targetId, startedMs, host, port, service} = target;
    const path = this.options.routes()?.service(service)?.healthPath;
    if (path === undefined) {
      onDone?.();
      return;
    }
    const pending = this.pendingCallbacks.get(targetId);
    const listeners = onDone === undefined ? [] : [onDone];
    if (pending !== undefined) {
      pending.push(...listeners);
      return;
    }
    this.pendingCallbacks.set(targetId, listeners);
    this.sentCount += 1;
    const {clock, targets, board, reachability} = this.options;
    const token = `probe-${this.sentCount}`;
    const sentMs = clock.nowMs();
    const timer = setTimeout(() => targets.cancel(token), PROBE_TIMEOUT_MS);
    targets.send({
      target: {targetId, host, port},
      maxConnections: MAX_PROBE_CONNECTIONS,
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
        const callbacks = this.pendingCallbacks.get(targetId) ?? [];
        this.pendingCallbacks.delete(targetId);
        response?.discard();
        const nowMs = clock.nowMs();
        if (signal.type === 'response' && signal.draining) {
          const notice = {targetId, startedMs, source: 'probe'} as const;
          board.onDrainNotice({...notice, sinceMs: nowMs});
        }
        if (signal.type !== 'response') {
          reachability.onFailed(targetId, nowMs);
          if (!reachability.isCutOff) {
            board.onProbed(targetId, false, nowMs);
          }
          callbacks.forEach(each => each());
          return;
        }
        reachability.onReached(targetId, nowMs);
        if (signal.coldMs !== undefined) {
          board.onColdReport(targetId, signal.coldMs, nowMs);
        }
        if (signal.figures !== undefined) {
          const measuredMs = (sentMs + nowMs) / 2;
          board.onLoadReport(targetId, {...signal.figures, measuredMs});
          board.onProbed(targetId, true, nowMs);
        }
        callbacks.forEach(each => each());
      },
    });
  }
}
