/**
 * Client that sends attempts to targets.
 *
 * @packageDocumentation
 */
import type {Clock} from '../core/index.js';
import {Attempt, type AttemptRequest, type SignalListener} from './attempt.js';
import {ConnectionPool} from './connection_pool.js';
import type {TargetProtocol} from './target_protocol.js';

/**
 * Time without an attempt after which a pool without connections is removed.
 */
const POOL_IDLE_LIMIT_MS = 60_000;

/** Address of a target. */
export interface TargetAddress {
  readonly targetId: string;
  readonly host: string;
  readonly port: number;
}

/** Options of {@link TargetClient.send}. */
export interface SendOptions {
  readonly target: TargetAddress;
  readonly request: AttemptRequest;
  /** Maximum number of connections of this VM to the target. */
  readonly maxConnections: number;
  readonly listener: SignalListener;
}

/**
 * Manages the connections of one VM to all targets.
 *
 * @example
 * ```ts
 * const client = new TargetClient({clock, protocol: new NativeTargetProtocol()});
 * client.send({target, request, maxConnections: 9, listener});
 * ```
 */
export class TargetClient {
  private readonly clock: Clock;
  private readonly protocol: TargetProtocol;
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly attempts = new Map<string, OpenAttempt>();

  /**
   * @param options - `clock`: source of instants; `protocol`: protocol between
   *     the load balancer and targets
   */
  constructor(options: {
    readonly clock: Clock;
    readonly protocol: TargetProtocol;
  }) {
    this.clock = options.clock;
    this.protocol = options.protocol;
  }

  /** Number of connections, including those being opened. */
  get connectionCount(): number {
    let count = 0;
    for (const pool of this.pools.values()) {
      count += pool.size;
    }
    return count;
  }

  /**
   * Starts an attempt. Its listener receives all results as signals.
   *
   * @param options - target, request, connection limit and listener
   */
  send(options: SendOptions): void {
    const {request, target} = options;
    const {token} = request;
    const pool = this.getOrCreatePool(target);
    const attempt = new Attempt(request, (signal, response) => {
      if (signal.type !== 'sent') {
        this.attempts.delete(token);
      }
      options.listener(signal, response);
    });
    this.attempts.set(token, {attempt, pool});
    pool.submit(attempt, options.maxConnections);
  }

  /**
   * Cancels an attempt; its listener receives the signal `cancelled`. The token
   * of an unknown or finished attempt is ignored.
   *
   * @param token - token of the attempt
   */
  cancel(token: string): void {
    const openAttempt = this.attempts.get(token);
    openAttempt?.pool.cancel(openAttempt.attempt);
  }

  /**
   * Closes silent and stalled connections and removes unused pools. Must be
   * called about every 50 ms.
   */
  tick(): void {
    const nowMs = this.clock.nowMs();
    for (const [key, pool] of this.pools) {
      pool.tick(nowMs);
      if (pool.size === 0 && nowMs - pool.lastUsedMs > POOL_IDLE_LIMIT_MS) {
        this.pools.delete(key);
      }
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const pool of this.pools.values()) {
      pool.destroy();
    }
    this.pools.clear();
  }

  private getOrCreatePool(target: TargetAddress): ConnectionPool {
    const key = `${target.targetId}@${target.host}:${target.port}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new ConnectionPool({
        host: target.host,
        port: target.port,
        nowMs: () => this.clock.nowMs(),
        protocol: this.protocol,
      });
      this.pools.set(key, pool);
    }
    return pool;
  }
}

/** An unfinished attempt and the pool that it was submitted to. */
interface OpenAttempt {
  readonly attempt: Attempt;
  readonly pool: ConnectionPool;
}
