/**
 * Program: TCP relay between loopback ports. Argument: path of the settings, a
 * JSON file that names the two VMs and the two ports of each link.
 *
 * The control port takes a JSON object by POST. Its `action` is `cut` or
 * `swallow`, for all links between VMs of different `halves` (two lists of VM
 * ids), or `heal` for all links. `cut` holds bytes back and delivers them after
 * the healing, as TCP does after a partition. `swallow` drops them, so that open
 * connections stay silent; these are reset at the healing.
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

/** One direction of who connects to whom. */
class Link {
  private mode: LinkMode = 'open';
  private readonly pairs = new Set<readonly [Socket, Socket]>();

  constructor(private readonly spec: LinkSpec) {}

  /** Starts to listen. */
  listen(): Promise<void> {
    // Without allowHalfOpen an end of one side would cut the other's answer.
    const server = createServer({allowHalfOpen: true}, socket => {
      this.accept(socket);
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.spec.listenPort, HOST, resolve);
    });
  }

  /** True if the link connects VMs of different halves. */
  crosses(halves: readonly (readonly string[])[]): boolean {
    const {from, to} = this.spec;
    const halfOf = (vmId: string): number =>
      halves.findIndex(half => half.includes(vmId));
    return halfOf(from) !== halfOf(to);
  }

  /** Changes what happens to bytes. */
  setMode(mode: LinkMode): void {
    const previous = this.mode;
    this.mode = mode;
    for (const pair of this.pairs) {
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

  private accept(near: Socket): void {
    const far = connect({
      host: HOST,
      port: this.spec.targetPort,
      allowHalfOpen: true,
    });
    const pair = [near, far] as const;
    this.pairs.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    this.forward(near, far);
    this.forward(far, near);
    const end = (): void => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('close', end).on('error', end);
    far.on('close', end).on('error', end);
    if (this.mode === 'cut') {
      near.pause();
      far.pause();
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

/** Runs a command; counts the links that it changed. */
function run(body: string): number {
  const command = commandSchema.parse(JSON.parse(body));
  const affected = links.filter(
    link => command.action === 'heal' || link.crosses(command.halves),
  );
  const mode = command.action === 'heal' ? 'open' : command.action;
  affected.forEach(link => link.setMode(mode));
  return affected.length;
}

/** Answers a call of the control port. */
async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  try {
    response.end(`${JSON.stringify({links: run(body.toString())})}\n`);
  } catch (error) {
    response.writeHead(400).end(`${String(error)}\n`);
  }
}

createHttpServer((request, response) => {
  handle(request, response).catch(() => request.destroy());
}).listen(settings.controlPort, HOST);
process.stdout.write(`relay: ${links.length} links\n`);
process.on('SIGTERM', () => process.exit(0));
