/**
 * Transfer of published state between VMs over HTTP.
 *
 * @packageDocumentation
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {decode, encode} from '@msgpack/msgpack';
import {err, ok, type Result} from 'neverthrow';
import type {Clock, InstantMs} from '../core/index.js';
import type {KnownPosition} from '../fleet/index.js';
import {
  httpGet,
  MAX_BODY_BYTES,
  type HttpGetResponse,
} from '../http_get/index.js';
import type {
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  PublishedState,
  StorePosition,
} from '../registry/index.js';
import type {RouteConfig} from '../routes/index.js';
import {
  packDelta,
  packPosition,
  packSnapshot,
  unpackDelta,
  unpackPosition,
  unpackSnapshot,
} from './published_codec.js';
import {compress, decompress} from './compression.js';
import {WireReader} from './wire_reader.js';

/** Path of the only resource. */
const PATH = '/published';

/** Query parameters for the position that the client already has. */
const AFTER_PARAMETER = 'after';
const ERA_PARAMETER = 'era';

/**
 * Query parameter for the format of the response. VMs of an earlier release do
 * not send it and read msgpack; they ignore it and respond with msgpack.
 */
const FORMAT_PARAMETER = 'format';
const JSON_FORMAT = 'json';

/** Type of a JSON body. */
const JSON_TYPE = 'application/json';

/** Coding of a body that is compressed. */
const COMPRESSED_CODING = 'deflate';

/**
 * Size from which on a body is compressed, in bytes. The state of a small fleet
 * stays below it and never loads the compression.
 */
const MIN_COMPRESSED_BYTES = 16 * 1024;

/** Header of a JSON response with the position of the VM that sends it. */
const POSITION_HEADER = 'published-position';

/**
 * Time for which an encoded body is kept. Ages in it are that much too low,
 * which only prolongs what they bound.
 */
const CACHE_TTL_MS = 1_000;

/**
 * State received from a peer: a delta if the peer retains the changes since the
 * requested revision, else a snapshot.
 */
export interface FetchedState {
  readonly position: KnownPosition;
  readonly delta: PublishedDelta | undefined;
  readonly snapshot: PublishedSnapshot | undefined;
}

/** Error of a failed fetch. */
export interface FetchError {
  readonly type: 'unreachable' | 'timeout' | 'malformed' | 'not-ready';
  readonly reason: string;
}

/** Body of a response and its coding. */
interface EncodedState {
  readonly key: string;
  readonly body: Buffer;
  readonly coding: string;
  readonly expiresAtMs: InstantMs;
}

/** Serves the published state of this VM to peers. */
export class PublishedServer {
  private readonly server: Server;
  private cached: EncodedState | undefined;

  /**
   * @param state - state to serve
   * @param position - returns the position of this VM
   * @param clock - clock of this VM
   */
  constructor(
    private readonly state: PublishedState,
    private readonly position: () => KnownPosition,
    private readonly clock: Clock,
  ) {
    this.server = createServer((request, response) =>
      this.onRequest(request, response),
    );
  }

  /**
   * Starts listening.
   *
   * @param host - address of this VM
   * @param port - port; 0 for any free one
   * @returns the port
   * @throws the error of `listen`, for example when the port is in use
   */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        const address = this.server.address();
        resolve(typeof address === 'object' && address ? address.port : port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const [path, query] = (request.url ?? '').split('?');
    const parameters = new URLSearchParams(query);
    const revision = Number(parameters.get(AFTER_PARAMETER) ?? '0');
    const era = Number(parameters.get(ERA_PARAMETER) ?? '0');
    const isValid = Number.isSafeInteger(revision) && Number.isSafeInteger(era);
    if (path !== PATH || !isValid) {
      response.writeHead(404).end();
      return;
    }
    if (!this.state.isComplete) {
      response.writeHead(503).end();
      return;
    }
    const after = {era, revision};
    if (parameters.get(FORMAT_PARAMETER) === JSON_FORMAT) {
      this.respondJson(response, after);
    } else {
      this.respondMsgpack(response, after);
    }
  }

  private respondJson(response: ServerResponse, after: StorePosition): void {
    const {body, coding} = this.encodeJson(after);
    response.writeHead(200, {
      'content-type': JSON_TYPE,
      'content-encoding': coding,
      'content-length': String(body.length),
      // Apart from the body, since its age differs with each response.
      [POSITION_HEADER]: JSON.stringify(packPosition(this.position())),
    });
    response.end(body);
  }

  /** Responds to a VM of an earlier release, which reads whole routes only. */
  private respondMsgpack(response: ServerResponse, after: StorePosition): void {
    const {delta, snapshot} = this.stateAfter(after);
    const body = encode([
      packPosition(this.position()),
      delta === undefined
        ? []
        : [packDelta(withWholeRoutes(delta, this.state.routes))],
      snapshot === undefined ? [] : [packSnapshot(snapshot)],
    ]);
    response.writeHead(200, {
      'content-type': 'application/msgpack',
      'content-length': String(body.length),
    });
    response.end(body);
  }

  /**
   * Encodes the state for a peer. After a change all members of a failure domain
   * fetch the same from its heads, and to encode 1,600 routes takes a small VM
   * over 100 ms, so the last body is kept for a short time.
   */
  private encodeJson(after: StorePosition): EncodedState {
    const nowMs = this.clock.nowMs();
    const {era, revision} = this.state;
    const key = [after.era, after.revision, era, revision, this.state.digest];
    const cacheKey = key.join(' ');
    if (this.cached?.key !== cacheKey || nowMs >= this.cached.expiresAtMs) {
      const {delta, snapshot} = this.stateAfter(after);
      const fields = [
        delta === undefined ? [] : [packDelta(delta)],
        snapshot === undefined ? [] : [packSnapshot(snapshot)],
      ];
      const json = Buffer.from(JSON.stringify(fields));
      const isCompressed = json.length >= MIN_COMPRESSED_BYTES;
      this.cached = {
        key: cacheKey,
        body: isCompressed ? compress(json) : json,
        coding: isCompressed ? COMPRESSED_CODING : 'identity',
        expiresAtMs: nowMs + CACHE_TTL_MS,
      };
    }
    return this.cached;
  }

  private stateAfter(after: StorePosition): Omit<FetchedState, 'position'> {
    const {state} = this;
    const delta = after.revision > 0 ? state.changesAfter(after) : undefined;
    const snapshot =
      delta === undefined ? state.snapshot(this.clock.nowMs()) : undefined;
    return {delta, snapshot};
  }
}

/** Replaces differences of routes by the routes that they lead to. */
function withWholeRoutes(
  delta: PublishedDelta,
  routes: RouteConfig | undefined,
): PublishedDelta {
  const last = delta.changes.filter(isDifference).at(-1);
  if (last === undefined || routes === undefined) {
    return delta;
  }
  const {revision} = last;
  const others = delta.changes.filter(change => !isDifference(change));
  const changes = [
    ...others,
    {type: 'routes', revision, config: routes} as const,
  ];
  changes.sort((a, b) => a.revision - b.revision);
  return {...delta, changes};
}

function isDifference({type}: PublishedChange): boolean {
  return type === 'routes-difference';
}

/**
 * Fetches the published state of a peer.
 *
 * @param options - address of the peer, position of this VM (undefined for a
 *     snapshot in any case), the timeout of the whole fetch and that of a fetch
 *     that receives nothing, in milliseconds
 * @returns the state, or an error with the reason
 */
export async function fetchPublished(options: {
  readonly host: string;
  readonly port: number;
  readonly after: StorePosition | undefined;
  readonly timeoutMs: number;
  readonly progressTimeoutMs: number;
}): Promise<Result<FetchedState, FetchError>> {
  const {host, port, after, timeoutMs} = options;
  const {era, revision} = after ?? {era: 0, revision: 0};
  const query = [
    `${AFTER_PARAMETER}=${revision}`,
    `${ERA_PARAMETER}=${era}`,
    `${FORMAT_PARAMETER}=${JSON_FORMAT}`,
  ].join('&');
  const path = `${PATH}?${query}`;
  const {progressTimeoutMs} = options;
  const response = await httpGet({
    host,
    port,
    path,
    timeoutMs,
    progressTimeoutMs,
  });
  return response.isErr() ? err(response.error) : readResponse(response.value);
}

function readResponse(
  response: HttpGetResponse,
): Result<FetchedState, FetchError> {
  const {status, headers, body} = response;
  if (status !== 200) {
    return err({type: 'not-ready', reason: `status ${status}`});
  }
  try {
    const isJson = headers['content-type'] === JSON_TYPE;
    return ok(isJson ? readJson(headers, body) : readMsgpack(body));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err({type: 'malformed', reason});
  }
}

function readJson(
  headers: HttpGetResponse['headers'],
  body: Buffer,
): FetchedState {
  const position = JSON.parse(String(headers[POSITION_HEADER])) as unknown;
  const isCompressed = headers['content-encoding'] === COMPRESSED_CODING;
  const json = isCompressed ? decompress(body, MAX_BODY_BYTES) : body;
  const reader = new WireReader(JSON.parse(json.toString('utf8')));
  return {
    position: unpackPosition(new WireReader(position)),
    ...unpackState(reader),
  };
}

/** Reads the response of a VM of an earlier release. */
function readMsgpack(body: Buffer): FetchedState {
  const reader = new WireReader(decode(body));
  return {position: unpackPosition(reader.nested()), ...unpackState(reader)};
}

function unpackState(reader: WireReader): Omit<FetchedState, 'position'> {
  const [delta] = reader.array(unpackDelta);
  const [snapshot] = reader.array(unpackSnapshot);
  return {delta, snapshot};
}
