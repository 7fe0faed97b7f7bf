/**
 * One stand-in for a target: slots, queue, faults and load reports.
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
 * `header`: responses to requests carry it; `refusal`: new requests are refused
 * with the header; `load`: the load endpoint states it.
 */
export type DrainSign = 'header' | 'refusal' | 'load';

/** Faults that tests switch on. */
export interface TargetFaults {
  /** Answer 500 at once. */
  failFast: boolean;
  /** Answer 503 with an explicit refusal at once. */
  refuseAll: boolean;
  /** State a greater content-length than is sent, then close. */
  truncate: boolean;
  /** Where the target states that it drains; none if it does not. */
  drainSigns: readonly DrainSign[];
  /** Load that reports state instead of the true one. */
  statedLoad: number | undefined;
  /** Multiplies service times. */
  slowFactor: number;
}

/** A target without faults. */
export const NO_FAULTS: Readonly<TargetFaults> = {
  failFast: false,
  refuseAll: false,
  truncate: false,
  drainSigns: [],
  statedLoad: undefined,
  slowFactor: 1,
};

/** Options of {@link TargetStandin}. */
export interface TargetStandinOptions {
  readonly spec: TargetSpec;
  readonly settings: TargetSettings;
  readonly random: RandomSource;
  readonly ledger: TargetLedger;
}

/** Work that waits for a slot or runs in one. */
interface Job {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
  readonly expiresMs: number;
  timer: NodeJS.Timeout | undefined;
  gone: boolean;
}

/** A target that listens on its own port. */
export class TargetStandin {
  readonly faults: TargetFaults = {...NO_FAULTS};
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly silentSockets = new WeakSet<Socket>();
  private readonly queue: Job[] = [];
  private readonly running = new Set<Job>();
  private readonly serviceTimes: ServiceTimes;
  private laggedLoad = {value: 0, readMs: 0};

  /** @param options - settings, random source and ledger */
  constructor(private readonly options: TargetStandinOptions) {
    this.serviceTimes = new ServiceTimes(options);
  }

  /** Id of the target. */
  get id(): string {
    return this.options.spec.id;
  }

  /**
   * Starts to listen.
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
    this.serviceTimes.onStart(performance.now());
    this.server = server;
    const {host, port} = this.options.spec;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, 1024, resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Stops like a killed process: no listener, all connections broken. */
  crash(): void {
    this.server?.close();
    this.server = undefined;
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    this.endAllJobs();
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

  /** Makes all open connections silent; new ones work. */
  silenceConnections(): void {
    for (const socket of this.sockets) {
      this.silentSockets.add(socket);
    }
  }

  /** Stops for good. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.endAllJobs();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (!this.silentSockets.has(request.socket)) {
        this.onBody(request, response, Buffer.concat(chunks).toString('utf8'));
      }
    });
  }

  private onBody(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    if (request.url === '/load' || request.url === '/health') {
      this.answerLoad(response);
      return;
    }
    if (request.headers['x-poison'] !== undefined) {
      this.options.ledger.recordArrival(this.id, ledgerRequest(request));
      this.options.ledger.recordRun(this.id, ledgerRequest(request));
      this.crash();
      return;
    }
    this.options.ledger.recordArrival(this.id, ledgerRequest(request));
    const {faults} = this;
    if (faults.failFast) {
      this.answer(response, 500, {error: 'fails fast'});
      return;
    }
    if (faults.refuseAll || this.signs('refusal') || this.isFull()) {
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
      expiresMs: performance.now() + timeoutMs,
      timer: undefined,
      gone: false,
    };
    response.on('close', () => this.onClosed(job));
    this.queue.push(job);
    this.startNext();
  }

  private startNext(): void {
    while (this.running.size < this.options.spec.slots) {
      const job = this.queue.shift();
      if (job === undefined) {
        return;
      }
      if (job.gone) {
        continue;
      }
      if (performance.now() > job.expiresMs) {
        // The deadline passed in the queue: the work did not start.
        this.refuse(job.response);
        continue;
      }
      this.run(job);
    }
  }

  private run(job: Job): void {
    this.running.add(job);
    this.options.ledger.recordRun(this.id, ledgerRequest(job.request));
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
    const answer = {
      ...ledgerRequest(request),
      target: this.id,
      bodyBytes: body.length,
      pad: 'x'.repeat(padLength),
    };
    this.stateDrain(response, 'header');
    this.answer(response, 200, answer, splitMs);
  }

  private stateDrain(response: ServerResponse, sign: DrainSign): void {
    if (this.signs(sign)) {
      this.options.ledger.recordDrainSign(this.id);
      response.setHeader('x-target-draining', '1');
    }
  }

  /** A caller that goes away cancels its work. */
  private onClosed(job: Job): void {
    if (job.response.writableFinished) {
      return;
    }
    job.gone = true;
    clearTimeout(job.timer);
    if (this.running.delete(job)) {
      this.startNext();
    }
  }

  private endAllJobs(): void {
    for (const job of [...this.running, ...this.queue]) {
      job.gone = true;
      clearTimeout(job.timer);
    }
    this.running.clear();
    this.queue.length = 0;
  }

  private statedLoad(): number {
    const nowMs = performance.now();
    const lagMs = this.options.settings.reportLagMs;
    if (nowMs - this.laggedLoad.readMs >= lagMs) {
      const value = this.running.size + this.queue.length;
      this.laggedLoad = {value, readMs: nowMs};
    }
    return this.faults.statedLoad ?? this.laggedLoad.value;
  }

  private answerLoad(response: ServerResponse): void {
    this.options.ledger.recordProbe(this.id);
    if (this.signs('load')) {
      this.options.ledger.recordDrainSign(this.id);
    }
    this.answer(response, 200, {
      inFlight: this.statedLoad(),
      slots: this.options.spec.slots,
      draining: this.signs('load'),
    });
  }

  private signs(sign: DrainSign): boolean {
    return this.faults.drainSigns.includes(sign);
  }

  private refuse(response: ServerResponse): void {
    response.setHeader('x-target-refused', '1');
    this.stateDrain(response, 'refusal');
    this.answer(response, 503, {error: 'refused'});
  }

  /** Answers; the second half follows after `splitMs`. */
  private answer(
    response: ServerResponse,
    status: number,
    body: object,
    splitMs = 0,
  ): void {
    const text = JSON.stringify(body);
    const missing = this.faults.truncate && status === 200 ? 10 : 0;
    response.setHeader('content-type', 'application/json');
    response.setHeader('content-length', text.length + missing);
    response.setHeader('x-load-in-flight', this.statedLoad());
    response.statusCode = status;
    if (missing > 0) {
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

/** Ids that the stand-in caller gives to a request and to each of its copies. */
function ledgerRequest(request: IncomingMessage): LedgerRequest {
  const id = String(request.headers['x-request-id'] ?? 'unnamed');
  return {id, sending: String(request.headers['x-sending-id'] ?? id)};
}
