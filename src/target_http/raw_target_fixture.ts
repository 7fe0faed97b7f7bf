/**
 * Target that a test plays byte by byte, and a client for it.
 *
 * @packageDocumentation
 */
import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {TestContext} from 'node:test';
import {SystemClock} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import {
  NativeTargetProtocol,
  TargetClient,
  type AttemptRequest,
  type TargetProtocol,
  type TargetResponse,
} from './index.js';

/** TCP server that passes received bytes to the test as text. */
export interface RawTarget {
  readonly port: number;
  readonly server: Server;
  readonly sockets: Socket[];
}

/**
 * Starts a TCP server that ends with the test.
 *
 * @param t - test that owns the server
 * @param onData - called with each chunk that a connection receives
 */
export async function startRawTarget(
  t: TestContext,
  onData: (socket: Socket, text: string) => void,
): Promise<RawTarget> {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', data => onData(socket, data.toString('latin1')));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    sockets.forEach(socket => socket.destroy());
  });
  return {port: (server.address() as AddressInfo).port, server, sockets};
}

/**
 * Writes a text again and again until the peer closes the connection.
 *
 * @param socket - connection
 * @param text - text of at least one character
 */
export function writeWithoutEnd(socket: Socket, text: string): void {
  const block = text.repeat(Math.ceil(8_000 / text.length));
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(block)) {
      // Continues until the socket's buffer is full.
    }
  };
  socket.on('drain', writeMore);
  writeMore();
}

/**
 * Creates a client that is closed with the test.
 *
 * @param t - test that owns the client
 * @param protocol - protocol with the target
 */
export function createClient(
  t: TestContext,
  protocol: TargetProtocol = new NativeTargetProtocol(),
): TargetClient {
  const client = new TargetClient({clock: new SystemClock(), protocol});
  const timer = setInterval(() => client.tick(), 10);
  t.after(() => {
    clearInterval(timer);
    client.close();
  });
  return client;
}

/** Signals and response that one attempt reported. */
export interface AttemptRecord {
  readonly signals: AttemptSignal[];
  response: TargetResponse | undefined;
  readonly final: Promise<AttemptSignal>;
}

/**
 * Sends an attempt and records what it reports.
 *
 * @param client - client to use
 * @param port - port of the target
 * @param overrides - fields that differ from a plain GET request
 */
export function send(
  client: TargetClient,
  port: number,
  overrides: Partial<AttemptRequest> & {maxConnections?: number} = {},
): AttemptRecord {
  const {promise, resolve} = withResolvers<AttemptSignal>();
  const record: AttemptRecord = {
    signals: [],
    response: undefined,
    final: promise,
  };
  const {maxConnections = 2, ...request} = overrides;
  client.send({
    target: {targetId: 't', host: '127.0.0.1', port},
    maxConnections,
    request: {
      token: 'a',
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      freshness: 'any',
      deadlineMs: performance.now() + 60_000,
      silenceLimitMs: undefined,
      ...request,
    },
    listener: (signal, response) => {
      record.signals.push(signal);
      if (signal.type !== 'sent') {
        record.response = response;
        resolve(signal);
      }
    },
  });
  return record;
}

function withResolvers<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>(done => (resolve = done));
  return {promise, resolve};
}
