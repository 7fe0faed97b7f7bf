/**
 * Measures the cost of the request path: direct calls, plain proxies and the
 * daemon.
 *
 * Each part is a separate process, started by `request_path.sh`. All variants
 * are measured in turn in many short rounds of one run, so that other load on
 * the machine affects all of them. The processor time is that of the process
 * between the caller and the target (of the target for direct calls). It
 * includes periodic work, whose share per request is larger at a low rate.
 *
 * @packageDocumentation
 */
import {readFileSync} from 'node:fs';
import {
  Agent as HttpAgent,
  createServer,
  request as httpRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {loadavg} from 'node:os';
import {build, type Histogram} from 'hdr-histogram-js';
import restify from 'restify';
import {Pool} from 'undici';
import {SeededRandom} from '../src/core/index.js';

const HOST = '127.0.0.1';
const BODY = 'x'.repeat(1_024);
const MAX_CONNECTIONS = 64;
const WARM_UP_REQUESTS = 2_000;
const MICROSECONDS_PER_MS = 1_000;
/** Unit of the times in /proc/PID/stat: USER_HZ is 100 on Linux. */
const MS_PER_CLOCK_TICK = 10;
const PERCENTILES = [50, 99, 99.9];

/** Returns a handler that forwards with undici and buffers responses. */
function forwardWithUndici(pool: Pool) {
  return (
    request: IncomingMessage,
    response: ServerResponse,
    done: () => void = () => undefined,
  ): void => {
    pool
      .request({path: request.url ?? '/', method: 'GET'})
      .then(async targetResponse => {
        const body = Buffer.from(await targetResponse.body.arrayBuffer());
        response.writeHead(targetResponse.statusCode, {
          'content-length': body.length,
          'x-verdict': 'ran',
        });
        response.end(body);
        done();
      })
      .catch(() => response.destroy());
  };
}

/** Returns a handler that forwards with node:http and buffers responses. */
function forwardWithHttp(agent: HttpAgent, port: number) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    const {url} = request;
    const outgoing = httpRequest(
      {host: HOST, port, path: url, agent},
      targetResponse => {
        const chunks: Buffer[] = [];
        targetResponse.on('data', (chunk: Buffer) => chunks.push(chunk));
        targetResponse.on('end', () => {
          const body = Buffer.concat(chunks);
          response.writeHead(targetResponse.statusCode ?? 502, {
            'content-length': body.length,
            'x-verdict': 'ran',
          });
          response.end(body);
        });
      },
    );
    outgoing.on('error', () => response.destroy());
    outgoing.end();
  };
}

function serveTarget(port: number): void {
  createServer((request, response) => {
    const isLoadRequest = request.url === '/load';
    const body = isLoadRequest
      ? '{"inFlight":0,"slots":64,"draining":false}'
      : BODY;
    response.writeHead(200, {'content-length': body.length});
    response.end(body);
  }).listen(port, HOST);
}

function serveProxy(type: string, port: number, targetPort: number): void {
  const pool = new Pool(`http://${HOST}:${targetPort}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
  });
  if (type === 'http-http') {
    const agent = new HttpAgent({keepAlive: true, maxSockets: MAX_CONNECTIONS});
    createServer(forwardWithHttp(agent, targetPort)).listen(port, HOST);
  } else if (type === 'http-undici') {
    const forward = forwardWithUndici(pool);
    createServer((request, response) => forward(request, response)).listen(
      port,
      HOST,
    );
  } else {
    const server = restify.createServer();
    const forward = forwardWithUndici(pool);
    server.get('/*', (request, response, next) => {
      forward(request, response, next);
    });
    server.listen(port, HOST);
  }
}

/** Request path to the target. */
interface Variant {
  readonly name: string;
  readonly port: number;
  /** Process between caller and target; that of the target for direct calls. */
  readonly pid: number;
}

/** Load of one table. */
interface Load {
  readonly connections: number;
  readonly ratePerSecond: number;
}

/** Figures of one variant in one round. */
interface RoundFigures {
  readonly sentCount: number;
  readonly failedCount: number;
  /** p50, p99 and p99.9 in microseconds. */
  readonly percentilesUs: readonly number[];
  readonly processorMs: number;
}

/** Returns the user and system time of a process, in milliseconds. */
function readProcessorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The program name, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_CLOCK_TICK;
}

/**
 * Sends requests at Poisson arrival times and records their latencies from the
 * planned arrival. Returns the number of failed requests.
 */
async function sendArrivals(options: {
  readonly pool: Pool;
  readonly random: SeededRandom;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly histogram: Histogram;
}): Promise<number> {
  const {pool, random, ratePerSecond, durationMs, histogram} = options;
  const startMs = performance.now();
  const pending: Promise<void>[] = [];
  let failedCount = 0;
  let plannedMs = startMs;
  for (;;) {
    plannedMs += (-Math.log(1 - random.nextFloat()) * 1_000) / ratePerSecond;
    if (plannedMs - startMs > durationMs) {
      break;
    }
    while (performance.now() < plannedMs) {
      // Sleeping would add up to 1 ms to each planned arrival.
      await new Promise(setImmediate);
    }
    const arrivalMs = plannedMs;
    pending.push(
      sendRequest(pool).then(isComplete => {
        const latencyMs = performance.now() - arrivalMs;
        histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
        failedCount += isComplete ? 0 : 1;
      }),
    );
  }
  await Promise.all(pending);
  return failedCount;
}

async function sendRequest(pool: Pool): Promise<boolean> {
  try {
    const response = await pool.request({
      path: '/price',
      method: 'GET',
      headers: {'x-service': 'bench'},
    });
    const body = await response.body.text();
    return response.statusCode === 200 && body === BODY;
  } catch {
    return false;
  }
}

/** Measures one variant for one round. */
async function measureRound(options: {
  readonly variant: Variant;
  readonly pool: Pool;
  readonly load: Load;
  readonly random: SeededRandom;
  readonly durationMs: number;
}): Promise<RoundFigures> {
  const {variant, pool, load, random, durationMs} = options;
  const histogram = build({highestTrackableValue: 60_000_000});
  const processorStartMs = readProcessorMs(variant.pid);
  const failedCount = await sendArrivals({
    pool,
    random,
    ratePerSecond: load.ratePerSecond,
    durationMs,
    histogram,
  });
  return {
    sentCount: histogram.totalCount,
    failedCount,
    percentilesUs: PERCENTILES.map(p => histogram.getValueAtPercentile(p)),
    processorMs: readProcessorMs(variant.pid) - processorStartMs,
  };
}

/** Measures all variants in turn, each once per round. */
async function measureLoad(options: {
  readonly variants: readonly Variant[];
  readonly load: Load;
  readonly seed: number;
  readonly durationMs: number;
  readonly rounds: number;
}): Promise<ReadonlyMap<string, readonly RoundFigures[]>> {
  const {variants, load, seed, durationMs, rounds} = options;
  const figures = new Map<string, RoundFigures[]>();
  const pools = new Map<string, Pool>();
  // All variants get the same arrivals.
  const randoms = variants.map(() => new SeededRandom({seed}));
  for (const {name, port} of variants) {
    const {connections} = load;
    const pool = new Pool(`http://${HOST}:${port}`, {
      connections,
      pipelining: 1,
    });
    figures.set(name, []);
    pools.set(name, pool);
    for (let i = 0; i < WARM_UP_REQUESTS / connections; i++) {
      await Promise.all(
        Array.from({length: connections}, () => sendRequest(pool)),
      );
    }
  }
  for (let round = 0; round < rounds; round++) {
    for (let i = 0; i < variants.length; i++) {
      // Each round starts with a different variant.
      const index = (i + round) % variants.length;
      const variant = variants[index];
      const random = randoms[index];
      const pool = pools.get(variant?.name ?? '');
      if (variant === undefined || random === undefined || !pool) {
        continue;
      }
      const options = {variant, pool, load, random, durationMs};
      figures.get(variant.name)?.push(await measureRound(options));
    }
  }
  await Promise.all([...pools.values()].map(pool => pool.close()));
  return figures;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted.length >> 1;
  const lower = (sorted.length - 1) >> 1;
  return ((sorted[lower] ?? 0) + (sorted[upper] ?? 0)) / 2;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function printTable(
  load: Load,
  figures: ReadonlyMap<string, readonly RoundFigures[]>,
): void {
  const {connections, ratePerSecond} = load;
  process.stdout.write(
    `\nconnections ${connections}, ${ratePerSecond} requests/s, load average ${loadavg()[0]?.toFixed(1)}\n`,
  );
  process.stdout.write(
    'variant, sent, failed, p50 us, p99 us, p99.9 us, added p50 us, added p99 us, added p99.9 us, processor us/request\n',
  );
  const direct = figures.get('direct') ?? [];
  for (const [name, rounds] of figures) {
    const own = PERCENTILES.map((_, p) =>
      median(rounds.map(round => round.percentilesUs[p] ?? 0)),
    );
    const added = PERCENTILES.map((_, p) =>
      median(
        rounds.map(
          (round, i) =>
            (round.percentilesUs[p] ?? 0) - (direct[i]?.percentilesUs[p] ?? 0),
        ),
      ),
    );
    const sentCount = sum(rounds.map(round => round.sentCount));
    const failedCount = sum(rounds.map(round => round.failedCount));
    const processorMs = sum(rounds.map(round => round.processorMs));
    const processorUs = (processorMs * MICROSECONDS_PER_MS) / sentCount;
    const columns = [...own, ...added, processorUs].map(us => us.toFixed(0));
    process.stdout.write(
      `${[name, sentCount, failedCount, ...columns].join(', ')}\n`,
    );
  }
}

function readVariant(text: string): Variant {
  const [name = '', port, pid] = text.split('=');
  return {name, port: Number(port), pid: Number(pid)};
}

function readLoads(text: string): readonly Load[] {
  return text.split(',').map(entry => {
    const [connections, ratePerSecond] = entry.split(':').map(Number);
    return {connections: connections ?? 1, ratePerSecond: ratePerSecond ?? 0};
  });
}

async function runLoads(args: readonly string[]): Promise<void> {
  const [seedText, secondsText, roundsText, loadsText = '', ...rest] = args;
  const seed = Number(seedText);
  const rounds = Number(roundsText);
  process.stdout.write(
    `seed ${seed}, ${rounds} rounds of ${secondsText} s for each variant, body ${BODY.length} bytes\n` +
      'Medians over the rounds; added: difference to direct in the same round.\n',
  );
  const variants = rest.map(readVariant);
  for (const load of readLoads(loadsText)) {
    const durationMs = Number(secondsText) * 1_000;
    const options = {variants, load, seed, durationMs, rounds};
    printTable(load, await measureLoad(options));
  }
}

const [part = '', ...rest] = process.argv.slice(2);
if (part === 'target') {
  serveTarget(Number(rest[0]));
} else if (part === 'load') {
  await runLoads(rest);
} else {
  serveProxy(part, Number(rest[0]), Number(rest[1]));
}
