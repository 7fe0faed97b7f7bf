import assert from 'node:assert/strict';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {SeededRandom, SystemClock} from '../core/index.js';
import {
  createConfigStore,
  createVmListStore,
  type DocumentStore,
} from '../preset/index.js';
import {sampleConfig} from '../preset/sample_documents.js';
import {PlatformServer} from '../standins/platform_server.js';
import {
  MAX_WATCH_MS,
  MIN_CALL_SPACING_MS,
  PlatformReader,
  WatchSchedule,
  type CallOutcome,
  type PlatformError,
} from './index.js';

const clock = new SystemClock();

/** A reader with its stores, as a daemon wires them. */
class ReaderBench {
  readonly config = createConfigStore();
  readonly vms = createVmListStore();
  readonly errors: PlatformError[] = [];
  readonly reader: PlatformReader;

  constructor(
    private readonly t: TestContext,
    baseUrls: readonly string[],
    options: {readonly watchMs?: number} = {},
  ) {
    this.reader = new PlatformReader({
      baseUrls,
      vmId: 'e-01',
      clock,
      random: new SeededRandom({seed: 5}),
      listener: {
        onDocument: document => {
          const store: DocumentStore<unknown> = this[document.name];
          store.offer(document, clock.nowMs());
        },
        onError: (_, error) => {
          this.errors.push(error);
        },
      },
      ...options,
    });
    t.after(() => this.reader.stop());
    this.reader.start();
  }

  get revision(): number | undefined {
    return this.config.adopted?.published.version.revision;
  }

  /** Waits until a condition holds; the test's timeout bounds it. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await sleep(5, undefined, {signal: this.t.signal});
    }
  }
}

async function startPlatform(
  t: TestContext,
): Promise<{readonly platform: PlatformServer; readonly baseUrl: string}> {
  const platform = new PlatformServer({clock});
  const baseUrl = await platform.listen('127.0.0.1', 0);
  t.after(() => platform.close());
  platform.publish('config', sampleConfig(1));
  platform.publish('vms', '{"vms": []}');
  return {platform, baseUrl};
}

async function startServer(
  t: TestContext,
  listener: RequestListener,
): Promise<string> {
  const server: Server = createServer(listener);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const limits = {timeout: 30_000};

test('a watch delivers a publication', limits, async t => {
  // Guards against presets that are never noticed (invariant I7).
  const {platform, baseUrl} = await startPlatform(t);
  const bench = new ReaderBench(t, [baseUrl]);
  await bench.until(() => bench.revision === 1 && !!bench.vms.adopted);
  platform.publish('config', sampleConfig(2));
  await bench.until(() => bench.revision === 2);
  // Both counts agree once the open watches have arrived at the platform.
  await bench.until(() => platform.calls().pending === 2);
  const {byReader, total} = platform.calls();
  assert.deepEqual(Object.keys(byReader), ['sycamorepitch/e-01']);
  assert.equal(total, bench.reader.callCounts().calls);
  await bench.reader.stop();
  assert.equal(bench.reader.started, false);
});

test('an outage loses nothing and ends by itself', limits, async t => {
  // Guards against a reader that gives up, or a VM that drops its presets.
  const {platform, baseUrl} = await startPlatform(t);
  const bench = new ReaderBench(t, [baseUrl]);
  await bench.until(() => bench.revision === 1);
  for (const mode of ['outage', 'error', 'malformed'] as const) {
    const errorCount = bench.errors.length;
    platform.setMode({mode});
    await bench.until(() => bench.errors.length > errorCount);
    assert.equal(bench.revision, 1);
  }
  platform.publish('config', sampleConfig(2));
  platform.setMode({mode: 'normal'});
  await bench.until(() => bench.revision === 2);
});

test('a stale platform reverts nothing', limits, async t => {
  // Guards against an old answer that puts an old preset in force.
  const {platform, baseUrl} = await startPlatform(t);
  platform.publish('config', sampleConfig(2));
  const bench = new ReaderBench(t, [baseUrl]);
  await bench.until(() => bench.revision === 2);
  const {documents} = bench.reader.callCounts();
  platform.setMode({mode: 'stale'});
  await bench.until(() => bench.reader.callCounts().documents > documents + 2);
  assert.equal(bench.revision, 2);
  platform.publish('config', sampleConfig(3));
  platform.setMode({mode: 'normal'});
  await bench.until(() => bench.revision === 3);
});

test('racing publications end with the later one', limits, async t => {
  // Guards against readers that keep different ones of two publications.
  const {platform, baseUrl} = await startPlatform(t);
  const benches = [1, 2, 3].map(() => new ReaderBench(t, [baseUrl]));
  await Promise.all(benches.map(b => b.until(() => b.revision === 1)));
  platform.publish('config', sampleConfig(2));
  const rival = sampleConfig(2, {queueCapacity: 9});
  const platformVersion = platform.publish('config', rival);
  const isRival = (bench: ReaderBench): boolean =>
    bench.config.adopted?.published.version.platformVersion === platformVersion;
  await Promise.all(benches.map(bench => bench.until(() => isRival(bench))));
  for (const bench of benches) {
    assert.equal(bench.config.adopted?.published.body, rival);
  }
});

test(
  'a malformed document is kept out and the next one taken',
  limits,
  async t => {
    // Guards against a reader stuck on a document that no VM can use.
    const {platform, baseUrl} = await startPlatform(t);
    const bench = new ReaderBench(t, [baseUrl]);
    await bench.until(() => bench.revision === 1);
    platform.publish('config', '{"revision": 2, ');
    await bench.until(() => bench.config.status(0).refused.length === 1);
    assert.equal(bench.revision, 1);
    platform.publish('config', sampleConfig(3));
    await bench.until(() => bench.revision === 3);
  },
);

test('answers that break the protocol are typed errors', limits, async t => {
  // Guards against a body that fills the memory or is no text at all.
  const answers: readonly RequestListener[] = [
    (_, response) => response.end('{}'),
    (_, response) => response.setHeader('x-platform-version', '1e3').end('{}'),
    (_, response) =>
      response.setHeader('x-platform-version', 1).end(Buffer.from([0xff])),
    (_, response) =>
      response
        .setHeader('x-platform-version', 1)
        .end(Buffer.alloc(2 * 1024 * 1024, 32)),
    (_, response) => response.writeHead(302, {location: '/'}).end(),
    (_, response) => response.writeHead(304).end(),
  ];
  for (const answer of answers) {
    const bench = new ReaderBench(t, [await startServer(t, answer)]);
    await bench.until(() => bench.errors.length > 0);
    assert.equal(bench.errors[0]?.type, 'malformed-answer');
    assert.equal(bench.reader.callCounts().documents, 0);
    await bench.reader.stop();
  }
});

test('the next base URL is used after an error', limits, async t => {
  // Guards against a reader that stays with a dead platform address.
  const {baseUrl} = await startPlatform(t);
  const dead = await startServer(t, request => request.destroy());
  const bench = new ReaderBench(t, [dead, baseUrl]);
  await bench.until(() => bench.revision === 1 && !!bench.vms.adopted);
});

test('the list of VMs arrives late when the platform lags', limits, async t => {
  // Guards against a stand-in whose lag does not act on readers.
  const {platform, baseUrl} = await startPlatform(t);
  platform.setMode({vmsLagMs: 3_600_000});
  const bench = new ReaderBench(t, [baseUrl], {watchMs: 50});
  await bench.until(() => bench.errors.length > 0 && bench.revision === 1);
  assert.equal(bench.vms.adopted, undefined);
  platform.setMode({vmsLagMs: 0});
  await bench.until(() => bench.vms.adopted !== undefined);
});

test('the call rate is bounded whatever the platform answers', () => {
  // Guards against a fleet that exceeds the platform's limit (invariant I1).
  const outcome = fc.oneof(
    fc.constantFrom<CallOutcome>({type: 'unchanged'}, {type: 'failed'}),
    fc.nat().map(v => ({type: 'newer', platformVersion: v}) as const),
    fc.nat().map(v => ({type: 'not-newer', platformVersion: v}) as const),
  );
  const step = fc.record({outcome, durationMs: fc.nat(MAX_WATCH_MS)});
  fc.assert(
    fc.property(fc.array(step), fc.integer(), (steps, seed) => {
      const schedule = new WatchSchedule(new SeededRandom({seed}));
      let nowMs = 0;
      let lastStartMs = -Infinity;
      let lastReadMs = 0;
      for (const {outcome: result, durationMs} of steps) {
        const call = schedule.next(nowMs);
        assert.ok(call.startMs >= nowMs);
        assert.ok(call.startMs - lastStartMs >= MIN_CALL_SPACING_MS);
        assert.ok(call.startMs - nowMs <= 5_000, 'a delay stays short');
        lastReadMs = call.after === undefined ? call.startMs : lastReadMs;
        assert.ok(call.startMs - lastReadMs < 60_000, 'no read for a minute');
        lastStartMs = call.startMs;
        schedule.onStart(call, call.startMs);
        nowMs = call.startMs + durationMs;
        schedule.onOutcome(result, nowMs);
      }
    }),
    {seed: 31},
  );
});
