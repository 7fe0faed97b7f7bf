/**
 * Stand-in for a target, with slots, a queue, load reports and injected faults.
 *
 * @packageDocumentation
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {RandomSource} from '../core/index.js';
import {ServiceTimes} from './service_times.js';
import type {LedgerRequest, TargetLedger} from './target_ledger.js';
import type {TargetSettings, TargetSpec} from './target_settings.js';

/**
 * Way in which a draining target announces it. `header`: responses carry the
 * header `x-target-draining`; `refusal`: new requests are refused with that
 * header; `load`: the load endpoint reports it.
 */
export type DrainSign = 'header' | 'refusal' | 'load';

/** Faults that tests inject. */
export interface TargetFaults {
  /** Respond to requests with 500 without running them. */
  failFast: boolean;
  /** Refuse requests with 503 without running them. */
  refuseAll: boolean;
  /** Close connections before `content-length` bytes of a response are sent. */
  truncate: boolean;
  /**
   * Ways in which the target announces that it is draining; empty if it is not.
   */
  drainSigns: readonly DrainSign[];
  /** Load to report instead of the actual one. */
  loadOverride: number | undefined;
  /** Factor on service times. */
  slowFactor: number;
}

/** Settings without faults. */
export const NO_FAULTS: Readonly<TargetFaults> = {
  failFast: false,
  refuseAll: false,
  truncate: false,
  drainSigns: [],
  loadOverride: undefined,
  slowFactor: 1,
};

/** Options of {@link TargetStandin}. */
export interface TargetStandinOptions {
  readonly spec: TargetSpec;
  readonly settings: TargetSettings;
  readonly random: RandomSource;
  readonly ledger: TargetLedger;
}

/** Request that is queued or running. */
interface Job {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
  readonly deadlineMs: number;
  timer: NodeJS.Timeout | undefined;
  isCancelled: boolean;
}

/** Target stand-in that listens on its own port. */
export class TargetStandin {
  readonly faults: TargetFaults = {...NO_FAULTS};
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly silentSockets = new WeakSet<Socket>();
  private readonly queue: Job[] = [];
  private readonly running = new Set<Job>();
  private readonly serviceTimes: ServiceTimes;
  private loadSample = {value: 0, sampledMs: 0};

  /** @param options - settings, random source and ledger of the target */
  constructor(private readonly options: TargetStandinOptions) {
    this.serviceTimes = new ServiceTimes(options);
  }

  /** Id of the target. */
  get id(): string {
    return this.options.spec.id;
  }

  /**
   * Starts listening.
   *
   * @returns the port
   */
  async start(): Promise<number> {
    const server = createServer({keepAliveTimeout: 60_000});
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    server.on('request', (request, response) => {
      this.onRequest(request, response);
    });
    this.serviceTimes.recordStart(performance.now());
    this.server = server;
    const {host, port} = this.options.spec;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, 1024, resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /**
   * Stops listening and resets all connections, like a killed process. Restarts
   * after `restartAfterMs` unless it is 0.
   */
  crash(): void {
    this.server?.close();
    this.server = undefined;
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    this.cancelAllJobs();
    this.options.ledger.recordCrash(this.id);
    const {restartAfterMs} = this.options.settings;
    if (restartAfterMs > 0) {
      setTimeout(() => {
        this.start().catch((error: unknown) => {
          process.stderr.write(`target: ${this.id} not restarted: ${error}\n`);
        });
      }, restartAfterMs);
    }
  }

  /** Stops responding on all open connections; new connections work. */
  silenceConnections(): void {
    for (const socket of this.sockets) {
      this.silentSockets.add(socket);
    }
  }

  /** Stops permanently. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.cancelAllJobs();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (!this.silentSockets.has(request.socket)) {
        this.handleRequest(
          request,
          response,
          Buffer.concat(chunks).toString('utf8'),
        );
      }
    });
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    if (request.url === '/load' || request.url === '/health') {
      this.respondLoad(response);
      return;
    }
    if (request.headers['x-poison'] !== undefined) {
      this.options.ledger.recordArrival(this.id, toLedgerRequest(request));
      this.options.ledger.recordRun(this.id, toLedgerRequest(request));
      this.crash();
      return;
    }
    this.options.ledger.recordArrival(this.id, toLedgerRequest(request));
    const {faults} = this;
    if (faults.failFast) {
      this.respond(response, 500, {error: 'fails fast'});
      return;
    }
    if (faults.refuseAll || this.showsDrainSign('refusal') || this.isFull()) {
      this.refuse(response);
      return;
    }
    this.enqueue(request, response, body);
  }

  private isFull(): boolean {
    const {slots, onFull, queueLimit} = this.options.spec;
    const limit = onFull === 'queue' ? slots + queueLimit : slots;
    return this.running.size + this.queue.length >= limit;
  }

  private enqueue(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const timeoutMs = Number(request.headers['x-timeout-ms'] ?? 60_000);
    const job: Job = {
      request,
      response,
      body,
      deadlineMs: performance.now() + timeoutMs,
      timer: undefined,
      isCancelled: false,
    };
    response.on('close', () => this.onResponseClosed(job));
    this.queue.push(job);
    this.startNext();
  }

  private startNext(): void {
    while (this.running.size < this.options.spec.slots) {
      const job = this.queue.shift();
      if (job === undefined) {
        return;
      }
      if (job.isCancelled) {
        continue;
      }
      if (performance.now() > job.deadlineMs) {
        // The deadline passed while the request was queued, so it did not run.
        this.refuse(job.response);
        continue;
      }
      this.run(job);
    }
  }

  private run(job: Job): void {
    this.running.add(job);
    this.options.ledger.recordRun(this.id, toLedgerRequest(job.request));
    const {method, url} = job.request;
    const serviceMs =
      this.serviceTimes.draw(method, url, performance.now()) *
      this.faults.slowFactor;
    job.timer = setTimeout(() => {
      this.running.delete(job);
      this.complete(job);
      this.startNext();
    }, serviceMs);
  }

  private complete(job: Job): void {
    const {request, response, body} = job;
    if (this.silentSockets.has(request.socket)) {
      return;
    }
    const padLength = Number(request.headers['x-pad-bytes'] ?? 64);
    const splitMs = Number(request.headers['x-split-ms'] ?? 0);
    const answerBody = {
      ...toLedgerRequest(request),
      target: this.id,
      bodyBytes: body.length,
      pad: 'x'.repeat(padLength),
    };
    this.setDrainHeader(response, 'header');
    this.respond(response, 200, answerBody, splitMs);
  }

  /** Sets the drain header, and records it, if the target shows the sign. */
  private setDrainHeader(response: ServerResponse, sign: DrainSign): void {
    if (this.showsDrainSign(sign)) {
      this.options.ledger.recordDrainSign(this.id);
      response.setHeader('x-target-draining', '1');
    }
  }

  /** Cancels a job whose client closed the connection. */
  private onResponseClosed(job: Job): void {
    if (job.response.writableFinished) {
      return;
    }
    job.isCancelled = true;
    clearTimeout(job.timer);
    if (this.running.delete(job)) {
      this.startNext();
    }
  }

  private cancelAllJobs(): void {
    for (const job of [...this.running, ...this.queue]) {
      job.isCancelled = true;
      clearTimeout(job.timer);
    }
    this.running.clear();
    this.queue.length = 0;
  }

  /** Returns the load to report, at most `reportLagMs` old. */
  private reportedLoad(): number {
    const nowMs = performance.now();
    const lagMs = this.options.settings.reportLagMs;
    if (nowMs - this.loadSample.sampledMs >= lagMs) {
      const value = this.running.size + this.queue.length;
      this.loadSample = {value, sampledMs: nowMs};
    }
    return this.faults.loadOverride ?? this.loadSample.value;
  }

  private respondLoad(response: ServerResponse): void {
    this.options.ledger.recordProbe(this.id);
    if (this.showsDrainSign('load')) {
      this.options.ledger.recordDrainSign(this.id);
    }
    this.respond(response, 200, {
      inFlight: this.reportedLoad(),
      slots: this.options.spec.slots,
      draining: this.showsDrainSign('load'),
    });
  }

  private showsDrainSign(sign: DrainSign): boolean {
    return this.faults.drainSigns.includes(sign);
  }

  private refuse(response: ServerResponse): void {
    response.setHeader('x-target-refused', '1');
    this.setDrainHeader(response, 'refusal');
    this.respond(response, 503, {error: 'refused'});
  }

  /** Sends a response; its second half follows after `splitMs`. */
  private respond(
    response: ServerResponse,
    status: number,
    body: object,
    splitMs = 0,
  ): void {
    const text = JSON.stringify(body);
    const token = response.req.headers['x-request-token'];
    if (token !== undefined) {
      response.setHeader('x-request-token', token);
    }
    const missingByteCount = this.faults.truncate && status === 200 ? 10 : 0;
    response.setHeader('content-type', 'application/json');
    response.setHeader('content-length', text.length + missingByteCount);
    response.setHeader('x-load-in-flight', this.reportedLoad());
    response.statusCode = status;
    if (missingByteCount > 0) {
      response.write(text, () => response.destroy());
    } else if (splitMs > 0) {
      const half = Math.floor(text.length / 2);
      response.write(text.slice(0, half));
      setTimeout(() => response.end(text.slice(half)), splitMs);
    } else {
      response.end(text);
    }
  }
}

/** Returns the ids that the caller gave to a request and to this copy of it. */
function toLedgerRequest(request: IncomingMessage): LedgerRequest {
  const id = String(request.headers['x-request-id'] ?? 'unnamed');
  return {id, sending: String(request.headers['x-sending-id'] ?? id)};
}
