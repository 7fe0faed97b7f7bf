/**
 * Stand-in for the platform's configuration service, for tests and benchmarks.
 *
 * Protocol for VMs: `GET /v1/documents/<name>` answers 200 with the header
 * `x-platform-version` and the document as body, or 404 before the first
 * publication. With `?after=<version>&waitMs=<n>` it waits for a newer version
 * and answers 304 when none came. Reads above the limit are answered 429.
 *
 * Control: `PUT /control/documents/<name>` publishes and answers
 * `{"platformVersion": n}`; `POST /control/mode` takes a {@link PlatformMode};
 * `GET /control/calls` answers {@link PlatformCalls}. Control works in every
 * mode.
 *
 * @packageDocumentation
 */
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {z} from 'zod';
import type {Clock, InstantMs} from '../core/index.js';
import type {DocumentName} from '../preset/index.js';
import {PlatformDocuments, type Publication} from './platform_documents.js';
import {answerJson, readBody} from './standin_http.js';

/** The platform's limit over all readers (design page, section 1). */
const DEFAULT_READS_PER_SECOND = 2_000;

/** Longest wait that a reader may ask for. */
const MAX_WAIT_MS = 60_000;

/** Interval at which waiting watches look for a newer version. */
const WATCH_POLL_MS = 10;

/** Largest document that the platform takes. */
const MAX_DOCUMENT_BYTES = 1024 * 1024;

const modeSchema = z.strictObject({
  mode: z
    .enum(['normal', 'outage', 'hang', 'error', 'stale', 'malformed'])
    .optional(),
  vmsLagMs: z.int().min(0).optional(),
  staleReaders: z.array(z.string()).optional(),
});

/**
 * Behaviour of the stand-in. `mode`: `normal`; `outage` breaks connections;
 * `hang` accepts calls and never answers; `error` answers 500; `stale` answers
 * the first publication at once; `malformed` answers without version header.
 * `vmsLagMs`: age below which a list of VMs is withheld. `staleReaders`: readers,
 * by `user-agent`, that see only publications before this command. A missing
 * key keeps its value.
 */
export type PlatformMode = z.infer<typeof modeSchema>;

/** Calls counted by reader. */
export interface PlatformCalls {
  /** Calls by the `user-agent` of the reader. */
  readonly byReader: Readonly<Record<string, number>>;
  readonly total: number;
  /** Watches that wait now. */
  readonly pending: number;
  /** Most calls within one second, by the stand-in's clock. */
  readonly peakPerSecond: number;
}

/** A watch that waits for a newer version. */
interface PendingWatch {
  readonly name: DocumentName;
  readonly after: number;
  readonly reader: string;
  readonly deadlineMs: InstantMs;
  readonly response: ServerResponse;
}

/**
 * Platform stand-in over HTTP.
 *
 * @example
 * ```ts
 * const platform = new PlatformServer({clock: new SystemClock()});
 * const baseUrl = await platform.listen('127.0.0.1', 0);
 * platform.publish('config', body);
 * ```
 */
export class PlatformServer {
  private readonly documents = new PlatformDocuments();
  private readonly server: Server;
  private readonly callsByReader = new Map<string, number>();
  private readonly pending = new Set<PendingWatch>();
  private mode: NonNullable<PlatformMode['mode']> = 'normal';
  private vmsLagMs = 0;
  private staleReaders: readonly string[] = [];
  private staleSinceMs: InstantMs = 0;
  private second = -1;
  private callsInSecond = 0;
  private peakPerSecond = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - `clock`; `readsPerSecond`: limit over all readers, 2,000
   *     by default
   */
  constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly readsPerSecond?: number;
    },
  ) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => request.destroy());
    });
  }

  /**
   * Starts to listen.
   *
   * @param host - IP address
   * @param port - port; 0 for a free one
   * @returns the base URL
   */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    this.timer = setInterval(() => this.answerWatches(), WATCH_POLL_MS);
    const {port: boundPort} = this.server.address() as AddressInfo;
    return `http://${host}:${boundPort}`;
  }

  /** Stops listening and breaks all connections. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  /**
   * Publishes a document, as the operators' tool of the platform does.
   *
   * @param name - name of the document
   * @param body - any text or bytes
   * @returns the platform version
   */
  publish(name: DocumentName, body: string | Buffer): number {
    const bytes = Buffer.from(body as string);
    return this.documents.publish(name, bytes, this.options.clock.nowMs());
  }

  /**
   * Changes the behaviour.
   *
   * @param mode - keys to change
   */
  setMode(mode: PlatformMode): void {
    this.mode = mode.mode ?? this.mode;
    this.vmsLagMs = mode.vmsLagMs ?? this.vmsLagMs;
    if (mode.staleReaders !== undefined) {
      this.staleReaders = mode.staleReaders;
      this.staleSinceMs = this.options.clock.nowMs();
    }
    if (this.mode !== 'normal') {
      for (const watch of this.pending) {
        this.serve(watch.name, watch.after, 0, watch.reader, watch.response);
      }
      this.pending.clear();
    }
  }

  /**
   * Counts the calls since the start.
   *
   * @returns the counts
   */
  calls(): PlatformCalls {
    const counts = [...this.callsByReader.values()];
    return {
      byReader: Object.fromEntries(this.callsByReader),
      total: counts.reduce((sum, count) => sum + count, 0),
      pending: this.pending.size,
      peakPerSecond: this.peakPerSecond,
    };
  }

  /** Routes a call. */
  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const route = `${request.method} ${url.pathname}`;
    const name = documentName(url.pathname);
    if (route.startsWith('GET /v1/documents/') && name !== undefined) {
      this.handleRead(name, url.searchParams, request, response);
    } else if (route.startsWith('PUT /control/documents/') && name) {
      await this.handlePublish(name, request, response);
    } else if (route === 'POST /control/mode') {
      await this.handleMode(request, response);
    } else if (route === 'GET /control/calls') {
      answerJson(response, 200, this.calls());
    } else {
      answerJson(response, 404, {error: `no route ${route}`});
    }
  }

  /** Counts and serves a read. */
  private handleRead(
    name: DocumentName,
    query: URLSearchParams,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const withinLimit = this.countCall(request);
    const after = wholeNumber(query.get('after') ?? '-1', -1);
    const waitMs = wholeNumber(query.get('waitMs') ?? '0', 0);
    if (after === undefined || waitMs === undefined) {
      answerJson(response, 400, {error: 'after and waitMs are whole numbers'});
    } else if (!withinLimit) {
      answerJson(response, 429, {error: 'read limit exceeded'});
    } else {
      const reader = request.headers['user-agent'] ?? 'unknown';
      this.serve(name, after, Math.min(waitMs, MAX_WAIT_MS), reader, response);
    }
  }

  /** Answers a read as the mode says. */
  private serve(
    name: DocumentName,
    after: number,
    waitMs: number,
    reader: string,
    response: ServerResponse,
  ): void {
    const newest = this.visible(name, reader);
    switch (this.mode) {
      case 'outage':
        response.destroy();
        return;
      case 'hang':
        return;
      case 'error':
        answerJson(response, 500, {error: 'internal error'});
        return;
      case 'malformed':
        response.end(newest?.body);
        return;
      case 'stale':
        answerDocument(response, this.documents.oldest(name));
        return;
      case 'normal':
        break;
    }
    if (after < 0 || (newest?.platformVersion ?? -1) > after) {
      answerDocument(response, newest);
      return;
    }
    const deadlineMs = this.options.clock.nowMs() + waitMs;
    const watch = {name, after, deadlineMs, reader, response};
    this.pending.add(watch);
    response.once('close', () => this.pending.delete(watch));
  }

  /** Answers watches that have a newer version or are due. */
  private answerWatches(): void {
    const nowMs = this.options.clock.nowMs();
    for (const watch of this.pending) {
      const newest = this.visible(watch.name, watch.reader);
      if (newest !== undefined && newest.platformVersion > watch.after) {
        this.pending.delete(watch);
        answerDocument(watch.response, newest);
      } else if (nowMs >= watch.deadlineMs) {
        this.pending.delete(watch);
        watch.response.writeHead(304).end();
      }
    }
  }

  /** The newest publication that a reader may see. */
  private visible(name: DocumentName, reader: string): Publication | undefined {
    const lagMs = name === 'vms' ? this.vmsLagMs : 0;
    const untilMs = this.options.clock.nowMs() - lagMs;
    const isStale = this.staleReaders.includes(reader);
    return this.documents.newest(
      name,
      isStale ? Math.min(untilMs, this.staleSinceMs) : untilMs,
    );
  }

  /** Counts a call; false above the limit. */
  private countCall(request: IncomingMessage): boolean {
    const reader = request.headers['user-agent'] ?? 'unknown';
    this.callsByReader.set(reader, (this.callsByReader.get(reader) ?? 0) + 1);
    const second = Math.floor(this.options.clock.nowMs() / 1_000);
    if (second !== this.second) {
      this.second = second;
      this.callsInSecond = 0;
    }
    this.callsInSecond++;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.callsInSecond);
    const limit = this.options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    return this.callsInSecond <= limit;
  }

  /** Publishes the body of a call. */
  private async handlePublish(
    name: DocumentName,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (body.length > MAX_DOCUMENT_BYTES) {
      answerJson(response, 413, {error: 'a document has at most 1 MiB'});
      return;
    }
    const platformVersion = this.publish(name, body);
    answerJson(response, 200, {platformVersion});
  }

  /** Changes the mode. */
  private async handleMode(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const parsed = modeSchema.safeParse(parseJson(body.toString()));
    if (!parsed.success) {
      answerJson(response, 400, {error: z.prettifyError(parsed.error)});
      return;
    }
    this.setMode(parsed.data);
    answerJson(response, 200, {mode: this.mode, vmsLagMs: this.vmsLagMs});
  }
}

/** Document that a path names. */
function documentName(pathname: string): DocumentName | undefined {
  const name = pathname.split('/').at(-1);
  return name === 'config' || name === 'vms' ? name : undefined;
}

/** Parses a whole number; undefined if it is none or below the minimum. */
function wholeNumber(text: string, min: number): number | undefined {
  const value = Number(text);
  return Number.isSafeInteger(value) && value >= min ? value : undefined;
}

/** Parses JSON; undefined if it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Answers with a publication, or 404 if there is none. */
function answerDocument(
  response: ServerResponse,
  publication: Publication | undefined,
): void {
  if (publication === undefined) {
    answerJson(response, 404, {error: 'not published'});
    return;
  }
  response.setHeader('x-platform-version', publication.platformVersion);
  response.setHeader('content-type', 'application/json');
  response.end(publication.body);
}
