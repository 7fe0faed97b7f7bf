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

/** Reader and document stores, connected as in a daemon. */
class ReaderFixture {
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

  /** Waits until a condition holds or the test times out. */
  async waitFor(condition: () => boolean): Promise<void> {
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

test('a watch delivers a new publication', limits, async t => {
  // Guards against published presets that never reach a VM (invariant I7).
  const {platform, baseUrl} = await startPlatform(t);
  const fixture = new ReaderFixture(t, [baseUrl]);
  await fixture.waitFor(() => fixture.revision === 1 && !!fixture.vms.adopted);
  platform.publish('config', sampleConfig(2));
  await fixture.waitFor(() => fixture.revision === 2);
  // The counts agree once both open watches have arrived at the platform.
  await fixture.waitFor(() => platform.calls().pending === 2);
  const {byReader, total} = platform.calls();
  assert.deepEqual(Object.keys(byReader), ['sycamorepitch/e-01']);
  assert.equal(total, fixture.reader.callCounts().calls);
  await fixture.reader.stop();
  assert.equal(fixture.reader.started, false);
});

test(
  'the reader keeps its documents in an outage and recovers after it',
  limits,
  async t => {
    // Guards against a reader that stops calling, or a VM that drops its
    // presets.
    const {platform, baseUrl} = await startPlatform(t);
    const fixture = new ReaderFixture(t, [baseUrl]);
    await fixture.waitFor(() => fixture.revision === 1);
    for (const mode of ['outage', 'error', 'malformed'] as const) {
      const errorCount = fixture.errors.length;
      platform.setMode({mode});
      await fixture.waitFor(() => fixture.errors.length > errorCount);
      assert.equal(fixture.revision, 1);
    }
    platform.publish('config', sampleConfig(2));
    platform.setMode({mode: 'normal'});
    await fixture.waitFor(() => fixture.revision === 2);
  },
);

test('stale responses do not revert a document', limits, async t => {
  // Guards against a stale response that puts an old preset in force.
  const {platform, baseUrl} = await startPlatform(t);
  platform.publish('config', sampleConfig(2));
  const fixture = new ReaderFixture(t, [baseUrl]);
  await fixture.waitFor(() => fixture.revision === 2);
  const {documents} = fixture.reader.callCounts();
  platform.setMode({mode: 'stale'});
  await fixture.waitFor(
    () => fixture.reader.callCounts().documents > documents + 2,
  );
  assert.equal(fixture.revision, 2);
  platform.publish('config', sampleConfig(3));
  platform.setMode({mode: 'normal'});
  await fixture.waitFor(() => fixture.revision === 3);
});

test(
  'the later of two racing publications wins on all readers',
  limits,
  async t => {
    // Guards against readers that adopt different publications of one revision.
    const {platform, baseUrl} = await startPlatform(t);
    const fixtures = [1, 2, 3].map(() => new ReaderFixture(t, [baseUrl]));
    await Promise.all(
      fixtures.map(fixture => fixture.waitFor(() => fixture.revision === 1)),
    );
    platform.publish('config', sampleConfig(2));
    const rival = sampleConfig(2, {queueCapacity: 9});
    const platformVersion = platform.publish('config', rival);
    const isRival = (fixture: ReaderFixture): boolean =>
      fixture.config.adopted?.published.version.platformVersion ===
      platformVersion;
    await Promise.all(
      fixtures.map(fixture => fixture.waitFor(() => isRival(fixture))),
    );
    for (const fixture of fixtures) {
      assert.equal(fixture.config.adopted?.published.body, rival);
    }
  },
);

test(
  'a malformed document is refused and the next one adopted',
  limits,
  async t => {
    // Guards against a reader stuck on a document that no VM can use.
    const {platform, baseUrl} = await startPlatform(t);
    const fixture = new ReaderFixture(t, [baseUrl]);
    await fixture.waitFor(() => fixture.revision === 1);
    platform.publish('config', '{"revision": 2, ');
    await fixture.waitFor(() => fixture.config.status(0).refused.length === 1);
    assert.equal(fixture.revision, 1);
    platform.publish('config', sampleConfig(3));
    await fixture.waitFor(() => fixture.revision === 3);
  },
);

test(
  'responses that violate the protocol yield typed errors',
  limits,
  async t => {
    // Guards against a body that exhausts the memory or is not UTF-8.
    const listeners: readonly RequestListener[] = [
      (_, response) => response.end('{}'),
      (_, response) =>
        response.setHeader('x-platform-version', '1e3').end('{}'),
      (_, response) =>
        response.setHeader('x-platform-version', 1).end(Buffer.from([0xff])),
      (_, response) =>
        response
          .setHeader('x-platform-version', 1)
          .end(Buffer.alloc(2 * 1024 * 1024, 32)),
      (_, response) => response.writeHead(302, {location: '/'}).end(),
      (_, response) => response.writeHead(304).end(),
    ];
    for (const listener of listeners) {
      const fixture = new ReaderFixture(t, [await startServer(t, listener)]);
      await fixture.waitFor(() => fixture.errors.length > 0);
      assert.equal(fixture.errors[0]?.type, 'malformed-answer');
      assert.equal(fixture.reader.callCounts().documents, 0);
      await fixture.reader.stop();
    }
  },
);

test(
  'the reader switches to the next base URL after an error',
  limits,
  async t => {
    // Guards against a reader that keeps calling an unreachable address.
    const {baseUrl} = await startPlatform(t);
    const dead = await startServer(t, request => request.destroy());
    const fixture = new ReaderFixture(t, [dead, baseUrl]);
    await fixture.waitFor(
      () => fixture.revision === 1 && !!fixture.vms.adopted,
    );
  },
);

test(
  'publications of a restored platform arrive, though their versions were given out before',
  limits,
  async t => {
    // Guards against a watch of a version that the platform has lost.
    const {platform, baseUrl} = await startPlatform(t);
    const fixture = new ReaderFixture(t, [baseUrl]);
    const list = (state: string): string =>
      JSON.stringify({
        vms: [
          {
            id: 't-1',
            role: 'target',
            service: 's',
            host: '10.0.0.1',
            port: 80,
            failureDomain: 'a',
            state,
          },
        ],
      });
    const stateInUse = (): string | undefined =>
      fixture.vms.adopted?.document.vms[0]?.state;
    const copied = platform.publish('vms', list('live'));
    platform.publish('config', sampleConfig(2));
    platform.publish('vms', list('leaving'));
    await fixture.waitFor(
      () => fixture.revision === 2 && stateInUse() === 'leaving',
    );
    platform.setMode({restoreTo: copied});
    platform.publish('config', sampleConfig(3));
    await fixture.waitFor(() => fixture.revision === 3);
    await fixture.waitFor(() => fixture.vms.status(0).platformEra === 2);
    assert.equal(stateInUse(), 'leaving');
    platform.publish('vms', list('live'));
    await fixture.waitFor(() => stateInUse() === 'live');
  },
);

test('a lagging platform delays the VM list', limits, async t => {
  // Guards against a simulated platform whose lag does not affect readers.
  const {platform, baseUrl} = await startPlatform(t);
  platform.setMode({vmsLagMs: 3_600_000});
  const fixture = new ReaderFixture(t, [baseUrl], {watchMs: 50});
  await fixture.waitFor(
    () => fixture.errors.length > 0 && fixture.revision === 1,
  );
  assert.equal(fixture.vms.adopted, undefined);
  platform.setMode({vmsLagMs: 0});
  await fixture.waitFor(() => fixture.vms.adopted !== undefined);
});

test('the call rate is bounded for any sequence of outcomes', () => {
  // Guards against a fleet that exceeds the platform's rate limit (invariant
  // I1).
  const position = fc.record({
    platformEra: fc.nat(3),
    platformVersion: fc.nat(),
  });
  const outcome = fc.oneof(
    fc.constantFrom<CallOutcome>({type: 'unchanged'}, {type: 'failed'}),
    fc.constant({type: 'history-lost'} as const),
    position.map(version => ({type: 'newer', version}) as const),
    position.map(version => ({type: 'not-newer', version}) as const),
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
        schedule.recordStart(call, call.startMs);
        nowMs = call.startMs + durationMs;
        schedule.recordOutcome(result, nowMs);
      }
    }),
    {seed: 31},
  );
});
