/**
 * Connections to one target.
 *
 * @packageDocumentation
 */
import {connect, type Socket} from 'node:net';
import type {InstantMs} from '../core/index.js';
import type {Attempt} from './attempt.js';
import {TargetConnection} from './target_connection.js';
import type {TargetProtocol} from './target_protocol.js';

/** A streamed body that does not move on for this time is given up. */
const STALLED_BODY_LIMIT_MS = 30_000;

/**
 * Connections that may close before the first byte of an attempt was written.
 * Bounds the loop when a target accepts and closes each connection.
 */
const MAX_UNSENT_FAILURES = 3;

/** How an attempt to connect ended. */
type ConnectResult =
  | {readonly type: 'connected'; readonly socket: Socket}
  | {readonly type: 'failed'; readonly refused: boolean};

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  readonly host: string;
  readonly port: number;
  readonly nowMs: () => InstantMs;
  readonly protocol: TargetProtocol;
}

/**
 * Opens, reuses and fails the connections to one target. Attempts that find
 * neither an idle connection nor room for a new one wait in order of arrival.
 */
export class ConnectionPool {
  private readonly origin: string;
  private readonly connections = new Set<TargetConnection>();
  private readonly idle: TargetConnection[] = [];
  private readonly waiting: Attempt[] = [];
  private connecting = 0;
  private maxConnections = 1;
  private lastResponseMs: InstantMs | undefined;
  private crashTest: Promise<boolean> | undefined;
  private lastUsedMs: InstantMs;

  /** @param options - address, clock and protocol */
  constructor(private readonly options: ConnectionPoolOptions) {
    const host = options.host.includes(':')
      ? `[${options.host}]`
      : options.host;
    this.origin = `http://${host}:${options.port}`;
    this.lastUsedMs = options.nowMs();
  }

  /** Number of connections, those being opened included. */
  get size(): number {
    return this.connections.size + this.connecting;
  }

  private get provenWindowMs(): number {
    return this.options.protocol.timing.provenWindowMs;
  }

  /** Instant of the last send. */
  get usedMs(): InstantMs {
    return this.lastUsedMs;
  }

  /**
   * Sends an attempt as soon as a fitting connection is there.
   *
   * @param attempt - attempt to send
   * @param maxConnections - greatest number of connections to the target
   */
  submit(attempt: Attempt, maxConnections: number): void {
    this.maxConnections = Math.max(1, maxConnections);
    this.lastUsedMs = this.options.nowMs();
    const connection = this.takeIdle(attempt.request.freshness);
    if (connection !== undefined) {
      this.start(connection, attempt);
      return;
    }
    this.waiting.push(attempt);
    this.openForWaiting();
  }

  /**
   * Cancels an attempt. One that was sent loses its connection.
   *
   * @param attempt - attempt to cancel
   */
  cancel(attempt: Attempt): void {
    const position = this.waiting.indexOf(attempt);
    if (position >= 0) {
      this.waiting.splice(position, 1);
    }
    const bytesSent = attempt.sentMs !== undefined;
    for (const connection of this.connections) {
      if (connection.attempt === attempt && !attempt.done) {
        this.drop(connection);
      }
    }
    attempt.finish({type: 'cancelled', bytesSent});
    this.openForWaiting();
  }

  /**
   * Fails connections that are silent while others answer, and streamed bodies
   * that no longer move.
   *
   * @param nowMs - current instant in milliseconds
   */
  tick(nowMs: InstantMs): void {
    for (const connection of [...this.connections]) {
      if (this.isSilent(connection, nowMs)) {
        this.failSilent(connection, nowMs);
      } else if (connection.stalledMs(nowMs) > STALLED_BODY_LIMIT_MS) {
        this.drop(connection);
      }
    }
  }

  /** Closes all connections; open attempts are reported as lost. */
  destroy(): void {
    for (const connection of [...this.connections]) {
      const {attempt} = connection;
      this.drop(connection);
      attempt?.finish({type: 'lost', crashed: false});
    }
    for (const attempt of this.waiting.splice(0)) {
      attempt.finish({type: 'cancelled', bytesSent: false});
    }
  }

  /** Takes the idle connection that answered last, if it is fresh enough. */
  private takeIdle(freshness: 'any' | 'proven'): TargetConnection | undefined {
    const nowMs = this.options.nowMs();
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i];
      if (connection === undefined || !connection.usable) {
        continue;
      }
      if (
        freshness === 'any' ||
        connection.isProven(nowMs, this.provenWindowMs)
      ) {
        this.idle.splice(i, 1);
        return connection;
      }
    }
    return undefined;
  }

  /** Opens connections for waiting attempts as far as the limit allows. */
  private openForWaiting(): void {
    while (this.connecting < this.waiting.length) {
      if (this.size >= this.maxConnections) {
        // Waiting attempts could not use the idle ones: those are too old.
        const oldest = this.idle[0];
        if (oldest === undefined) {
          return;
        }
        this.drop(oldest);
      }
      this.open();
    }
  }

  private open(): void {
    this.connecting += 1;
    void this.connectSocket().then(result => {
      this.connecting -= 1;
      if (result.type === 'connected') {
        this.addConnection(result.socket);
      } else {
        this.waiting.shift()?.finish({type: 'unreachable'});
      }
      this.openForWaiting();
    });
  }

  private connectSocket(): Promise<ConnectResult> {
    return new Promise(resolve => {
      const {host, port, protocol} = this.options;
      // Half-open, so that the connection can be looked at after its end.
      const socket = connect({
        host,
        port,
        noDelay: true,
        allowHalfOpen: true,
      });
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
        // Until the connection takes over, an error must not end the process.
        socket.on('error', () => undefined);
        socket.off('error', onError);
        resolve({type: 'connected', socket});
      });
    });
  }

  /** Puts a new connection to use. */
  private addConnection(socket: Socket): void {
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
        onClosed: (closed, open) => this.onClosed(closed, open),
      },
    });
    this.connections.add(connection);
    this.assign(connection, false);
  }

  /** Gives a free connection to the next waiting attempt or keeps it idle. */
  private assign(connection: TargetConnection, answered: boolean): void {
    if (answered) {
      this.lastResponseMs = connection.lastResponseMs;
    }
    const attempt = this.waiting.shift();
    if (attempt === undefined) {
      this.idle.push(connection);
      return;
    }
    this.start(connection, attempt);
  }

  private start(connection: TargetConnection, attempt: Attempt): void {
    const remainingMs = attempt.request.deadlineMs - this.options.nowMs();
    if (remainingMs <= 0) {
      // The deadline passed while the attempt waited: it must not be sent.
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
    open: Attempt | undefined,
  ): void {
    this.forget(connection);
    if (open === undefined || open.done) {
      this.openForWaiting();
      return;
    }
    if (open.sentMs === undefined) {
      this.resubmitUnsent(open);
      return;
    }
    if (!this.options.protocol.timing.testsCrashes) {
      open.finish({type: 'lost', crashed: false});
      this.openForWaiting();
      return;
    }
    void this.testCrash().then(crashed => {
      open.finish({type: 'lost', crashed});
    });
    this.openForWaiting();
  }

  /** Nothing was written: the attempt takes another connection. */
  private resubmitUnsent(attempt: Attempt): void {
    attempt.unsentFailureCount += 1;
    if (attempt.unsentFailureCount > MAX_UNSENT_FAILURES) {
      attempt.finish({type: 'unreachable'});
    } else {
      this.waiting.unshift(attempt);
    }
    this.openForWaiting();
  }

  /** Asks with a new connection whether the target is still listening. */
  private testCrash(): Promise<boolean> {
    this.crashTest ??= this.connectSocket().then(result => {
      this.crashTest = undefined;
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
    return this.crashTest;
  }

  /**
   * True if an old connection gave no byte for the attempt's limit while
   * another one answered later than the send.
   */
  private isSilent(connection: TargetConnection, nowMs: InstantMs): boolean {
    const {attempt} = connection;
    const limitMs = attempt?.request.silenceLimitMs;
    const sentMs = attempt?.sentMs;
    if (attempt === undefined || limitMs === undefined || attempt.done) {
      return false;
    }
    if (sentMs === undefined || nowMs - sentMs < limitMs) {
      return false;
    }
    return (
      connection.isOld &&
      !connection.heardSinceSend &&
      (this.lastResponseMs ?? -Infinity) > sentMs
    );
  }

  private failSilent(connection: TargetConnection, nowMs: InstantMs): void {
    const {attempt} = connection;
    this.drop(connection);
    // Other connections of the same age may have gone silent as well.
    for (const other of [...this.idle]) {
      if (!other.isProven(nowMs, this.provenWindowMs)) {
        this.drop(other);
      }
    }
    attempt?.finish({type: 'lost', crashed: false, silent: true});
    this.openForWaiting();
  }

  private drop(connection: TargetConnection): void {
    this.forget(connection);
    connection.destroy();
  }

  private forget(connection: TargetConnection): void {
    this.connections.delete(connection);
    const position = this.idle.indexOf(connection);
    if (position >= 0) {
      this.idle.splice(position, 1);
    }
  }
}
