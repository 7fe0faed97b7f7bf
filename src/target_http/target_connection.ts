/**
 * One connection to a target, driven by one undici `Client`.
 *
 * The socket is opened here and handed to the client, so the client can
 * neither open a second one nor repeat a request on it. undici calls
 * `onRequestStart` right before it writes, which is the instant of `sent`.
 *
 * @packageDocumentation
 */
import type {Socket} from 'node:net';
import {Client, type Dispatcher, type buildConnector} from 'undici';
import type {InstantMs} from '../core/index.js';
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {Attempt} from './attempt.js';
import type {TargetProtocol} from './target_protocol.js';
import {TargetResponse} from './target_response.js';

/** Bodies up to this size are buffered whole; the rest is streamed. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/** A connection that waited this long before its first request is old. */
const OLD_CONNECTION_MS = 1_000;

/** Greatest size of a response head. */
const MAX_RESPONSE_HEAD_BYTES = 32 * 1024;

/** What a connection tells its pool. */
export interface ConnectionListener {
  /** The response ended and the connection can take another request. */
  onReleased(connection: TargetConnection): void;
  /** The connection is gone. Its open attempt, if any, is passed along. */
  onClosed(connection: TargetConnection, open: Attempt | undefined): void;
}

/** Options of {@link TargetConnection}. */
export interface ConnectionOptions {
  /** An established connection. */
  readonly socket: Socket;
  /** Origin such as `http://10.0.0.7:8080`. */
  readonly origin: string;
  readonly nowMs: () => InstantMs;
  readonly protocol: TargetProtocol;
  readonly listener: ConnectionListener;
}

/** A connection that carries one request at a time. */
export class TargetConnection {
  readonly openedMs: InstantMs;
  /** Instant of the last complete response; undefined before the first. */
  lastResponseMs: InstantMs | undefined;
  private readonly socket: Socket;
  private readonly client: Client;
  private readonly nowMs: () => InstantMs;
  private readonly protocol: TargetProtocol;
  private readonly listener: ConnectionListener;
  private current: Attempt | undefined;
  private streaming: TargetResponse | undefined;
  private closed = false;
  private broken = false;
  private gone = false;
  private progress = {bytesRead: 0, sinceMs: 0};
  private socketHandedOver = false;
  private bytesReadAtSend = 0;

  /** @param options - socket, origin, clock, protocol and listener */
  constructor(options: ConnectionOptions) {
    this.socket = options.socket;
    this.nowMs = options.nowMs;
    this.protocol = options.protocol;
    this.listener = options.listener;
    this.openedMs = options.nowMs();
    // Registered before undici's listeners, so the state is known first.
    this.socket.on('end', () => {
      this.checkEnd();
      this.onSocketClosed();
    });
    this.socket.on('error', () => {
      this.broken = true;
      this.onSocketClosed();
    });
    this.socket.on('close', () => this.onSocketClosed());
    this.client = this.createClient(options.origin);
  }

  /** False once the target closed the connection or it failed. */
  get usable(): boolean {
    return !this.closed && !this.socket.destroyed;
  }

  /** The attempt in flight. */
  get attempt(): Attempt | undefined {
    return this.current;
  }

  /**
   * True if the request in flight was sent on a connection that had proved
   * itself or waited before; a new one can at most have a slow target.
   */
  get isOld(): boolean {
    const sentMs = this.current?.sentMs ?? this.openedMs;
    return (
      this.lastResponseMs !== undefined ||
      sentMs - this.openedMs > OLD_CONNECTION_MS
    );
  }

  /** True if a byte arrived since the request in flight was sent. */
  get heardSinceSend(): boolean {
    return this.socket.bytesRead > this.bytesReadAtSend;
  }

  /**
   * Tells whether the connection is known to work.
   *
   * @param nowMs - current instant in milliseconds
   * @param windowMs - age up to which an opening or a response is proof
   * @returns true if it was opened or answered within the window
   */
  isProven(nowMs: InstantMs, windowMs: number): boolean {
    return nowMs - (this.lastResponseMs ?? this.openedMs) <= windowMs;
  }

  /**
   * Sends a request. The connection must be usable and idle.
   *
   * @param attempt - receives the signals
   * @param headers - headers of this sending, names and values in turn
   */
  send(attempt: Attempt, headers: string[]): void {
    this.current = attempt;
    const {method, path, body} = attempt.request;
    this.client.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body ?? null,
      },
      this.createHandler(attempt),
    );
  }

  /**
   * Tells for how long a streamed body has not moved on.
   *
   * @param nowMs - current instant in milliseconds
   * @returns milliseconds without a byte; 0 if no body is being streamed
   */
  stalledMs(nowMs: InstantMs): number {
    const {bytesRead} = this.socket;
    if (this.streaming === undefined || bytesRead > this.progress.bytesRead) {
      this.progress = {bytesRead, sinceMs: nowMs};
    }
    return nowMs - this.progress.sinceMs;
  }

  /** Closes the connection at once; the listener is not called. */
  destroy(): void {
    this.closed = true;
    this.gone = true;
    this.current = undefined;
    const streaming = this.streaming;
    this.streaming = undefined;
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
    streaming?.fail();
  }

  private createClient(origin: string): Client {
    const {idleTimeoutMs} = this.protocol.timing;
    return new Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
      // undici does not go on if the callback comes before the call returns.
      connect: (_options, callback) =>
        queueMicrotask(() => this.handOver(callback)),
    });
  }

  /** Gives the socket to the client, once. */
  private handOver(callback: buildConnector.Callback): void {
    if (this.socketHandedOver || !this.usable) {
      callback(new Error('connection to the target is closed'), null);
      return;
    }
    this.socketHandedOver = true;
    callback(null, this.socket);
  }

  private createHandler(attempt: Attempt): Dispatcher.DispatchHandler {
    let response: TargetResponse | undefined;
    return {
      onRequestStart: controller => {
        this.bytesReadAtSend = this.socket.bytesRead;
        if (!attempt.markSent(this.nowMs())) {
          controller.abort(new Error('cancelled before the first byte'));
        }
      },
      onResponseStart: (controller, status) => {
        if (status < 200) {
          return;
        }
        const headers = decodeHeaders(controller.rawHeaders);
        if (!this.protocol.accepts(attempt.request, status, headers)) {
          this.reportClosed();
          return;
        }
        response = new TargetResponse(attempt.request.token, status, headers, {
          pause: () => controller.pause(),
          resume: () => controller.resume(),
          abort: () => this.reportClosed(),
        });
      },
      onResponseData: (_controller, chunk) => {
        if (response !== undefined) {
          this.onBody(attempt, response, chunk);
        }
      },
      onResponseEnd: () => {
        // With the connection gone, only a body that the end of the connection
        // delimits can be whole.
        const whole =
          !this.closed ||
          (!this.broken &&
            response !== undefined &&
            isDelimitedByClose(attempt, response));
        // undici finishes its bookkeeping after this call returns.
        queueMicrotask(() => {
          if (whole) {
            this.onBodyEnd(attempt, response);
          } else {
            this.reportClosed();
          }
        });
      },
      onResponseError: () => this.onSocketClosed(),
    };
  }

  private onBody(
    attempt: Attempt,
    response: TargetResponse,
    chunk: Buffer,
  ): void {
    response.push(chunk, MAX_BUFFERED_BYTES);
    if (this.streaming === undefined && !attempt.done) {
      if (response.sizeBytes > MAX_BUFFERED_BYTES) {
        this.streaming = response;
        this.report(attempt, response);
      }
    }
  }

  private onBodyEnd(
    attempt: Attempt,
    response: TargetResponse | undefined,
  ): void {
    if (response === undefined || this.current !== attempt) {
      return;
    }
    this.lastResponseMs = this.nowMs();
    this.current = undefined;
    this.streaming = undefined;
    response.finish();
    this.release(response);
    this.report(attempt, response);
  }

  private release(response: TargetResponse): void {
    const option = String(response.headers['connection'] ?? '');
    if (!this.usable || /\bclose\b/i.test(option)) {
      this.reportClosed();
      return;
    }
    this.listener.onReleased(this);
  }

  private report(attempt: Attempt, response: TargetResponse): void {
    const {status, headers} = response;
    const carried = this.protocol.readReport(status, headers);
    attempt.finish({type: 'response', status, ...carried}, response);
  }

  /**
   * Tells a reset from an orderly end: where a reset follows the last bytes at
   * once, both are reported as `end`, but a connection that was reset has no
   * peer any more.
   */
  private checkEnd(): void {
    this.broken ||= this.socket.remoteAddress === undefined;
  }

  private onSocketClosed(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    // A response whose end is the end of the connection is reported by
    // undici in the same turn as `end`.
    setImmediate(() => this.reportClosed());
  }

  private reportClosed(): void {
    if (this.gone) {
      return;
    }
    const attempt = this.current;
    this.destroy();
    this.listener.onClosed(this, attempt?.done === true ? undefined : attempt);
  }
}

/**
 * Decodes header fields as latin1, as node:http writes them; undici's own
 * decoding as UTF-8 would change bytes above 0x7f.
 */
function decodeHeaders(
  rawHeaders: Dispatcher.DispatchController['rawHeaders'],
): HeaderFields {
  const fields: Record<string, string | string[]> = {};
  const flat = Array.isArray(rawHeaders) ? rawHeaders : [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    const name = flat[i]?.toString('latin1').toLowerCase() ?? '';
    const value = flat[i + 1]?.toString('latin1') ?? '';
    const known = fields[name];
    if (known === undefined) {
      fields[name] = value;
    } else {
      fields[name] = [known, value].flat();
    }
  }
  return fields;
}

/**
 * True if the end of the connection is the end of the body. Such a body cannot
 * be checked for truncation; the protocol defines it as whole.
 */
function isDelimitedByClose(
  attempt: Attempt,
  response: TargetResponse,
): boolean {
  const {headers} = response;
  return (
    attempt.request.method !== 'HEAD' &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}
