/**
 * Cost of the request path: direct calls, plain proxies and the daemon.
 *
 * Each part is a process of its own, started by `request_path.sh`. All variants
 * are measured in one run, in turn, in several rounds.
 *
 * @packageDocumentation
 */
import {
  Agent as HttpAgent,
  createServer,
  request as httpRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import restify from 'restify';
import {Pool} from 'undici';
import {SeededRandom} from '../src/core/index.js';

const HOST = '127.0.0.1';
const BODY = 'x'.repeat(1_024);
const CONNECTIONS = 64;
const WARM_UP_REQUESTS = 2_000;
const MICROSECONDS_PER_MS = 1_000;

/** Passes the request on with undici and buffers the answer. */
function passWithUndici(pool: Pool) {
  return (
    request: IncomingMessage,
    response: ServerResponse,
    done: () => void = () => undefined,
  ): void => {
    pool
      .request({path: request.url ?? '/', method: 'GET'})
      .then(async answer => {
        const body = Buffer.from(await answer.body.arrayBuffer());
        response.writeHead(answer.statusCode, {
          'content-length': body.length,
          'x-verdict': 'ran',
        });
        response.end(body);
        done();
      })
      .catch(() => response.destroy());
  };
}

/** Passes the request on with node:http and buffers the answer. */
function passWithHttp(agent: HttpAgent, port: number) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    const {url} = request;
    const outgoing = httpRequest(
      {host: HOST, port, path: url, agent},
      answer => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('end', () => {
          const body = Buffer.concat(chunks);
          response.writeHead(answer.statusCode ?? 502, {
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
    const load = request.url === '/load';
    const body = load ? '{"inFlight":0,"slots":64,"draining":false}' : BODY;
    response.writeHead(200, {'content-length': body.length});
    response.end(body);
  }).listen(port, HOST);
}

function serveProxy(type: string, port: number, targetPort: number): void {
  const pool = new Pool(`http://${HOST}:${targetPort}`, {
    connections: CONNECTIONS,
    pipelining: 1,
  });
  if (type === 'http-http') {
    const agent = new HttpAgent({keepAlive: true, maxSockets: CONNECTIONS});
    createServer(passWithHttp(agent, targetPort)).listen(port, HOST);
  } else if (type === 'http-undici') {
    const pass = passWithUndici(pool);
    createServer((request, response) => pass(request, response)).listen(
      port,
      HOST,
    );
  } else {
    const server = restify.createServer();
    const pass = passWithUndici(pool);
    server.get('/*', (request, response, next) => {
      pass(request, response, next);
    });
    server.listen(port, HOST);
  }
}

/** Sends Poisson arrivals; latency runs from the planned arrival. */
async function measure(options: {
  readonly pool: Pool;
  readonly random: SeededRandom;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly histogram: Histogram;
}): Promise<number> {
  const {pool, random, ratePerSecond, durationMs, histogram} = options;
  const startMs = performance.now();
  const open: Promise<void>[] = [];
  let failures = 0;
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
    open.push(
      sendOne(pool).then(whole => {
        const tookMs = performance.now() - arrivalMs;
        histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
        failures += whole ? 0 : 1;
      }),
    );
  }
  await Promise.all(open);
  return failures;
}

async function sendOne(pool: Pool): Promise<boolean> {
  try {
    const answer = await pool.request({
      path: '/price',
      method: 'GET',
      headers: {'x-service': 'bench'},
    });
    const body = await answer.body.text();
    return answer.statusCode === 200 && body === BODY;
  } catch {
    return false;
  }
}

async function runLoad(args: readonly string[]): Promise<void> {
  const [seedText, rateText, secondsText, roundsText, ...variants] = args;
  const seed = Number(seedText);
  const rounds = Number(roundsText);
  const entries = variants.map(variant => {
    const [name = '', port = ''] = variant.split('=');
    const pool = new Pool(`http://${HOST}:${port}`, {
      connections: CONNECTIONS,
      pipelining: 1,
    });
    const histogram = build({highestTrackableValue: 60_000_000});
    return {name, pool, histogram, failures: 0};
  });
  for (const {pool} of entries) {
    for (let i = 0; i < WARM_UP_REQUESTS; i++) {
      await sendOne(pool);
    }
  }
  for (let round = 0; round < rounds; round++) {
    for (const entry of entries) {
      entry.failures += await measure({
        pool: entry.pool,
        random: new SeededRandom({seed: seed + round}),
        ratePerSecond: Number(rateText),
        durationMs: Number(secondsText) * 1_000,
        histogram: entry.histogram,
      });
      await sleep(200);
    }
  }
  process.stdout.write(
    `seed ${seed}, ${rateText} requests/s, ${rounds} rounds of ${secondsText} s each, body ${BODY.length} bytes\n`,
  );
  process.stdout.write('variant, count, failed, p50 us, p99 us, p99.9 us\n');
  for (const {name, pool, histogram, failures} of entries) {
    const figures = [50, 99, 99.9].map(p => histogram.getValueAtPercentile(p));
    process.stdout.write(
      `${[name, histogram.totalCount, failures, ...figures].join(', ')}\n`,
    );
    await pool.close();
  }
}

const [part = '', ...rest] = process.argv.slice(2);
if (part === 'target') {
  serveTarget(Number(rest[0]));
} else if (part === 'load') {
  await runLoad(rest);
} else {
  serveProxy(part, Number(rest[0]), Number(rest[1]));
}
