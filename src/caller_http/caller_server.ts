/**
 * HTTP server for callers.
 *
 * @packageDocumentation
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type AddressInfo, type Socket} from 'node:net';
import type {Clock, InstantMs} from '../core/index.js';
import type {CallerRequest, RequestOutcome} from '../engine/index.js';
import {MemoryBudget, memoryCapacityBytes} from '../memory/index.js';
import type {TargetResponse} from '../target_http/index.js';
import type {CallerConnection} from './caller_connection.js';
import {DEFAULT_MEMORY_MB, type CallerLimits} from './caller_limits.js';
import type {
  CallerProtocol,
  IdentifiedRequest,
  RequestBuilder,
} from './caller_protocol.js';
import {ConnectionTable} from './connection_table.js';
import {Exchange, writeRefusal, type RefusalFields} from './exchange.js';
import {
  formatParseRefusal,
  formatRefusal,
  notRunRefusal,
} from './early_refusal.js';
import {endToEndHeaders} from './hop_headers.js';
import {CostlyBodies, RequestBody, type BodyRefusal} from './request_body.js';
import {
  countUnread,
  StreamedAnswer,
  type UnreadAnswerOptions,
} from './unread_answer.js';

/** Interval at which node:http checks for requests that have timed out. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/**
 * Characters that node:http reads in a request target and the client towards
 * targets does not send. Such a request would fail at each target that it is
 * sent to, and the failures would be taken for those of the targets.
 */
const UNSENDABLE_TARGET = /[^\x21-\xff]/;

/**
 * Requests of one connection in progress at a time. Further ones are refused
 * with the close of the connection, so that a caller that reads no answers
 * cannot make the daemon hold any number of them.
 */
const MAX_PIPELINED_REQUESTS = 64;

/** Retry delay of requests that are refused for want of memory. */
const MEMORY_RETRY_SECONDS = 1;

/** Why a caller was refused or its connection closed to protect the process. */
export type ProtectionReason =
  BodyRefusal | 'too-many-connections' | 'too-many-pipelined' | 'answer-unread';

/** Receives the requests and disconnects of callers. */
export interface CallerListener<R extends IdentifiedRequest = CallerRequest> {
  onRequest(exchange: Exchange<R>): void;
  /** Called when a caller disconnects before its response is complete. */
  onCallerGone(requestId: string): void;
}

/** Options of {@link CallerServer}. */
export interface CallerServerOptions<R extends IdentifiedRequest> {
  readonly clock: Clock;
  readonly limits: CallerLimits;
  readonly protocol: CallerProtocol<R>;
  readonly listener: CallerListener<R>;
  /** Begin of the ids of requests; 'r' by default. */
  readonly requestIdPrefix?: string;
  /** Bytes held for callers; by default those of a small machine. */
  readonly budget?: MemoryBudget;
  /** Called for each refusal and close that protects the process. */
  readonly onProtected?: (reason: ProtectionReason, count: number) => void;
}

/**
 * Serves callers over HTTP. node:http keeps the responses to pipelined requests
 * in order; an {@link Exchange} binds each response to its request.
 *
 * @example
 * ```ts
 * const server = new CallerServer({clock, limits, protocol, listener});
 * const port = await server.listen({host: '127.0.0.1', port: 0});
 * ```
 */
export class CallerServer<R extends IdentifiedRequest = CallerRequest> {
  private readonly server: Server;
  private readonly exchanges = new Map<string, Exchange<R>>();
  private limits: CallerLimits;
  private readonly connections = new ConnectionTable();
  private readonly costlyBodies = new CostlyBodies();
  private readonly budget: MemoryBudget;
  private requestCount = 0;
  private lastConnectionMs = -Infinity;
  private isStopping = false;
  private isListening = true;

  /** @param options - clock, limits, protocol and listener */
  constructor(private readonly options: CallerServerOptions<R>) {
    const {limits} = options;
    this.limits = limits;
    this.budget =
      options.budget ??
      new MemoryBudget(memoryCapacityBytes(DEFAULT_MEMORY_MB));
    this.server = createServer({
      maxHeaderSize: limits.maxHeadBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requireHostHeader: false,
      noDelay: true,
    });
    this.server.on('connection', (socket: Socket) => this.onConnection(socket));
    this.server.on('request', (request, response) =>
      this.onHead(request, response, false),
    );
    this.server.on('checkContinue', (request, response) =>
      this.onHead(request, response, true),
    );
    this.server.on('checkExpectation', (request, response) => {
      const connection = this.accept(request, response);
      if (connection !== undefined) {
        const refusal = notRunRefusal(417, 'expectation-failed');
        this.refuseAndClose(connection, response, refusal);
      }
    });
    this.server.on('connect', (_request, socket: Socket) =>
      this.endUnreadable(
        socket,
        formatRefusal(501, 'Not Implemented', 'method-not-supported'),
      ),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.onClientError(error, socket as Socket),
    );
  }

  /** Instant at which a caller last connected. */
  get connectedMs(): InstantMs {
    return this.lastConnectionMs;
  }

  /** Number of requests whose response is not complete. */
  get openCount(): number {
    return this.exchanges.size;
  }

  /** Number of responses that were begun and not sent to their end. */
  get undeliveredCount(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      count += connection.undeliveredCount;
    }
    return count;
  }

  /**
   * Starts listening.
   *
   * @param address - host and port; port 0 for any free one
   * @returns the port
   * @throws the error of `listen`, for example when the port is in use
   */
  listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, 1024, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Finds a request whose response is not complete.
   *
   * @param requestId - id of the request
   * @returns the exchange, or undefined if the response is complete or the
   *     caller has disconnected
   */
  find(requestId: string): Exchange<R> | undefined {
    return this.exchanges.get(requestId);
  }

  /**
   * Responds to a request. If the caller has disconnected, discards the
   * response.
   *
   * @param requestId - id of the request
   * @param outcome - outcome decided by the engine
   * @param response - response to forward; if it is missing for an outcome of
   *     type `response`, the caller receives 502 with the verdict `ran`
   */
  respond(
    requestId: string,
    outcome: RequestOutcome,
    response: TargetResponse | undefined,
  ): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) {
      response?.discard();
      return;
    }
    if (outcome.type === 'refusal') {
      exchange.refuse(outcome);
    } else if (response !== undefined) {
      exchange.forward(response);
    } else {
      exchange.refuse({
        status: 502,
        verdict: 'ran',
        reason: 'connection-lost',
        retryAfterSeconds: undefined,
      });
    }
  }

  /**
   * Applies new limits to requests that arrive from now on. `maxHeadBytes` and
   * `maxConnections` keep their initial values.
   *
   * @param limits - new limits
   */
  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headTimeoutMs;
    this.server.requestTimeout = limits.requestTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes each connection after a response that has no request behind it. */
  beginDrain(): void {
    this.isStopping = true;
  }

  /**
   * Stops accepting connections. Open ones are kept, since a request may be in
   * transit on each. A connection that carries requests closes after the
   * response to the last one that was read, also if others follow it.
   */
  stopListening(): void {
    this.isStopping = true;
    this.isListening = false;
    // `close` of node:http would also close connections whose request has
    // arrived but has not been read yet.
    NetServer.prototype.close.call(this.server);
  }

  /**
   * Closes connections that carry no part of a request or response. node:http
   * would also close those whose response has been handed over but not sent.
   */
  closeIdle(): void {
    for (const {isIdle, socket} of [...this.connections.values()]) {
      if (isIdle) {
        socket.destroy();
      }
    }
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.stopListening();
    this.server.closeAllConnections();
  }

  private onConnection(socket: Socket): void {
    this.lastConnectionMs = this.options.clock.nowMs();
    const connection = this.connections.add(socket);
    socket.on('close', () => {
      this.connections.delete(socket);
      connection.onSocketClosed();
      for (const requestId of connection.requestIds) {
        this.exchanges.delete(requestId);
        this.options.listener.onCallerGone(requestId);
      }
    });
    const closedCount = this.connections.trim(this.limits.maxConnections);
    if (closedCount > 0) {
      this.options.onProtected?.('too-many-connections', closedCount);
    }
  }

  private onHead(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const connection = this.accept(request, response);
    if (connection === undefined) {
      return;
    }
    if (connection.requestIds.size >= MAX_PIPELINED_REQUESTS) {
      this.refuseProtected(connection, response, 'too-many-pipelined', 503);
      return;
    }
    const {maxBodyBytes} = this.limits;
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      const refusal = notRunRefusal(413, 'body-too-large');
      this.refuseAndClose(connection, response, refusal);
      return;
    }
    if (UNSENDABLE_TARGET.test(request.url ?? '')) {
      this.refuseAndClose(connection, response, {
        ...notRunRefusal(400, 'bad-request'),
        message: 'request target: expected no control characters',
      });
      return;
    }
    const parsed = this.options.protocol.readHead({
      method: (request.method ?? 'GET').toUpperCase(),
      target: request.url ?? '',
      headers: request.headers,
      arrivedMs: this.options.clock.nowMs(),
      callerAddress: request.socket.remoteAddress ?? '',
    });
    if (parsed.isErr()) {
      const {message} = parsed.error;
      const refusal = {...notRunRefusal(400, 'bad-request'), message};
      if (hasBody(request)) {
        this.refuseAndClose(connection, response, refusal);
      } else {
        connection.markRead();
        this.beforeHead(connection, response);
        writeRefusal(response, refusal);
      }
      return;
    }
    if (expectsContinue) {
      response.writeContinue();
    }
    if (!hasBody(request)) {
      request.resume();
      this.onBody({connection, request, response, build: parsed.value});
      return;
    }
    const {clock} = this.options;
    const {budget, costlyBodies} = this;
    const holder = new RequestBody({
      request,
      clock,
      budget,
      costlyBodies,
      maxBytes: () => this.limits.maxBodyBytes,
      listener: {
        onComplete: body =>
          this.onBody({
            connection,
            request,
            response,
            build: parsed.value,
            body,
            holder,
          }),
        onRefused: reason => {
          const status = reason === 'body-too-large' ? 413 : 503;
          this.refuseProtected(connection, response, reason, status);
        },
      },
    });
  }

  /**
   * Accepts a request whose head was read.
   *
   * @returns its connection; undefined if no response to it can be sent
   */
  private accept(
    request: IncomingMessage,
    response: ServerResponse,
  ): CallerConnection | undefined {
    // A reset by the caller is handled on `close` of the socket.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const connection = this.connections.get(request.socket);
    if (connection?.accept(response) === true) {
      return connection;
    }
    // Unread bytes would turn the close of the connection into a reset.
    request.resume();
    return undefined;
  }

  /** Decides whether the connection closes after a response. */
  private beforeHead(
    connection: CallerConnection,
    response: ServerResponse,
  ): void {
    const isLast = connection.isLast(response);
    if (this.isStopping && (isLast || !this.isListening)) {
      connection.closeAfterLast();
    }
  }

  /** Refuses a request that was not read to its end, and closes. */
  private refuseProtected(
    connection: CallerConnection,
    response: ServerResponse,
    reason: ProtectionReason,
    status: 413 | 503,
  ): void {
    this.options.onProtected?.(reason, 1);
    if (response.headersSent) {
      return;
    }
    this.refuseAndClose(connection, response, {
      ...notRunRefusal(status, reason),
      retryAfterSeconds: status === 503 ? MEMORY_RETRY_SECONDS : undefined,
    });
  }

  /** Refuses the last request that was accepted, and closes. */
  private refuseAndClose(
    connection: CallerConnection,
    response: ServerResponse,
    refusal: RefusalFields,
  ): void {
    connection.closeAfterLast();
    writeRefusal(response, refusal);
  }

  private onBody(parts: RequestParts<R>): void {
    const {connection, request, response, body, holder} = parts;
    const {socket} = connection;
    const {protocol} = this.options;
    const release = (): void => holder?.release();
    connection.markRead();
    if (this.connections.get(socket) === undefined || socket.destroyed) {
      release();
      return;
    }
    const prefix = this.options.requestIdPrefix ?? 'r';
    const requestId = `${prefix}${++this.requestCount}`;
    const exchange = new Exchange(
      parts.build({requestId, body}),
      endToEndHeaders(request.headers, protocol.requestHeadersDropped),
      body !== undefined && body.length > 0 ? body : undefined,
      response,
      {
        beforeHead: () => this.beforeHead(connection, response),
        onResponded: () => this.onResponded(requestId, connection),
        holdAnswer: sizeBytes =>
          countUnread(response, sizeBytes, this.unreadOptions()),
        streamAnswer: () => new StreamedAnswer(response, this.unreadOptions()),
      },
      protocol,
    );
    // Until the caller is answered or has disconnected.
    response.once('close', release);
    this.connections.addRequest(connection, requestId);
    this.exchanges.set(requestId, exchange);
    this.options.listener.onRequest(exchange);
  }

  private unreadOptions(): UnreadAnswerOptions {
    const {clock, onProtected} = this.options;
    const onEvicted = (): void => onProtected?.('answer-unread', 1);
    return {budget: this.budget, clock, onEvicted};
  }

  private onResponded(requestId: string, connection: CallerConnection): void {
    this.exchanges.delete(requestId);
    connection.requestIds.delete(requestId);
  }

  private onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    connection?.abandonUnread();
    const isFailed = error.code === 'ECONNRESET' || !socket.writable;
    if (isFailed && (connection?.dueCount ?? 0) === 0) {
      socket.destroy();
      return;
    }
    this.endUnreadable(socket, formatParseRefusal(error.code));
  }

  /**
   * Ends a connection of which nothing more can be read. The refusal is sent only
   * if no response is due: the caller would take it for that one.
   */
  private endUnreadable(socket: Socket, refusal: string): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined && connection.dueCount > 0) {
      connection.closeAfterLast();
      return;
    }
    socket.end(refusal, () => socket.destroy());
  }
}

/** Parts of a request whose body was read. */
interface RequestParts<R> {
  readonly connection: CallerConnection;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly build: RequestBuilder<R>;
  readonly body?: Buffer;
  /** Holds the body against the budget. */
  readonly holder?: RequestBody;
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  const length = Number(headers['content-length'] ?? 0);
  return length > 0 || headers['transfer-encoding'] !== undefined;
}
