import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {SystemClock} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {LoadReport} from '../routing/index.js';
import {
  LoadProbe,
  OwnTargetProtocol,
  TargetClient,
  type AttemptRequest,
  type TargetResponse,
} from './index.js';

/** A target that hands each request to the test as raw text. */
interface RawTarget {
  readonly port: number;
  readonly server: Server;
  readonly sockets: Socket[];
}

async function startRawTarget(
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

function createClient(t: TestContext): TargetClient {
  const client = new TargetClient({
    clock: new SystemClock(),
    protocol: new OwnTargetProtocol(),
  });
  const timer = setInterval(() => client.tick(), 10);
  t.after(() => {
    clearInterval(timer);
    client.close();
  });
  return client;
}

/** Everything that one attempt reported. */
interface Trace {
  readonly signals: AttemptSignal[];
  response: TargetResponse | undefined;
  readonly final: Promise<AttemptSignal>;
}

function send(
  client: TargetClient,
  port: number,
  overrides: Partial<AttemptRequest> & {maxConnections?: number} = {},
): Trace {
  const {promise, resolve} = withResolvers<AttemptSignal>();
  const trace: Trace = {signals: [], response: undefined, final: promise};
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
      trace.signals.push(signal);
      if (signal.type !== 'sent') {
        trace.response = response;
        resolve(signal);
      }
    },
  });
  return trace;
}

function withResolvers<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>(done => (resolve = done));
  return {promise, resolve};
}

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

test('reports sent before the target can see a byte', async t => {
  // Guards against a request that ran although it counts as not sent.
  let sentFirst = false;
  const {port} = await startRawTarget(t, socket => {
    sentFirst = trace.signals[0]?.type === 'sent';
    socket.write(OK);
  });
  const trace = send(createClient(t), port);
  assert.equal(trace.signals.length, 0);
  assert.equal((await trace.final).type, 'response');
  assert.ok(sentFirst);
  assert.equal(trace.response?.body().toString(), 'ok');
});

const INCOMPLETE = [
  ['short body', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart'],
  [
    'short body, connection: close',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\npart',
  ],
  [
    'open chunk',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart',
  ],
  [
    'no last chunk, connection: close',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n',
  ],
  ['part of the head', 'HTTP/1.1 200 OK\r\ncontent-le'],
  ['nothing', ''],
  ['no HTTP', 'hello\r\n\r\n'],
] as const;

for (const [name, answer] of INCOMPLETE) {
  for (const ending of ['end', 'resetAndDestroy'] as const) {
    test(`${name} then ${ending} is lost, not crashed`, async t => {
      // Guards against a part of an answer that is taken for the whole.
      const {port} = await startRawTarget(t, socket => {
        socket.write(answer, () => setImmediate(() => socket[ending]()));
      });
      const trace = send(createClient(t), port);
      assert.deepEqual(await trace.final, {type: 'lost', crashed: false});
      assert.equal(trace.signals[0]?.type, 'sent');
      assert.equal(trace.response, undefined);
    });
  }
}

test('a body that ends with its connection is whole', async t => {
  // Guards against HTTP/1.0 targets whose answers are never delivered.
  const {port} = await startRawTarget(t, socket => {
    socket.end('HTTP/1.0 200 OK\r\n\r\nwhole');
  });
  const trace = send(createClient(t), port);
  assert.equal((await trace.final).type, 'response');
  assert.equal(trace.response?.body().toString(), 'whole');
});

test('a body without length that a reset ends at once is lost', async t => {
  // Guards against a reset that arrives with the last bytes and looks like the
  // end of the connection.
  const {port} = await startRawTarget(t, socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart');
    socket.resetAndDestroy();
  });
  const trace = send(createClient(t), port);
  assert.deepEqual(await trace.final, {type: 'lost', crashed: false});
  assert.equal(trace.response, undefined);
});

test('a target that stopped listening counts as crashed', async t => {
  // Guards against a poisoned request that goes from target to target.
  const target = await startRawTarget(t, socket => {
    target.server.close();
    socket.resetAndDestroy();
  });
  const trace = send(createClient(t), target.port);
  assert.deepEqual(await trace.final, {type: 'lost', crashed: true});
});

test('a refused connection is unreachable and was never sent', async t => {
  // Guards against refusing a caller an idempotent retry for no reason.
  const target = await startRawTarget(t, () => undefined);
  target.server.close();
  const trace = send(createClient(t), target.port);
  assert.equal((await trace.final).type, 'unreachable');
  assert.equal(trace.signals.length, 1);
});

test('late and swapped answers stay with their attempts', async t => {
  // Guards against callers that get each other's answers.
  const held: (() => void)[] = [];
  const {port} = await startRawTarget(t, (socket, text) => {
    const token = /x-request-token: (\w+)/.exec(text)?.[1] ?? '?';
    held.push(() =>
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n${token}`),
    );
    if (held.length === 3) {
      held.reverse().forEach(answer => answer());
    }
  });
  const client = createClient(t);
  const tokens = ['t1', 't2', 't3'];
  const traces = tokens.map(token =>
    send(client, port, {token, maxConnections: 3}),
  );
  await Promise.all(traces.map(trace => trace.final));
  const bodies = traces.map(trace => trace.response?.body().toString());
  assert.deepEqual(bodies, tokens);
});

test('bytes after a response never answer the next request', async t => {
  // Guards against a surplus answer that is taken for the next one.
  let count = 0;
  const {port} = await startRawTarget(t, socket => {
    count += 1;
    socket.write(count === 1 ? `${OK}${OK.replace('ok', 'xx')}` : OK);
  });
  const client = createClient(t);
  await send(client, port, {maxConnections: 1}).final;
  const second = send(client, port, {token: 'b', maxConnections: 1});
  await second.final;
  assert.notEqual(second.response?.body().toString(), 'xx');
});

test('waits for a connection when the limit is reached', async t => {
  // Guards against more connections than the VM's share.
  const held: Socket[] = [];
  const target = await startRawTarget(t, socket => held.push(socket));
  const client = createClient(t);
  const first = send(client, target.port, {maxConnections: 1});
  const second = send(client, target.port, {token: 'b', maxConnections: 1});
  while (held.length === 0) {
    await new Promise(setImmediate);
  }
  assert.equal(second.signals.length, 0);
  held[0]?.write(OK);
  await first.final;
  while (held.length < 2) {
    await new Promise(setImmediate);
  }
  held[1]?.write(OK);
  assert.equal((await second.final).type, 'response');
  assert.equal(target.sockets.length, 1);
});

test('cancelling tells whether bytes left and closes the connection', async t => {
  // Guards against a cancelled request that is wrongly called not-run.
  const target = await startRawTarget(t, () => client.cancel('a'));
  const client = createClient(t);
  const sent = send(client, target.port, {maxConnections: 1});
  const waiting = send(client, target.port, {token: 'b', maxConnections: 1});
  client.cancel('b');
  assert.deepEqual(await waiting.final, {type: 'cancelled', bytesSent: false});
  assert.deepEqual(await sent.final, {type: 'cancelled', bytesSent: true});
  await once(target.sockets[0]!, 'close');
  client.cancel('a');
  assert.equal(sent.signals.length, 2);
});

test('nothing is written when the attempt is cancelled on sent', async t => {
  // Guards against work that starts although its caller was told not-run.
  const received: (string | undefined)[] = [];
  const {port} = await startRawTarget(t, (socket, text) => {
    received.push(/x-request-token: (\w+)/.exec(text)?.[1]);
    socket.write(OK);
  });
  const client = createClient(t);
  const final = new Promise<AttemptSignal>(resolve => {
    client.send({
      target: {targetId: 't', host: '127.0.0.1', port},
      maxConnections: 1,
      request: {
        token: 'a',
        method: 'POST',
        path: '/',
        headers: [],
        body: Buffer.from('x'),
        freshness: 'proven',
        deadlineMs: performance.now() + 60_000,
        silenceLimitMs: undefined,
      },
      listener: signal =>
        signal.type === 'sent' ? client.cancel('a') : resolve(signal),
    });
  });
  assert.deepEqual(await final, {type: 'cancelled', bytesSent: false});
  const next = send(client, port, {token: 'b', maxConnections: 1});
  assert.equal((await next.final).type, 'response');
  assert.deepEqual(received, ['b']);
});

test('a silent connection fails once another one answered', async t => {
  // Guards against connections that stay up but never answer again.
  let silent: Socket | undefined;
  const target = await startRawTarget(t, (socket, text) => {
    if (text.includes('/silent')) {
      silent = socket;
    }
    if (socket !== silent) {
      socket.write(OK);
    }
  });
  const client = createClient(t);
  await send(client, target.port).final;
  const stuck = send(client, target.port, {
    token: 'stuck',
    path: '/silent',
    silenceLimitMs: 30,
  });
  await new Promise(resolve => setTimeout(resolve, 60));
  assert.equal(stuck.signals.length, 1, 'no other connection answered yet');
  const other = send(client, target.port, {token: 'other'});
  assert.equal((await other.final).type, 'response');
  // Guards against a target that is ejected for one silent connection.
  assert.deepEqual(await stuck.final, {
    type: 'lost',
    crashed: false,
    silent: true,
  });
});

test('a connection closed while idle is not used again', async t => {
  // Guards against a non-idempotent request written to a closed connection.
  const target = await startRawTarget(t, socket => socket.write(OK));
  const client = createClient(t);
  await send(client, target.port).final;
  target.sockets[0]!.end();
  while (client.connectionCount > 0) {
    await new Promise(setImmediate);
  }
  const next = send(client, target.port, {token: 'b', freshness: 'proven'});
  assert.equal((await next.final).type, 'response');
  assert.equal(target.sockets.length, 2);
});

test('an attempt whose deadline passed is not sent', async t => {
  // Guards against work that starts after a pause, too late for its caller.
  const {port} = await startRawTarget(t, socket => socket.write(OK));
  const trace = send(createClient(t), port, {
    deadlineMs: performance.now() - 1,
  });
  assert.deepEqual(await trace.final, {type: 'cancelled', bytesSent: false});
  assert.equal(trace.signals.length, 1);
});

test('a request that undici rejects ends without being sent', async t => {
  // Guards against an endless loop of new connections.
  const {port} = await startRawTarget(t, socket => socket.write(OK));
  const trace = send(createClient(t), port, {path: '/a b'});
  assert.equal((await trace.final).type, 'unreachable');
  assert.equal(trace.signals.length, 1);
});

test('probes read the load and ignore nonsense', async t => {
  // Guards against load that is made up from an ill-formed report.
  const bodies = [
    '{"inFlight":3,"slots":6,"draining":true}',
    '{"inFlight":-1}',
  ];
  const {port} = await startRawTarget(t, socket => {
    const body = bodies.shift() ?? '';
    socket.write(
      `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  });
  const client = createClient(t);
  const probe = new LoadProbe({clock: new SystemClock(), client});
  const address = {targetId: 't', host: '127.0.0.1', port};
  const report = await new Promise<LoadReport>(resolve => {
    probe.probe(address, 2, resolve);
  });
  assert.equal(report.inFlight, 3);
  assert.equal(report.draining, true);
  probe.probe(address, 2, () => assert.fail('ill-formed report was used'));
  await send(client, port, {token: 'after', maxConnections: 1}).final;
});
