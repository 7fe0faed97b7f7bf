/**
 * Fetching published state from a peer over TCP.
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
import type {KnownPosition} from '../fleet/index.js';
import {httpGet} from '../http_get/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  PublishedState,
  Revision,
} from '../registry/index.js';
import {
  packDelta,
  packSnapshot,
  unpackDelta,
  unpackSnapshot,
} from './published_codec.js';
import {WireReader} from './wire_reader.js';

/** Path of the only resource. */
const PATH = '/published';

/** Query parameter with the position of the reader. */
const AFTER_PARAMETER = 'after';

/** What a peer sends: changes where it keeps them, else everything. */
export interface FetchedState {
  readonly position: KnownPosition;
  readonly delta: PublishedDelta | undefined;
  readonly snapshot: PublishedSnapshot | undefined;
}

/** Why nothing was fetched. */
export interface FetchError {
  readonly type: 'unreachable' | 'timeout' | 'malformed' | 'not-ready';
  readonly reason: string;
}

/** Serves the own state to peers. */
export class PublishedServer {
  private readonly server: Server;

  /**
   * @param state - state to serve
   * @param position - reads the own position
   */
  constructor(
    private readonly state: PublishedState,
    private readonly position: () => KnownPosition,
  ) {
    this.server = createServer((incoming, answer) =>
      this.onRequest(incoming, answer),
    );
  }

  /**
   * Starts to listen.
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

  private onRequest(incoming: IncomingMessage, answer: ServerResponse): void {
    const [path, query] = (incoming.url ?? '').split('?');
    const parameters = new URLSearchParams(query);
    const after = Number(parameters.get(AFTER_PARAMETER) ?? '0');
    if (path !== PATH || !Number.isSafeInteger(after)) {
      answer.writeHead(404).end();
      return;
    }
    if (!this.state.isComplete) {
      answer.writeHead(503).end();
      return;
    }
    const body = this.encodeState(after);
    answer.writeHead(200, {
      'content-type': 'application/msgpack',
      'content-length': String(body.length),
    });
    answer.end(body);
  }

  private encodeState(after: Revision): Uint8Array {
    const {revision, ageMs} = this.position();
    const delta = after > 0 ? this.state.changesAfter(after) : undefined;
    return encode([
      [revision, ageMs],
      delta === undefined ? [] : [packDelta(delta)],
      delta === undefined ? [packSnapshot(this.state.snapshot())] : [],
    ]);
  }
}

/**
 * Fetches what a peer knows.
 *
 * @param options - address of the peer, position of this VM, and the time
 *     allowed in milliseconds
 * @returns the peer's state, or why it did not come
 */
export async function fetchPublished(options: {
  readonly host: string;
  readonly port: number;
  readonly after: Revision;
  readonly timeoutMs: number;
}): Promise<Result<FetchedState, FetchError>> {
  const {host, port, after, timeoutMs} = options;
  const path = `${PATH}?${AFTER_PARAMETER}=${after}`;
  const answer = await httpGet({host, port, path, timeoutMs});
  return answer.isErr()
    ? err(answer.error)
    : readAnswer(answer.value.status, answer.value.body);
}

function readAnswer(
  status: number,
  body: Buffer,
): Result<FetchedState, FetchError> {
  if (status !== 200) {
    return err({type: 'not-ready', reason: `status ${status}`});
  }
  try {
    const reader = new WireReader(decode(body));
    const position = reader.nested();
    const [revision, ageMs] = [position.number(), position.number()];
    const [delta] = reader.list(unpackDelta);
    const [snapshot] = reader.list(unpackSnapshot);
    return ok({position: {revision, ageMs}, delta, snapshot});
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err({type: 'malformed', reason});
  }
}
