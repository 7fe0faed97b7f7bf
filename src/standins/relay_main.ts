/**
 * Program that relays TCP connections between loopback ports. Its argument is
 * the path of the JSON settings, with the two VMs and the two ports of each
 * link.
 *
 * The control port accepts a JSON object by POST. Its `action` is `cut` or
 * `swallow`, which apply to all links between VMs of different `halves` (two
 * lists of VM ids), or `heal`, which applies to all links. `cut` holds data
 * back and delivers it after `heal`, like TCP after a network partition.
 * `swallow` drops data, so that open connections go silent; `heal` resets them.
 *
 * @packageDocumentation
 */
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {connect, createServer, type Socket} from 'node:net';
import {z} from 'zod';
import {readSettings} from './read_settings.js';
import {readBody} from './standin_http.js';

const HOST = '127.0.0.1';

const settingsSchema = z.object({
  controlPort: z.number().int(),
  links: z.array(
    z.object({
      from: z.string(),
      to: z.string(),
      listenPort: z.number().int(),
      targetPort: z.number().int(),
    }),
  ),
});

const commandSchema = z.discriminatedUnion('action', [
  z.object({
    action: z.enum(['cut', 'swallow']),
    halves: z.array(z.array(z.string())).length(2),
  }),
  z.object({action: z.literal('heal')}),
]);

type LinkSpec = z.output<typeof settingsSchema>['links'][number];
type LinkMode = 'open' | 'cut' | 'swallow';

/** Relay for the connections that one VM opens to another. */
class Link {
  private mode: LinkMode = 'open';
  private readonly socketPairs = new Set<readonly [Socket, Socket]>();

  constructor(private readonly spec: LinkSpec) {}

  /** Starts listening. */
  listen(): Promise<void> {
    // Without allowHalfOpen, a half-closed connection would be closed fully and
    // lose the data of the other direction.
    const server = createServer({allowHalfOpen: true}, socket => {
      this.accept(socket);
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.spec.listenPort, HOST, resolve);
    });
  }

  /** Returns whether the link connects VMs of different halves. */
  crossesPartition(halves: readonly (readonly string[])[]): boolean {
    const {from, to} = this.spec;
    const halfIndexOf = (vmId: string): number =>
      halves.findIndex(half => half.includes(vmId));
    return halfIndexOf(from) !== halfIndexOf(to);
  }

  /** Sets whether data is forwarded, held back or dropped. */
  setMode(mode: LinkMode): void {
    const previous = this.mode;
    this.mode = mode;
    for (const pair of this.socketPairs) {
      for (const socket of pair) {
        if (previous === 'swallow' && mode === 'open') {
          socket.resetAndDestroy();
        } else if (mode === 'cut') {
          socket.pause();
        } else {
          socket.resume();
        }
      }
    }
  }

  private accept(downstream: Socket): void {
    const upstream = connect({
      host: HOST,
      port: this.spec.targetPort,
      allowHalfOpen: true,
    });
    const pair = [downstream, upstream] as const;
    this.socketPairs.add(pair);
    downstream.setNoDelay(true);
    upstream.setNoDelay(true);
    this.forward(downstream, upstream);
    this.forward(upstream, downstream);
    const closePair = (): void => {
      this.socketPairs.delete(pair);
      downstream.destroy();
      upstream.destroy();
    };
    downstream.on('close', closePair).on('error', closePair);
    upstream.on('close', closePair).on('error', closePair);
    if (this.mode === 'cut') {
      downstream.pause();
      upstream.pause();
    }
  }

  private forward(source: Socket, destination: Socket): void {
    source.on('data', chunk => {
      if (this.mode !== 'swallow') {
        destination.write(chunk);
      }
    });
    source.on('end', () => destination.end());
  }
}

const settings = await readSettings(settingsSchema, 'relay.json');
const links = settings.links.map(spec => new Link(spec));
await Promise.all(links.map(link => link.listen()));

/** Runs a command; returns the number of links that it applies to. */
function runCommand(body: string): number {
  const command = commandSchema.parse(JSON.parse(body));
  const affectedLinks = links.filter(
    link => command.action === 'heal' || link.crossesPartition(command.halves),
  );
  const mode = command.action === 'heal' ? 'open' : command.action;
  affectedLinks.forEach(link => link.setMode(mode));
  return affectedLinks.length;
}

/** Handles a call of the control port. */
async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  try {
    response.end(`${JSON.stringify({links: runCommand(body.toString())})}\n`);
  } catch (error) {
    response.writeHead(400).end(`${String(error)}\n`);
  }
}

createHttpServer((request, response) => {
  handle(request, response).catch(() => request.destroy());
}).listen(settings.controlPort, HOST);
process.stdout.write(`relay: ${links.length} links\n`);
process.on('SIGTERM', () => process.exit(0));
