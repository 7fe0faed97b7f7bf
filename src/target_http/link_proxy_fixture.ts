/**
 * Loopback proxies and ports for tests with daemons.
 *
 * @packageDocumentation
 */
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import type {TestContext} from 'node:test';

const HOST = '127.0.0.1';

/**
 * How a proxy treats connections: `silent` keeps them without a byte, `reset`
 * resets all, `refuse` resets new ones only.
 */
export type Link = 'open' | 'silent' | 'reset' | 'refuse';

/** Loopback proxies between one VM and its targets. */
export class LinkProxy {
  private link: Link = 'open';
  private readonly sockets = new Set<Socket>();

  /**
   * @param isAffected - selects connections by the first bytes of a request; by
   *     default all are treated alike
   */
  constructor(private readonly isAffected?: (head: string) => boolean) {}

  /** Changes how connections are treated. */
  set(link: Link): void {
    this.link = link;
    if (link === 'reset' && this.isAffected === undefined) {
      this.sockets.forEach(socket => socket.resetAndDestroy());
    }
  }

  /** Starts a proxy and returns its port. */
  async start(t: TestContext, targetPort: number): Promise<number> {
    const server = createServer(downstream => {
      const refusesNew = this.link === 'reset' || this.link === 'refuse';
      if (refusesNew && this.isAffected === undefined) {
        downstream.resetAndDestroy();
        return;
      }
      this.join(downstream, connect(targetPort, HOST));
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    t.after(() => {
      server.close();
      this.sockets.forEach(socket => socket.destroy());
    });
    return (server.address() as AddressInfo).port;
  }

  private join(downstream: Socket, upstream: Socket): void {
    for (const [from, to] of [
      [downstream, upstream],
      [upstream, downstream],
    ] as const) {
      this.sockets.add(from);
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
      from.on('data', (chunk: Buffer) => this.pass(chunk, from, to));
    }
  }

  private pass(chunk: Buffer, from: Socket, to: Socket): void {
    const isReset =
      this.link === 'reset' && this.isAffected?.(chunk.toString('latin1'));
    if (isReset === true) {
      from.resetAndDestroy();
    } else if (this.link !== 'silent') {
      to.write(chunk);
    }
  }
}

/** Ports below the range from which the kernel assigns ports to connections. */
const FIRST_PORT = 14_000;
const LAST_PORT = 23_999;
let nextPort = FIRST_PORT + ((process.pid * 16) % (LAST_PORT - FIRST_PORT));

/**
 * Finds ports that are free now, for settings that need fixed ones. They depend
 * on the process, so that tests in other processes get others.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (await isPortFree(nextPort)) {
      ports.push(nextPort);
    }
  }
  return ports;
}

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, HOST);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}
