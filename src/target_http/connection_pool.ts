/**
 * Pool of connections to one target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {Attempt} from './attempt.js';
import {PausableSocket} from './pausable_socket.js';
import {TargetConnection} from './target_connection.js';
import type {TargetProtocol} from './target_protocol.js';

/** Time without progress after which a streamed body is abandoned. */
const MAX_BODY_STALL_MS = 30_000;

/**
 * Connections that may close before the first byte of an attempt is written.
 * Bounds the loop when a target accepts and closes each connection.
 */
const MAX_UNSENT_FAILURES = 3;

/** Result of opening a connection. */
type ConnectResult =
  | {readonly type: 'connected'; readonly socket: PausableSocket}
  | {readonly type: 'failed'; readonly refused: boolean};

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  readonly host: string;
  readonly port: number;
  readonly nowMs: () => InstantMs;
  readonly protocol: TargetProtocol;
}

/**
 * Opens, reuses and closes the connections to one target. While no idle
 * connection is usable and the limit is reached, attempts wait in order of
 * arrival.
 */
export class ConnectionPool {
  private readonly origin: string;
  private readonly connections = new Set<TargetConnection>();
  private readonly idleConnections: TargetConnection[] = [];
  private readonly waitingAttempts: Attempt[] = [];
  private connectingCount = 0;
  private maxConnections = 1;
  private lastResponseMs: InstantMs | undefined;
  private crashCheck: Promise<boolean> | undefined;
  private lastSubmitMs: InstantMs;

  /** @param options - address, clock and protocol */
  constructor(private readonly options: ConnectionPoolOptions) {
    const host = options.host.includes(':')
      ? `[${options.host}]`
      : options.host;
    this.origin = `http://${host}:${options.port}`;
    this.lastSubmitMs = options.nowMs();
  }

  /** Number of connections, including those being opened. */
  get size(): number {
    return this.connections.size + this.connectingCount;
  }

  private get provenWindowMs(): number {
    return this.options.protocol.timing.provenWindowMs;
  }

  /** Instant at which an attempt was last submitted. */
  get lastUsedMs(): InstantMs {
    return this.lastSubmitMs;
  }

  /**
   * Sends an attempt as soon as a suitable connection is available.
   *
   * @param attempt - attempt to send
   * @param maxConnections - maximum number of connections to the target
   */
  submit(attempt: Attempt, maxConnections: number): void {
    this.maxConnections = Math.max(1, maxConnections);
    this.lastSubmitMs = this.options.nowMs();
    const connection = this.takeIdle(attempt.request.freshness);
    if (connection !== undefined) {
      this.start(connection, attempt);
      return;
    }
    this.waitingAttempts.push(attempt);
    this.openForWaiting();
  }

  /**
   * Cancels an attempt. If it was sent, its connection is closed.
   *
   * @param attempt - attempt to cancel
   */
  cancel(attempt: Attempt): void {
    const position = this.waitingAttempts.indexOf(attempt);
    if (position >= 0) {
      this.waitingAttempts.splice(position, 1);
    }
    const bytesSent = attempt.sentMs !== undefined;
    for (const connection of this.connections) {
      if (connection.attempt === attempt && !attempt.isFinished) {
        this.drop(connection);
      }
    }
    attempt.finish({type: 'cancelled', bytesSent});
    this.openForWaiting();
  }

  /**
   * Closes connections that receive nothing while others receive responses, and
   * connections whose streamed body has stalled.
   *
   * @param nowMs - current instant in milliseconds
   */
  tick(nowMs: InstantMs): void {
    for (const connection of [...this.connections]) {
      if (this.isSilent(connection, nowMs)) {
        this.failSilent(connection, nowMs);
      } else if (
        connection.stalledMs(nowMs) > MAX_BODY_STALL_MS ||
        connection.isOverdue(nowMs)
      ) {
        this.drop(connection);
      }
    }
  }

  /**
   * Closes all connections. Attempts on a connection are reported as lost,
   * waiting ones as cancelled.
   */
  destroy(): void {
    for (const connection of [...this.connections]) {
      const {attempt} = connection;
      this.drop(connection);
      attempt?.finish({type: 'lost', crashed: false});
    }
    for (const attempt of this.waitingAttempts.splice(0)) {
      attempt.finish({type: 'cancelled', bytesSent: false});
    }
  }

  /**
   * Removes and returns the last released idle connection that is fresh enough.
   */
  private takeIdle(freshness: 'any' | 'proven'): TargetConnection | undefined {
    const nowMs = this.options.nowMs();
    for (let i = this.idleConnections.length - 1; i >= 0; i--) {
      const connection = this.idleConnections[i];
      if (connection === undefined || !connection.isUsable) {
        continue;
      }
      if (
        freshness === 'any' ||
        connection.isProven(nowMs, this.provenWindowMs)
      ) {
        this.idleConnections.splice(i, 1);
        return connection;
      }
    }
    return undefined;
  }

  /** Opens connections for waiting attempts, up to the limit. */
  private openForWaiting(): void {
    while (this.connectingCount < this.waitingAttempts.length) {
      if (this.size >= this.maxConnections) {
        // Idle connections are not fresh enough for the waiting attempts.
        const oldest = this.idleConnections[0];
        if (oldest === undefined) {
          return;
        }
        this.drop(oldest);
      }
      this.openConnection();
    }
  }

  private openConnection(): void {
    this.connectingCount += 1;
    void this.connectSocket().then(result => {
      this.connectingCount -= 1;
      if (result.type === 'connected') {
        this.addConnection(result.socket);
      } else {
        this.waitingAttempts.shift()?.finish({type: 'unreachable'});
      }
      this.openForWaiting();
    });
  }

  private connectSocket(): Promise<ConnectResult> {
    return new Promise(resolve => {
      const {host, port, protocol} = this.options;
      // Half-open, so that the socket can be inspected after its `end` event.
      const socket = new PausableSocket({allowHalfOpen: true});
      socket.setNoDelay(true).connect({host, port});
      const timer = setTimeout(() => {
        socket.destroy();
        resolve({type: 'failed', refused: false});
      }, protocol.timing.connectTimeoutMs);
      const onError = (error: NodeJS.ErrnoException): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve({type: 'failed', refused: error.code === 'ECONNREFUSED'});
      };
      socket.once('error', onError);
      socket.once('connect', () => {
        clearTimeout(timer);
        // An error before TargetConnection adds its own listener must not end
        // the process.
        socket.on('error', () => undefined);
        socket.off('error', onError);
        resolve({type: 'connected', socket});
      });
    });
  }

  /** Adds a connection for a new socket, or closes it if the pool is full. */
  private addConnection(socket: PausableSocket): void {
    if (this.connections.size >= this.maxConnections) {
      socket.destroy();
      return;
    }
    const connection = new TargetConnection({
      socket,
      origin: this.origin,
      nowMs: this.options.nowMs,
      protocol: this.options.protocol,
      listener: {
        onReleased: released => this.assign(released, true),
        onClosed: (closed, attempt) => this.onClosed(closed, attempt),
      },
    });
    this.connections.add(connection);
    this.assign(connection, false);
  }

  /** Sends the next waiting attempt on a free connection, or keeps it idle. */
  private assign(connection: TargetConnection, hasResponse: boolean): void {
    if (hasResponse) {
      this.lastResponseMs = connection.lastResponseMs;
    }
    const attempt = this.waitingAttempts.shift();
    if (attempt === undefined) {
      this.idleConnections.push(connection);
      return;
    }
    this.start(connection, attempt);
  }

  private start(connection: TargetConnection, attempt: Attempt): void {
    const remainingMs = attempt.request.deadlineMs - this.options.nowMs();
    if (remainingMs <= 0) {
      // The deadline passed while the attempt waited, so it must not be sent.
      this.assign(connection, false);
      attempt.finish({type: 'cancelled', bytesSent: false});
      return;
    }
    const {request} = attempt;
    connection.send(attempt, [
      ...request.headers,
      ...this.options.protocol.attemptHeaders(request, remainingMs),
    ]);
  }

  private onClosed(
    connection: TargetConnection,
    attempt: Attempt | undefined,
  ): void {
    this.remove(connection);
    if (attempt === undefined || attempt.isFinished) {
      this.openForWaiting();
      return;
    }
    if (attempt.sentMs === undefined) {
      this.requeueUnsent(attempt);
      return;
    }
    const {violation} = connection;
    if (violation !== undefined) {
      attempt.finish({type: 'lost', crashed: false, violation});
      this.openForWaiting();
      return;
    }
    if (!this.options.protocol.timing.detectsCrashes) {
      attempt.finish({type: 'lost', crashed: false});
      this.openForWaiting();
      return;
    }
    void this.checkCrash().then(crashed => {
      attempt.finish({type: 'lost', crashed});
    });
    this.openForWaiting();
  }

  /** Requeues an attempt whose connection closed before a byte was written. */
  private requeueUnsent(attempt: Attempt): void {
    attempt.unsentFailureCount += 1;
    if (attempt.unsentFailureCount > MAX_UNSENT_FAILURES) {
      attempt.finish({type: 'unreachable'});
    } else {
      this.waitingAttempts.unshift(attempt);
    }
    this.openForWaiting();
  }

  /** Opens a connection to find out whether the target stopped listening. */
  private checkCrash(): Promise<boolean> {
    this.crashCheck ??= this.connectSocket().then(result => {
      this.crashCheck = undefined;
      if (result.type === 'failed') {
        return result.refused;
      }
      if (this.size < this.maxConnections) {
        this.addConnection(result.socket);
      } else {
        result.socket.destroy();
      }
      return false;
    });
    return this.crashCheck;
  }

  /**
   * Returns whether a connection that may be stale received nothing within the
   * attempt's silence limit although another one received a response after the
   * attempt was sent.
   */
  private isSilent(connection: TargetConnection, nowMs: InstantMs): boolean {
    const {attempt} = connection;
    const limitMs = attempt?.request.silenceLimitMs;
    const sentMs = attempt?.sentMs;
    if (attempt === undefined || limitMs === undefined || attempt.isFinished) {
      return false;
    }
    if (sentMs === undefined || nowMs - sentMs < limitMs) {
      return false;
    }
    return (
      connection.mayBeStale &&
      !connection.receivedSinceSend &&
      (this.lastResponseMs ?? -Infinity) > sentMs
    );
  }

  private failSilent(connection: TargetConnection, nowMs: InstantMs): void {
    const {attempt} = connection;
    this.drop(connection);
    // Other unproven connections may be silent for the same reason.
    for (const other of [...this.idleConnections]) {
      if (!other.isProven(nowMs, this.provenWindowMs)) {
        this.drop(other);
      }
    }
    attempt?.finish({type: 'lost', crashed: false, silent: true});
    this.openForWaiting();
  }

  private drop(connection: TargetConnection): void {
    this.remove(connection);
    connection.destroy();
  }

  private remove(connection: TargetConnection): void {
    this.connections.delete(connection);
    const position = this.idleConnections.indexOf(connection);
    if (position >= 0) {
      this.idleConnections.splice(position, 1);
    }
  }
}
