import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MemoryBudget} from '../memory/index.js';
import {TargetResponse} from '../target_http/index.js';
import {
  completeResponse,
  echo,
  HOST,
  sendRaw,
  startServer,
  type CallerServerFixture,
} from './caller_server_fixture.js';

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\n${HOST}\r\n`;
}

/** Waits until a number of requests was passed on. */
async function waitForRequests(
  {exchanges}: CallerServerFixture,
  count: number,
): Promise<void> {
  while (exchanges.length < count) {
    await new Promise(setImmediate);
  }
}

/** Returns the paths that echoed responses name, in order. */
function pathsOf(received: string): readonly string[] {
  return received.match(/^\/\d+/gm) ?? [];
}

/** Sends two requests, of which neither is answered yet. */
async function sendTwo(fixture: CallerServerFixture): Promise<{
  readonly socket: Socket;
  /** What is received until the connection closes. */
  readonly received: Promise<string>;
}> {
  const socket = connect(fixture.port, '127.0.0.1');
  let text = '';
  socket.on('data', data => (text += data.toString()));
  const received = once(socket, 'close').then(() => text);
  socket.write(get('/1') + get('/2'));
  await waitForRequests(fixture, 2);
  return {socket, received};
}

test('a stop answers the requests behind the first one', async t => {
  // Guards against the close of a connection with the first of its responses.
  const fixture = await startServer(t, () => undefined);
  fixture.server.beginDrain();
  const sending = sendRaw(fixture.port, get('/1') + get('/2') + get('/3'));
  await waitForRequests(fixture, 3);
  for (const exchange of fixture.exchanges) {
    echo(exchange);
    await sleep(5);
  }
  const received = await sending;
  assert.deepEqual(pathsOf(received), ['/1', '/2', '/3']);
  const heads = received.split('HTTP/1.1 200 OK').slice(1);
  assert.deepEqual(
    heads.map(head => /connection: close/i.test(head)),
    [false, false, true],
  );
});

test('a stop that begins between requests and responses answers them all', async t => {
  // Guards against responses that are lost when they are ready out of order.
  const fixture = await startServer(t, () => undefined);
  const sending = sendRaw(fixture.port, get('/1') + get('/2') + get('/3'));
  await waitForRequests(fixture, 3);
  const [first, second, third] = fixture.exchanges;
  echo(second!);
  fixture.server.beginDrain();
  echo(third!);
  echo(first!);
  assert.deepEqual(pathsOf(await sending), ['/1', '/2', '/3']);
});

test('a connection that always has a request behind ends after the port is closed', async t => {
  // Guards against a stop that cuts such a connection at its end.
  const fixture = await startServer(t, () => undefined);
  const {server, exchanges} = fixture;
  const {socket, received} = await sendTwo(fixture);
  server.beginDrain();
  echo(exchanges[0]!);
  socket.write(get('/3'));
  await waitForRequests(fixture, 3);
  server.stopListening();
  echo(exchanges[1]!);
  socket.write(get('/4'));
  await sleep(20);
  echo(exchanges[2]!);
  assert.deepEqual(pathsOf(await received), ['/1', '/2', '/3']);
  assert.equal(exchanges.length, 3);
});

test('a request behind a closing response is not passed on', async t => {
  // Guards against requests that run although their responses cannot be sent.
  const fixture = await startServer(t, () => undefined);
  const {server, exchanges} = fixture;
  const {socket, received} = await sendTwo(fixture);
  server.beginDrain();
  echo(exchanges[1]!);
  socket.write(get('/3'));
  await sleep(20);
  echo(exchanges[0]!);
  assert.deepEqual(pathsOf(await received), ['/1', '/2']);
  assert.equal(exchanges.length, 2);
});

/** Requests that are refused with the close of their connection. */
const CLOSING_REFUSALS = {
  'a body that is too large': `POST /0 HTTP/1.1\r\n${HOST}transfer-encoding: chunked\r\n\r\n80\r\n${'x'.repeat(128)}\r\n0\r\n\r\n`,
  'an expectation': `GET /0 HTTP/1.1\r\n${HOST}expect: magic\r\n\r\n`,
  'a head that is refused before its body': `POST /0 HTTP/1.1\r\n${HOST}x-attempt: 0\r\ncontent-length: 1\r\n\r\nx`,
};

for (const [name, refused] of Object.entries(CLOSING_REFUSALS)) {
  test(`nothing behind a refusal that closes is passed on: ${name}`, async t => {
    // Guards against requests that run although their responses cannot be sent.
    const fixture = await startServer(t, () => undefined);
    const sending = sendRaw(fixture.port, get('/1') + refused, get('/2'));
    await waitForRequests(fixture, 1);
    await sleep(20);
    echo(fixture.exchanges[0]!);
    assert.deepEqual(pathsOf(await sending), ['/1']);
    assert.equal(fixture.exchanges.length, 1);
  });
}

test('nothing is passed on behind a refusal of too many requests', async t => {
  // Guards against requests that run although their responses cannot be sent.
  const fixture = await startServer(t, () => undefined);
  const socket = connect(fixture.port, '127.0.0.1');
  const closed = once(socket.resume(), 'close');
  socket.write(get('/1').repeat(65));
  await waitForRequests(fixture, 64);
  echo(fixture.exchanges[0]!);
  await sleep(5);
  socket.write(get('/2'));
  await sleep(20);
  assert.equal(fixture.exchanges.length, 64);
  fixture.exchanges.forEach(echo);
  await closed;
});

/** What ends a connection without an answer of its own. */
const BAD_ENDS = {
  'a malformed request': 'bad\r\n\r\n',
  'a request for a tunnel': `CONNECT a:1 HTTP/1.1\r\n${HOST}\r\n`,
};

for (const [name, text] of Object.entries(BAD_ENDS)) {
  test(`requests before ${name} are answered`, async t => {
    // Guards against an end of the connection before its last response.
    const fixture = await startServer(t, () => undefined);
    const sending = sendRaw(fixture.port, get('/1') + get('/2') + text);
    await waitForRequests(fixture, 2);
    await sleep(20);
    fixture.exchanges.forEach(echo);
    assert.deepEqual(pathsOf(await sending), ['/1', '/2']);
  });
}

test('what is held for requests and answers is released with their connection', async t => {
  // Guards against a budget that callers fill by leaving.
  const budget = new MemoryBudget(1_000_000);
  const fixture = await startServer(t, () => undefined, {}, budget);
  const socket = connect(fixture.port, '127.0.0.1');
  const post = `POST /1 HTTP/1.1\r\n${HOST}content-length: 9\r\n\r\n123456789`;
  socket.write(post.repeat(3));
  await waitForRequests(fixture, 3);
  fixture.exchanges[1]!.forward(completeResponse('x'.repeat(8_000)));
  assert.ok(budget.usedBytes > 8_000);
  socket.destroy();
  while (fixture.goneRequestIds.length < 2) {
    await new Promise(setImmediate);
  }
  await new Promise(setImmediate);
  assert.equal(budget.usedBytes, 0);
});

test('an answer that is still being read keeps its connection in a stop', async t => {
  // Guards against answers that are cut off because they were handed over.
  const budget = new MemoryBudget(100_000_000);
  const fixture = await startServer(t, () => undefined, {}, budget);
  const {server, exchanges, port} = fixture;
  const body = 'x'.repeat(16_000_000);
  const socket = connect(port, '127.0.0.1').pause();
  socket.write(get('/1'));
  await waitForRequests(fixture, 1);
  exchanges[0]!.forward(completeResponse(body));
  await sleep(50);
  server.stopListening();
  server.closeIdle();
  assert.equal(server.openCount, 0);
  assert.equal(server.undeliveredCount, 1);
  let receivedBytes = 0;
  socket.on('data', ({length}) => (receivedBytes += length)).resume();
  while (receivedBytes < body.length && !socket.destroyed) {
    await sleep(5);
  }
  assert.ok(receivedBytes > body.length, `${receivedBytes} bytes`);
  assert.equal(server.undeliveredCount, 0);
});

test('a stop closes idle connections and keeps those that carry a part of a request', async t => {
  // Guards against requests that are cut off while they are sent.
  const fixture = await startServer(t, echo);
  const [idle, partial, fresh] = [1, 2, 3].map(() =>
    connect(fixture.port, '127.0.0.1').resume(),
  );
  await once(fresh!, 'connect');
  idle!.write(get('/1'));
  partial!.write(get('/2'));
  await waitForRequests(fixture, 2);
  partial!.write('GET /3 HTTP/1.1\r\n');
  await sleep(20);
  fixture.server.stopListening();
  fixture.server.closeIdle();
  await once(idle!, 'close');
  partial!.write(`${HOST}\r\n`);
  fresh!.write(get('/4'));
  await waitForRequests(fixture, 4);
});

test('streamed answers that are not read are given up within the budget', async t => {
  // Guards against pipelined requests that each hold a part of a large answer.
  const budget = new MemoryBudget(1_000_000);
  const fixture = await startServer(t, () => undefined, {}, budget);
  const socket = connect(fixture.port, '127.0.0.1').pause();
  socket.on('error', () => undefined);
  socket.write(get('/1').repeat(20));
  await waitForRequests(fixture, 20);
  let abortedCount = 0;
  for (const exchange of fixture.exchanges) {
    const response = new TargetResponse(
      't',
      200,
      {},
      {
        pause: () => undefined,
        resume: () => undefined,
        abort: () => (abortedCount += 1),
      },
    );
    response.push(Buffer.alloc(100_000), 1);
    exchange.forward(response);
    assert.ok(budget.usedBytes <= budget.capacityBytes);
  }
  while (fixture.goneRequestIds.length < 20) {
    await new Promise(setImmediate);
  }
  await new Promise(setImmediate);
  assert.equal(abortedCount, 20);
  assert.equal(budget.usedBytes, 0);
});

test('a streamed answer is given up once, and not counted any more', async t => {
  // Guards against parts that are still written and counted after the close.
  const budget = new MemoryBudget(1_000_000);
  const fixture = await startServer(t, () => undefined, {}, budget);
  for (const path of ['/1', '/2']) {
    const socket = connect(fixture.port, '127.0.0.1').pause();
    socket.on('error', () => undefined);
    t.after(() => socket.destroy());
    socket.write(get(path));
  }
  await waitForRequests(fixture, 2);
  const forward = (index: number, sizeBytes: number): void => {
    const noSource = {
      pause: () => undefined,
      resume: () => undefined,
      abort: () => undefined,
    };
    const response = new TargetResponse('t', 200, {}, noSource);
    response.push(Buffer.alloc(sizeBytes), sizeBytes);
    fixture.exchanges[index]!.forward(response);
  };
  forward(0, 100_000);
  const heldBytes = budget.usedBytes;
  forward(1, 9_000_000);
  assert.equal(budget.usedBytes, heldBytes);
  assert.deepEqual(fixture.protections, ['answer-unread']);
  while (fixture.goneRequestIds.length < 1) {
    await new Promise(setImmediate);
  }
  assert.deepEqual(fixture.goneRequestIds, [
    fixture.exchanges[1]!.request.requestId,
  ]);
});
