import {Client, credentials, status, type ServiceError} from '@grpc/grpc-js';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {ManualClock} from '../core/index.js';
import {
  shortIdOf,
  type Digest,
  type OwnerDelta,
  type PeerAddress,
} from '../membership/index.js';
import type {PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';
import type {HybridTime} from '../timeline/index.js';
import {FRAME_BYTES, methodOf} from './wire.js';
import {
  MessageStamp,
  PeerClient,
  PeerHandler,
  PeerServer,
  type PeerClientOptions,
  type PeerTraffic,
  type ExchangeAnswer,
  type HandOver,
} from './index.js';

const HOST = '127.0.0.1';
const SERVER_START_MS = 5_000_000;

const DELTA: OwnerDelta = {
  ownerId: undefined,
  ownerShortId: shortIdOf('e-1/b'),
  afterSequence: 3,
  collectedSequence: 2,
  facts: [
    {key: 'state', value: '"ready"', sequence: 5},
    {key: 'heartbeat', value: '7', sequence: 9},
  ],
};

const FIRST_DELTA: OwnerDelta = {
  ...DELTA,
  ownerId: 'e-1/b',
  afterSequence: 0,
};

const DOCUMENT: PublishedDocument = {
  name: 'config',
  version: {
    revision: 3,
    platformVersion: 9,
    platformEra: 2,
    sha256: 'a'.repeat(64),
  },
  body: 'x'.repeat(1_000_000),
};

class RecordingStamp extends MessageStamp {
  readonly observed: HybridTime[] = [];

  override next(): HybridTime {
    return {wallMs: 1_700_000_000_000, counter: 4};
  }

  override observe(time: HybridTime): void {
    this.observed.push(time);
  }
}

class RecordingHandler extends PeerHandler {
  readonly calls: unknown[] = [];

  override exchange(digest: Digest): ExchangeAnswer {
    this.calls.push(digest);
    return {deltas: [DELTA], digest};
  }

  override push(deltas: readonly OwnerDelta[]): void {
    this.calls.push(deltas);
  }

  override claim(request: ClaimRequest): ClaimAnswer {
    this.calls.push(request);
    return {type: 'may-have-run'};
  }

  override settle(settlement: Settlement): void {
    this.calls.push(settlement);
  }

  override handOver(handOver: HandOver): void {
    this.calls.push(handOver);
  }

  override fetchDocument(name: string): PublishedDocument | undefined {
    return name === 'config' ? DOCUMENT : undefined;
  }
}

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) {
    await cleanup();
  }
});

async function startServer(
  port = 0,
  traffic: PeerTraffic = {onMessage: () => undefined},
): Promise<{
  readonly peer: PeerAddress;
  readonly server: PeerServer;
  readonly handler: RecordingHandler;
  readonly stamp: RecordingStamp;
}> {
  const handler = new RecordingHandler();
  const stamp = new RecordingStamp();
  const server = new PeerServer({
    host: HOST,
    port,
    handler,
    clock: new ManualClock({startMs: SERVER_START_MS}),
    stamp,
    traffic,
    onFault: error => assert.fail(String(error)),
  });
  const bound = (await server.start())._unsafeUnwrap();
  cleanups.push(() => server.stop());
  return {peer: {host: HOST, port: bound}, server, handler, stamp};
}

function startClient(overrides: Partial<PeerClientOptions> = {}): PeerClient {
  const client = new PeerClient({
    clock: new ManualClock({startMs: 100}),
    stamp: new RecordingStamp(),
    gossipTimeoutMs: 500,
    ...overrides,
  });
  cleanups.push(() => client.close());
  return client;
}

test('both sides count each message once, with the same size', async () => {
  // Guards against gossip traffic that is missing from the metrics.
  const sizes = (): Map<string, number> => new Map();
  const [atServer, atClient] = [sizes(), sizes()];
  const countIn = (counts: Map<string, number>): PeerTraffic => ({
    onMessage: (direction, call, sizeBytes) => {
      assert.equal(counts.has(`${direction} ${call}`), false);
      counts.set(`${direction} ${call}`, sizeBytes);
    },
  });
  const {peer} = await startServer(0, countIn(atServer));
  const client = startClient({traffic: countIn(atClient)});
  (await client.exchange(peer, new Map([[7, 1]])))._unsafeUnwrap();
  const request = atClient.get('sent Exchange') ?? 0;
  const reply = atClient.get('received Exchange') ?? 0;
  assert.ok(request > FRAME_BYTES && reply > FRAME_BYTES);
  assert.equal(atServer.get('received Exchange'), request);
  assert.equal(atServer.get('sent Exchange'), reply);
});

test('all calls transfer their values, and instants as durations', async () => {
  // Guards against fields lost in transit, and against comparing the clocks of
  // two processes.
  const {peer, handler, stamp} = await startServer();
  const client = startClient();
  const digest = new Map([[2 ** 52 - 1, Number.MAX_SAFE_INTEGER]]);
  const exchange = (await client.exchange(peer, digest))._unsafeUnwrap();
  assert.deepEqual(exchange, {deltas: [DELTA], digest});
  (await client.push(peer, [DELTA, FIRST_DELTA]))._unsafeUnwrap();
  const claim = {
    key: 'k',
    fingerprint: 'f',
    attempt: undefined,
    claimantId: 'e-1/b',
    token: 't',
    deadlineMs: 1_100,
  };
  assert.deepEqual(await client.claim(peer, claim), {type: 'may-have-run'});
  const {key, fingerprint, claimantId, token} = claim;
  const settlement = {key, claimantId, token, verdict: 'ran' as const};
  (await client.settle(peer, settlement))._unsafeUnwrap();
  const record: ClaimRecord = {
    key,
    fingerprint,
    claimantId,
    token,
    state: 'claimed',
    deadlineMs: 90,
    expiresMs: 400,
  };
  const handOver = {records: [record], lastEvictionMs: 60};
  (await client.handOver(peer, handOver))._unsafeUnwrap();
  assert.deepEqual(handler.calls, [
    digest,
    [DELTA, FIRST_DELTA],
    {...claim, deadlineMs: SERVER_START_MS + 1_000},
    settlement,
    {
      records: [
        {
          ...record,
          deadlineMs: SERVER_START_MS - 10,
          expiresMs: SERVER_START_MS + 300,
        },
      ],
      lastEvictionMs: SERVER_START_MS - 40,
    },
  ]);
  assert.equal(stamp.observed.length, 5);
  const fetched = await client.fetchDocument(peer, 'config');
  assert.deepEqual(fetched._unsafeUnwrap(), DOCUMENT);
  const missing = await client.fetchDocument(peer, 'vms');
  assert.equal(missing._unsafeUnwrap(), undefined);
});

const TIME = {wallMs: 1, counter: 0};
const CLAIM = {
  time: TIME,
  key: 'k',
  fingerprint: 'f',
  claimantId: 'e-1/b',
  token: 't',
  remainingMs: 5,
};
const WIRE_DELTA = {
  ownerId: 'e-1/b',
  afterSequence: 0,
  collectedSequence: 0,
  keys: ['a', 'b'],
  values: ['1', '2'],
  sequenceSteps: [1, 1],
};
const invalidMessages: readonly (readonly [
  string,
  'Claim' | 'Push',
  unknown,
])[] = [
  ['bytes that are not a message', 'Push', Buffer.from([0xff, 0xff, 0xff])],
  ['no time', 'Claim', {...CLAIM, time: null}],
  ['an empty key', 'Claim', {...CLAIM, key: ''}],
  ['an empty token', 'Claim', {...CLAIM, token: ''}],
  ['an infinite deadline', 'Claim', {...CLAIM, remainingMs: Infinity}],
  ['a deadline that is not a number', 'Claim', {...CLAIM, remainingMs: NaN}],
  ['lists of unequal length', 'Push', {...WIRE_DELTA, values: ['1']}],
  ['facts out of order', 'Push', {...WIRE_DELTA, sequenceSteps: [1, 0]}],
  ['no owner', 'Push', {...WIRE_DELTA, ownerId: ''}],
  ['an owner without boot id', 'Push', {...WIRE_DELTA, ownerId: 'e-1'}],
  [
    'a sequence that is too large',
    'Push',
    {...WIRE_DELTA, afterSequence: 2 ** 60},
  ],
];

test('an invalid message is rejected and has no effect', async () => {
  // Guards against one faulty peer that corrupts claims or facts.
  const {peer, handler, stamp} = await startServer();
  const address = `${HOST}:${peer.port}`;
  const raw = new Client(address, credentials.createInsecure());
  cleanups.push(() => raw.close());
  for (const [name, call, message] of invalidMessages) {
    const method = methodOf<'Claim' | 'Push'>(call);
    const isDelta = call === 'Push' && !Buffer.isBuffer(message);
    const body = isDelta ? {time: TIME, deltas: [message]} : message;
    const error = await new Promise<ServiceError | null>(resolve => {
      raw.makeUnaryRequest(
        method.path,
        value =>
          Buffer.isBuffer(value)
            ? value
            : method.requestSerialize(value as never),
        method.responseDeserialize,
        body,
        resolve,
      );
    });
    assert.equal(error?.code, status.INVALID_ARGUMENT, name);
  }
  assert.deepEqual([handler.calls, stamp.observed], [[], []]);
});

test('a large hand-over is split without losing records', async () => {
  // Guards against records lost because a message is too large.
  const {peer, handler} = await startServer();
  const records = Array.from({length: 20_000}, (_, i): ClaimRecord => ({
    key: `${i}`.padStart(100, 'k'),
    fingerprint: 'f',
    claimantId: 'e-1/b',
    token: 't',
    state: 'ran',
    deadlineMs: 100,
    expiresMs: 100,
  }));
  const result = await startClient().handOver(peer, {
    records,
    lastEvictionMs: undefined,
  });
  assert.ok(result.isOk());
  const received = (handler.calls as HandOver[]).flatMap(call => call.records);
  assert.ok(handler.calls.length > 1);
  assert.deepEqual(
    received.map(record => record.key),
    records.map(record => record.key),
  );
});

test('the client reconnects to a restarted peer', async () => {
  // Guards against a channel that stays bound to the ended process.
  const first = await startServer();
  const client = startClient();
  assert.ok((await client.push(first.peer, [])).isOk());
  await first.server.stop();
  const failed = await client.push(first.peer, []);
  assert.equal(failed._unsafeUnwrapErr().type, 'unreachable');
  await startServer(first.peer.port);
  assert.ok(await succeedsSoon(() => client.push(first.peer, [])));
});

/** Repeats a call up to 100 times, 50 ms apart, until it succeeds. */
async function succeedsSoon(
  call: () => Promise<{isOk(): boolean}>,
): Promise<boolean> {
  for (let i = 0; i < 100; i++) {
    if ((await call()).isOk()) {
      return true;
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  return false;
}

test('a connection that hangs is replaced by a new one', async () => {
  // Guards against an established connection that never recovers.
  const {peer} = await startServer();
  const sockets: Socket[] = [];
  const relay = createServer(socket => {
    const upstream = connect(peer.port, peer.host);
    socket.on('error', () => upstream.destroy());
    upstream.on('error', () => socket.destroy());
    socket.pipe(upstream).pipe(socket);
    sockets.push(socket, upstream);
  });
  relay.listen(0, HOST);
  await once(relay, 'listening');
  cleanups.push(() => relay.close());
  cleanups.push(() => sockets.forEach(socket => socket.destroy()));
  const {port} = relay.address() as AddressInfo;
  const client = startClient();
  assert.ok((await client.push({host: HOST, port}, [])).isOk());
  sockets.forEach(socket => socket.unpipe().pause());
  const hung = await client.push({host: HOST, port}, []);
  assert.equal(hung._unsafeUnwrapErr().type, 'deadline');
  assert.ok((await client.push({host: HOST, port}, [])).isOk());
});

test('channels are limited in number and closed when a peer leaves', async () => {
  // Guards against connections that accumulate with replaced VMs.
  const servers = [await startServer(), await startServer()];
  const client = startClient({maxChannels: 1});
  for (const {peer} of servers) {
    assert.ok((await client.push(peer, [])).isOk());
    assert.equal(client.channelCount(), 1);
  }
  client.drop(servers[1]!.peer);
  assert.equal(client.channelCount(), 0);
});
