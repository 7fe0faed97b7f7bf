/**
 * Connection to a target, driven by one undici `Client`.
 *
 * The client receives an open socket, so it can neither open a second one nor
 * repeat a request on it. undici calls `onRequestStart` right before it writes,
 * which is the instant of `sent`.
 *
 * @packageDocumentation
 */
import {Client, type Dispatcher, type buildConnector} from 'undici';
import type {InstantMs} from '../core/index.js';
import type {ResponseViolation} from '../engine/index.js';
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {Attempt} from './attempt.js';
import type {PausableSocket} from './pausable_socket.js';
import type {TargetProtocol} from './target_protocol.js';
import {TargetResponse} from './target_response.js';

/** Largest body that is buffered completely; larger ones are streamed. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Time before its first request after which a connection may be stale. */
const STALE_AFTER_IDLE_MS = 1_000;

/** Maximum size of a response head. */
const MAX_RESPONSE_HEAD_BYTES = 32 * 1024;

/** Most bytes before the end of a final head, informational ones included. */
const MAX_BYTES_BEFORE_BODY = 64 * 1024;

/** Most informational responses before a final one. */
const MAX_INFORMATIONAL_COUNT = 16;

/**
 * Most bytes of chunk framing in a body: a fixed part, and a part for each byte
 * of the body, since a chunk of one byte is framed by five.
 */
const MAX_FRAMING_BYTES = 64 * 1024;
const MAX_FRAMING_PER_BODY_BYTE = 8;

/** Time after its deadline for which a body may still be streamed. */
const MAX_BODY_OVERTIME_MS = 30_000;

/** Receives the events of a connection. */
export interface ConnectionListener {
  /** Called when the response is complete and the connection is free again. */
  onReleased(connection: TargetConnection): void;
  /** Called when the connection closed, with its unfinished attempt, if any. */
  onClosed(connection: TargetConnection, attempt: Attempt | undefined): void;
}

/** Options of {@link TargetConnection}. */
export interface ConnectionOptions {
  /** An established connection. */
  readonly socket: PausableSocket;
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
  private readonly socket: PausableSocket;
  private readonly client: Client;
  private readonly nowMs: () => InstantMs;
  private readonly protocol: TargetProtocol;
  private readonly listener: ConnectionListener;
  private currentAttempt: Attempt | undefined;
  private streamedResponse: TargetResponse | undefined;
  private isClosed = false;
  private hasFailed = false;
  private isDestroyed = false;
  private progress = {bytesRead: 0, sinceMs: 0};
  private isSocketProvided = false;
  private bytesReadAtSend = 0;
  private bytesReadAtRelease = 0;
  private requestCount = 0;
  private response: TargetResponse | undefined;
  private firstViolation: ResponseViolation | undefined;

  /** @param options - socket, origin, clock, protocol and listener */
  constructor(options: ConnectionOptions) {
    this.socket = options.socket;
    this.nowMs = options.nowMs;
    this.protocol = options.protocol;
    this.listener = options.listener;
    this.openedMs = options.nowMs();
    // Registered before undici's listeners, so that the state is already
    // updated when those run.
    this.socket.on('end', () => {
      this.detectReset();
      this.onSocketClosed();
    });
    this.socket.on('error', () => {
      this.hasFailed = true;
      this.onSocketClosed();
    });
    this.socket.on('close', () => this.onSocketClosed());
    this.client = this.createClient(options.origin);
  }

  /** Whether the connection has neither failed nor been closed. */
  get isUsable(): boolean {
    return !this.isClosed && !this.socket.destroyed;
  }

  /** First violation of the protocol by the target; undefined for none. */
  get violation(): ResponseViolation | undefined {
    return this.firstViolation;
  }

  /** The attempt in flight. */
  get attempt(): Attempt | undefined {
    return this.currentAttempt;
  }

  /**
   * Whether the request in flight was sent on a connection that had received a
   * response or been idle for over {@link STALE_AFTER_IDLE_MS}. On a new one,
   * silence can only mean that the target is slow.
   */
  get mayBeStale(): boolean {
    const sentMs = this.currentAttempt?.sentMs ?? this.openedMs;
    return (
      this.lastResponseMs !== undefined ||
      sentMs - this.openedMs > STALE_AFTER_IDLE_MS
    );
  }

  /** Whether a byte arrived since the request in flight was sent. */
  get receivedSinceSend(): boolean {
    return this.socket.bytesRead > this.bytesReadAtSend;
  }

  /**
   * Returns whether the connection recently proved to work.
   *
   * @param nowMs - current instant in milliseconds
   * @param windowMs - maximum age of the proof in milliseconds
   * @returns true if the last response, or else the opening of the connection,
   *     is within the window
   */
  isProven(nowMs: InstantMs, windowMs: number): boolean {
    return nowMs - (this.lastResponseMs ?? this.openedMs) <= windowMs;
  }

  /**
   * Sends a request. The connection must be usable and idle.
   *
   * @param attempt - receives the signals
   * @param headers - headers of this attempt, alternating names and values
   */
  send(attempt: Attempt, headers: string[]): void {
    this.currentAttempt = attempt;
    this.response = undefined;
    this.requestCount += 1;
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
   * Returns the time since a streamed body last made progress.
   *
   * @param nowMs - current instant in milliseconds
   * @returns milliseconds without a byte; 0 if no body is being streamed
   */
  stalledMs(nowMs: InstantMs): number {
    const {bytesRead} = this.socket;
    if (
      this.streamedResponse === undefined ||
      bytesRead > this.progress.bytesRead
    ) {
      this.progress = {bytesRead, sinceMs: nowMs};
    }
    return nowMs - this.progress.sinceMs;
  }

  /**
   * Returns whether a body is streamed for too long after the deadline of its
   * request. Such a body has no end that its caller would wait for.
   *
   * @param nowMs - current instant in milliseconds
   */
  isOverdue(nowMs: InstantMs): boolean {
    return (
      this.streamedResponse !== undefined &&
      this.currentAttempt !== undefined &&
      nowMs > this.currentAttempt.request.deadlineMs + MAX_BODY_OVERTIME_MS
    );
  }

  /** Closes the connection at once without calling the listener. */
  destroy(): void {
    this.isClosed = true;
    this.isDestroyed = true;
    this.currentAttempt = undefined;
    const streamedResponse = this.streamedResponse;
    this.streamedResponse = undefined;
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
    streamedResponse?.fail();
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
      // undici stalls if the callback is called synchronously.
      connect: (_options, callback) =>
        queueMicrotask(() => this.provideSocket(callback)),
    });
  }

  /** Passes the socket to the client, once. */
  private provideSocket(callback: buildConnector.Callback): void {
    if (this.isSocketProvided || !this.isUsable) {
      callback(new Error('connection to the target is closed'), null);
      return;
    }
    this.isSocketProvided = true;
    callback(null, this.socket);
  }

  private createHandler(attempt: Attempt): Dispatcher.DispatchHandler {
    let response: TargetResponse | undefined;
    let informationalCount = 0;
    return {
      onRequestStart: controller => {
        this.bytesReadAtSend = this.socket.bytesRead;
        if (this.bytesReadAtSend > this.bytesReadAtRelease) {
          this.firstViolation ??= 'unsolicited';
          controller.abort(new Error('bytes before the request'));
          return;
        }
        this.watchBytes();
        if (!attempt.markSent(this.nowMs())) {
          controller.abort(new Error('cancelled before the first byte'));
        }
      },
      onResponseStart: (controller, status) => {
        if (status < 200) {
          informationalCount += 1;
          if (informationalCount > MAX_INFORMATIONAL_COUNT) {
            this.reportViolation('endless-informational');
          }
          return;
        }
        const headers = decodeHeaders(controller.rawHeaders);
        const isFirstOnConnection = this.requestCount === 1;
        const head = {status, headers, isFirstOnConnection};
        if (!this.protocol.accepts(attempt.request, head)) {
          this.reportViolation('foreign');
          return;
        }
        response = new TargetResponse(attempt.request.token, status, headers, {
          pause: () => this.socket.pauseReading(),
          resume: () => this.socket.resumeReading(),
          abort: () => this.reportClosed(),
        });
        this.response = response;
      },
      onResponseData: (_controller, chunk) => {
        if (response !== undefined) {
          this.onBodyChunk(attempt, response, chunk);
        }
      },
      onResponseEnd: () => {
        // Once the connection is closed, only a body that is delimited by the
        // close can be complete.
        const isComplete =
          !this.isClosed ||
          (!this.hasFailed &&
            response !== undefined &&
            isDelimitedByClose(attempt, response));
        // undici updates its own state after this call returns.
        queueMicrotask(() => {
          if (isComplete) {
            this.onBodyEnd(attempt, response);
          } else {
            this.reportClosed();
          }
        });
      },
      onResponseError: () => this.onSocketClosed(),
    };
  }

  private onBodyChunk(
    attempt: Attempt,
    response: TargetResponse,
    chunk: Buffer,
  ): void {
    response.push(chunk, MAX_BUFFERED_BYTES);
    if (this.streamedResponse === undefined && !attempt.isFinished) {
      if (response.sizeBytes > MAX_BUFFERED_BYTES) {
        this.streamedResponse = response;
        this.reportResponse(attempt, response);
      }
    }
  }

  private onBodyEnd(
    attempt: Attempt,
    response: TargetResponse | undefined,
  ): void {
    if (response === undefined || this.currentAttempt !== attempt) {
      return;
    }
    this.lastResponseMs = this.nowMs();
    this.currentAttempt = undefined;
    this.streamedResponse = undefined;
    response.finish();
    this.release(response);
    this.reportResponse(attempt, response);
  }

  private release(response: TargetResponse): void {
    const {headers} = response;
    const announcesClose = /\bclose\b/i.test(String(headers['connection']));
    if (
      !this.isUsable ||
      announcesClose ||
      !this.protocol.allowsReuse(headers)
    ) {
      this.reportClosed();
      return;
    }
    this.bytesReadAtRelease = this.socket.bytesRead;
    this.listener.onReleased(this);
  }

  private reportResponse(attempt: Attempt, response: TargetResponse): void {
    const {status, headers} = response;
    const report = this.protocol.readReport(status, headers);
    attempt.finish({type: 'response', status, ...report}, response);
  }

  /**
   * Bounds the bytes that are no response. The parser skips some of them without
   * a callback, for example blank lines before a head and chunk extensions. It
   * has registered its own listener before, so each chunk has been parsed here.
   */
  private watchBytes(): void {
    if (this.requestCount === 1) {
      this.socket.on('readable', () => this.checkBytes());
    }
  }

  private checkBytes(): void {
    const {bytesRead} = this.socket;
    if (this.currentAttempt === undefined) {
      if (bytesRead > this.bytesReadAtRelease) {
        this.reportViolation('unsolicited');
      }
      return;
    }
    const receivedBytes = bytesRead - this.bytesReadAtSend;
    if (this.response === undefined) {
      if (receivedBytes > MAX_BYTES_BEFORE_BODY) {
        this.reportViolation('endless-head');
      }
      return;
    }
    const {receivedBodyBytes} = this.response;
    const maxBytes =
      MAX_BYTES_BEFORE_BODY +
      MAX_FRAMING_BYTES +
      receivedBodyBytes * (1 + MAX_FRAMING_PER_BODY_BYTE);
    if (receivedBytes > maxBytes) {
      this.reportViolation('endless-framing');
    }
  }

  private reportViolation(violation: ResponseViolation): void {
    this.firstViolation ??= violation;
    this.reportClosed();
  }

  /**
   * Distinguishes a reset from an orderly end. A reset right after the last
   * bytes is reported as `end` too, but a socket that was reset no longer has a
   * remote address.
   */
  private detectReset(): void {
    this.hasFailed ||= this.socket.remoteAddress === undefined;
  }

  private onSocketClosed(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    // undici reports a response that is delimited by the close in the same turn
    // of the event loop as `end`.
    setImmediate(() => this.reportClosed());
  }

  private reportClosed(): void {
    if (this.isDestroyed) {
      return;
    }
    const attempt = this.currentAttempt;
    this.destroy();
    this.listener.onClosed(
      this,
      attempt?.isFinished === true ? undefined : attempt,
    );
  }
}

/**
 * Decodes header fields as latin1, which node:http writes. undici decodes them as
 * UTF-8, which would change bytes above 0x7f.
 */
function decodeHeaders(
  rawHeaders: Dispatcher.DispatchController['rawHeaders'],
): HeaderFields {
  const fields: Record<string, string | string[]> = {};
  const rawFields = Array.isArray(rawHeaders) ? rawHeaders : [];
  for (let i = 0; i + 1 < rawFields.length; i += 2) {
    const name = rawFields[i]?.toString('latin1').toLowerCase() ?? '';
    const value = rawFields[i + 1]?.toString('latin1') ?? '';
    const existing = fields[name];
    if (existing === undefined) {
      fields[name] = value;
    } else {
      fields[name] = [existing, value].flat();
    }
  }
  return fields;
}

/**
 * Returns whether a body is delimited by the close of its connection.
 * Truncation of such a body cannot be detected; HTTP defines it as complete.
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
