/**
 * Stand-in for the platform's configuration service, for tests and benchmarks.
 *
 * Protocol for VMs: `GET /v1/documents/<name>` returns 200 with the header
 * `x-platform-version` and the document as body, or 404 before the first
 * publication. With `?after=<version>&waitMs=<n>` the call is a long poll: it
 * waits for a newer version and returns 304 if none is published in time. Reads
 * above the rate limit get 429. All responses carry the header
 * `x-platform-era`; a long poll for a version that the platform does not have,
 * since it was restored from an older copy, gets 410.
 *
 * Control: `PUT /control/documents/<name>` publishes a document and returns
 * `{"platformVersion": n}`; `POST /control/mode` accepts a
 * {@link PlatformMode}; `GET /control/calls` returns {@link PlatformCalls}.
 * The control calls work in every mode.
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
import {readBody, sendJson} from './standin_http.js';

/** The platform's rate limit across all readers (design page, section 1). */
const DEFAULT_READS_PER_SECOND = 2_000;

/** Longest wait of a long poll; longer values of `waitMs` are capped. */
const MAX_WAIT_MS = 60_000;

/** Interval at which pending long polls are checked for a newer version. */
const WATCH_POLL_MS = 10;

/** Largest document that the platform accepts. */
const MAX_DOCUMENT_BYTES = 1024 * 1024;

const modeSchema = z.strictObject({
  mode: z
    .enum(['normal', 'outage', 'hang', 'error', 'stale', 'malformed'])
    .optional(),
  vmsLagMs: z.int().min(0).optional(),
  staleReaders: z.array(z.string()).optional(),
  restoreTo: z.int().min(0).optional(),
});

/**
 * Behaviour of the stand-in; an absent key keeps its value.
 *
 * `mode`: `normal`; `outage` closes connections without a response; `hang`
 * accepts calls and never responds; `error` returns 500; `stale` returns the
 * first publication without waiting; `malformed` omits the version header.
 * `vmsLagMs`: minimum age, in milliseconds, at which a VM list becomes visible.
 * `staleReaders`: readers, by `user-agent`, that see only publications made
 * before this command. `restoreTo`: drops later versions and begins a new era.
 */
export type PlatformMode = z.infer<typeof modeSchema>;

/** Counts of document reads. */
export interface PlatformCalls {
  /** Reads by the `user-agent` of the reader. */
  readonly byReader: Readonly<Record<string, number>>;
  readonly total: number;
  /** Long polls that are waiting now. */
  readonly pending: number;
  /** Most reads within one second of the stand-in's clock. */
  readonly peakPerSecond: number;
}

/** A long poll that waits for a newer version. */
interface PendingWatch {
  readonly name: DocumentName;
  readonly after: number;
  readonly reader: string;
  readonly deadlineMs: InstantMs;
  readonly response: ServerResponse;
}

/**
 * Serves documents over HTTP like the platform.
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
  private readonly pendingWatches = new Set<PendingWatch>();
  private mode: NonNullable<PlatformMode['mode']> = 'normal';
  private vmsLagMs = 0;
  private staleReaders: readonly string[] = [];
  private staleSinceMs: InstantMs = 0;
  private currentSecond = -1;
  private callsInSecond = 0;
  private peakPerSecond = 0;
  private watchTimer: NodeJS.Timeout | undefined;

  /**
   * @param options - `clock`; `readsPerSecond`: rate limit across all readers,
   *     2,000 by default
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
   * Starts listening.
   *
   * @param host - IP address
   * @param port - port, or 0 to let the system choose one
   * @returns the base URL
   */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    this.watchTimer = setInterval(() => this.respondToWatches(), WATCH_POLL_MS);
    const {port: boundPort} = this.server.address() as AddressInfo;
    return `http://${host}:${boundPort}`;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    clearInterval(this.watchTimer);
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  /**
   * Publishes a document, like the platform's tool for operators.
   *
   * @param name - name of the document
   * @param body - content, which is not validated
   * @returns the platform version
   */
  publish(name: DocumentName, body: string | Buffer): number {
    const bytes = Buffer.from(body as string);
    return this.documents.publish(name, bytes, this.options.clock.nowMs());
  }

  /**
   * Changes the behaviour. A mode other than `normal` also applies to pending
   * long polls at once.
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
    if (mode.restoreTo !== undefined) {
      this.documents.restore(mode.restoreTo);
      this.pendingWatches.forEach(({response}) => response.destroy());
      this.pendingWatches.clear();
    }
    if (this.mode !== 'normal') {
      for (const watch of this.pendingWatches) {
        this.respond(watch.name, watch.after, 0, watch.reader, watch.response);
      }
      this.pendingWatches.clear();
    }
  }

  /**
   * Counts the document reads since the start.
   *
   * @returns the counts
   */
  calls(): PlatformCalls {
    const counts = [...this.callsByReader.values()];
    return {
      byReader: Object.fromEntries(this.callsByReader),
      total: counts.reduce((sum, count) => sum + count, 0),
      pending: this.pendingWatches.size,
      peakPerSecond: this.peakPerSecond,
    };
  }

  /** Routes a request to its handler. */
  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const route = `${request.method} ${url.pathname}`;
    const name = parseDocumentName(url.pathname);
    if (route.startsWith('GET /v1/documents/') && name !== undefined) {
      this.handleRead(name, url.searchParams, request, response);
    } else if (route.startsWith('PUT /control/documents/') && name) {
      await this.handlePublish(name, request, response);
    } else if (route === 'POST /control/mode') {
      await this.handleMode(request, response);
    } else if (route === 'GET /control/calls') {
      sendJson(response, 200, this.calls());
    } else {
      sendJson(response, 404, {error: `no route ${route}`});
    }
  }

  /** Counts a read and responds to it unless it exceeds the rate limit. */
  private handleRead(
    name: DocumentName,
    query: URLSearchParams,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const withinLimit = this.countCall(request);
    const after = parseInteger(query.get('after') ?? '-1', -1);
    const waitMs = parseInteger(query.get('waitMs') ?? '0', 0);
    if (after === undefined || waitMs === undefined) {
      sendJson(response, 400, {
        error: 'after and waitMs must be whole numbers',
      });
    } else if (!withinLimit) {
      sendJson(response, 429, {error: 'read limit exceeded'});
    } else {
      const reader = request.headers['user-agent'] ?? 'unknown';
      this.respond(
        name,
        after,
        Math.min(waitMs, MAX_WAIT_MS),
        reader,
        response,
      );
    }
  }

  /** Responds to a read according to the mode, or adds a pending long poll. */
  private respond(
    name: DocumentName,
    after: number,
    waitMs: number,
    reader: string,
    response: ServerResponse,
  ): void {
    const newest = this.newestVisible(name, reader);
    response.setHeader('x-platform-era', this.documents.era);
    switch (this.mode) {
      case 'outage':
        response.destroy();
        return;
      case 'hang':
        return;
      case 'error':
        sendJson(response, 500, {error: 'internal error'});
        return;
      case 'malformed':
        response.end(newest?.body);
        return;
      case 'stale':
        sendDocument(response, this.documents.oldest(name));
        return;
      case 'normal':
        break;
    }
    if (after > this.documents.latestVersion) {
      sendJson(response, 410, {error: 'no such version'});
      return;
    }
    if (after < 0 || (newest?.platformVersion ?? -1) > after) {
      sendDocument(response, newest);
      return;
    }
    const deadlineMs = this.options.clock.nowMs() + waitMs;
    const watch = {name, after, deadlineMs, reader, response};
    this.pendingWatches.add(watch);
    response.once('close', () => this.pendingWatches.delete(watch));
  }

  /** Responds to long polls that have a newer version or have timed out. */
  private respondToWatches(): void {
    const nowMs = this.options.clock.nowMs();
    for (const watch of this.pendingWatches) {
      const newest = this.newestVisible(watch.name, watch.reader);
      if (newest !== undefined && newest.platformVersion > watch.after) {
        this.pendingWatches.delete(watch);
        sendDocument(watch.response, newest);
      } else if (nowMs >= watch.deadlineMs) {
        this.pendingWatches.delete(watch);
        watch.response.writeHead(304).end();
      }
    }
  }

  /** Returns the newest publication that is visible to a reader. */
  private newestVisible(
    name: DocumentName,
    reader: string,
  ): Publication | undefined {
    const lagMs = name === 'vms' ? this.vmsLagMs : 0;
    const untilMs = this.options.clock.nowMs() - lagMs;
    const isStale = this.staleReaders.includes(reader);
    return this.documents.newest(
      name,
      isStale ? Math.min(untilMs, this.staleSinceMs) : untilMs,
    );
  }

  /** Counts a read; returns false if it exceeds the rate limit. */
  private countCall(request: IncomingMessage): boolean {
    const reader = request.headers['user-agent'] ?? 'unknown';
    this.callsByReader.set(reader, (this.callsByReader.get(reader) ?? 0) + 1);
    const second = Math.floor(this.options.clock.nowMs() / 1_000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.callsInSecond = 0;
    }
    this.callsInSecond++;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.callsInSecond);
    const limit = this.options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    return this.callsInSecond <= limit;
  }

  /** Publishes the body of a request. */
  private async handlePublish(
    name: DocumentName,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (body.length > MAX_DOCUMENT_BYTES) {
      sendJson(response, 413, {error: 'a document must not exceed 1 MiB'});
      return;
    }
    const platformVersion = this.publish(name, body);
    sendJson(response, 200, {platformVersion});
  }

  /** Handles a control call that changes the mode. */
  private async handleMode(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const parsed = modeSchema.safeParse(parseJson(body.toString()));
    if (!parsed.success) {
      sendJson(response, 400, {error: z.prettifyError(parsed.error)});
      return;
    }
    this.setMode(parsed.data);
    sendJson(response, 200, {mode: this.mode, vmsLagMs: this.vmsLagMs});
  }
}

/** Returns the document named by a path, or undefined for another path. */
function parseDocumentName(pathname: string): DocumentName | undefined {
  const name = pathname.split('/').at(-1);
  return name === 'config' || name === 'vms' ? name : undefined;
}

/** Parses an integer; returns undefined if invalid or below the minimum. */
function parseInteger(text: string, min: number): number | undefined {
  const value = Number(text);
  return Number.isSafeInteger(value) && value >= min ? value : undefined;
}

/** Parses JSON; returns undefined if it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Sends a publication, or 404 if there is none. */
function sendDocument(
  response: ServerResponse,
  publication: Publication | undefined,
): void {
  if (publication === undefined) {
    sendJson(response, 404, {error: 'not published'});
    return;
  }
  response.setHeader('x-platform-version', publication.platformVersion);
  response.setHeader('content-type', 'application/json');
  response.end(publication.body);
}
