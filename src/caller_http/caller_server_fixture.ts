/**
 * Server for callers whose requests a test answers.
 *
 * @packageDocumentation
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import type {TestContext} from 'node:test';
import {SystemClock} from '../core/index.js';
import {MemoryBudget} from '../memory/index.js';
import {TargetResponse} from '../target_http/index.js';
import {
  CallerServer,
  DEFAULT_CALLER_LIMITS,
  NativeCallerProtocol,
  type Exchange,
  type ProtectionReason,
} from './index.js';

/** Header field that each request needs. */
export const HOST = 'host: desk.example\r\n';

/** A server and what it has passed on. */
export interface CallerServerFixture {
  readonly server: CallerServer;
  readonly port: number;
  readonly exchanges: Exchange[];
  readonly goneRequestIds: string[];
  readonly protections: ProtectionReason[];
}

/**
 * Starts a server that ends with the test.
 *
 * @param t - test that owns the server
 * @param onRequest - called with each request that is passed on
 * @param limits - limits that differ from the defaults
 * @param budget - bytes held for callers
 */
export async function startServer(
  t: TestContext,
  onRequest: (exchange: Exchange, server: CallerServer) => void,
  limits: Partial<typeof DEFAULT_CALLER_LIMITS> = {},
  budget = new MemoryBudget(1_000_000),
): Promise<CallerServerFixture> {
  const exchanges: Exchange[] = [];
  const goneRequestIds: string[] = [];
  const protections: ProtectionReason[] = [];
  const server = new CallerServer({
    clock: new SystemClock(),
    limits: {...DEFAULT_CALLER_LIMITS, maxBodyBytes: 100, ...limits},
    protocol: new NativeCallerProtocol(),
    budget,
    onProtected: reason => protections.push(reason),
    listener: {
      onRequest: exchange => {
        exchanges.push(exchange);
        onRequest(exchange, server);
      },
      onCallerGone: requestId => goneRequestIds.push(requestId),
    },
  });
  const port = await server.listen({host: '127.0.0.1', port: 0});
  t.after(() => server.destroy());
  return {server, port, exchanges, goneRequestIds, protections};
}

/** Returns a complete response. */
export function completeResponse(
  body: string,
  headers = {},
  status = 200,
): TargetResponse {
  const source = {
    pause: () => undefined,
    resume: () => undefined,
    abort: () => undefined,
  };
  const response = new TargetResponse('t', status, headers, source);
  response.push(Buffer.from(body), 1_000_000);
  response.finish();
  return response;
}

/** Answers a request with its path. */
export function echo(exchange: Exchange): void {
  exchange.forward(completeResponse(exchange.request.path));
}

/** Sends raw text, and returns what is received until the connection closes. */
export async function sendRaw(
  port: number,
  ...parts: string[]
): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', data => (received += data.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = once(socket, 'close');
  for (const part of parts) {
    socket.write(part);
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  await closed;
  return received;
}
