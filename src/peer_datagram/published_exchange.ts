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
import type {Clock} from '../core/index.js';
import type {KnownPosition} from '../fleet/index.js';
import {httpGet} from '../http_get/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  PublishedState,
  StorePosition,
} from '../registry/index.js';
import {
  packDelta,
  packPosition,
  packSnapshot,
  unpackDelta,
  unpackPosition,
  unpackSnapshot,
} from './published_codec.js';
import {WireReader} from './wire_reader.js';

/** Path of the only resource. */
const PATH = '/published';

/** Query parameters for the position that the client already has. */
const AFTER_PARAMETER = 'after';
const ERA_PARAMETER = 'era';

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

/** Serves the published state of this VM to peers. */
export class PublishedServer {
  private readonly server: Server;

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
    const body = this.encodeState({era, revision});
    response.writeHead(200, {
      'content-type': 'application/msgpack',
      'content-length': String(body.length),
    });
    response.end(body);
  }

  private encodeState(after: StorePosition): Uint8Array {
    const {state} = this;
    const delta = after.revision > 0 ? state.changesAfter(after) : undefined;
    const snapshot =
      delta === undefined ? state.snapshot(this.clock.nowMs()) : undefined;
    return encode([
      packPosition(this.position()),
      delta === undefined ? [] : [packDelta(delta)],
      snapshot === undefined ? [] : [packSnapshot(snapshot)],
    ]);
  }
}

/**
 * Fetches the published state of a peer.
 *
 * @param options - address of the peer, position of this VM (undefined for a
 *     snapshot in any case), and the timeout in milliseconds
 * @returns the state, or an error with the reason
 */
export async function fetchPublished(options: {
  readonly host: string;
  readonly port: number;
  readonly after: StorePosition | undefined;
  readonly timeoutMs: number;
}): Promise<Result<FetchedState, FetchError>> {
  const {host, port, after, timeoutMs} = options;
  const {era, revision} = after ?? {era: 0, revision: 0};
  const query = `${AFTER_PARAMETER}=${revision}&${ERA_PARAMETER}=${era}`;
  const path = `${PATH}?${query}`;
  const response = await httpGet({host, port, path, timeoutMs});
  return response.isErr()
    ? err(response.error)
    : readResponse(response.value.status, response.value.body);
}

function readResponse(
  status: number,
  body: Buffer,
): Result<FetchedState, FetchError> {
  if (status !== 200) {
    return err({type: 'not-ready', reason: `status ${status}`});
  }
  try {
    const reader = new WireReader(decode(body));
    const position = unpackPosition(reader.nested());
    const [delta] = reader.array(unpackDelta);
    const [snapshot] = reader.array(unpackSnapshot);
    return ok({position, delta, snapshot});
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err({type: 'malformed', reason});
  }
}
