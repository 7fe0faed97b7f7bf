import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {MemoryBudget} from '../memory/index.js';
import {TargetResponse} from '../target_http/index.js';
import {
  completeResponse,
  echo,
  HOST,
  sendRaw,
  startServer,
} from './caller_server_fixture.js';

test('responses to pipelined requests are sent in order', async t => {
  // Guards against callers that receive the response to another request.
  const {port, exchanges} = await startServer(t, exchange => {
    if (exchange.request.path === '/3') {
      [...exchanges].reverse().forEach(echo);
    }
  });
  const received = await sendRaw(
    port,
    `GET /1 HTTP/1.1\r\n${HOST}\r\nGET /2 HTTP/1.1\r\n${HOST}\r\n` +
      `GET /3 HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`,
  );
  assert.deepEqual(received.match(/^\/\d/gm), ['/1', '/2', '/3']);
  assert.equal(received.match(/x-verdict: ran/g)?.length, 3);
});

test('the largest body for which there is room is served, a larger one refused', async t => {
  // Guards against bodies inside the limits for which there never is room.
  const budget = new MemoryBudget(1_000_000);
  const limits = {maxBodyBytes: 1_000_000};
  const {port} = await startServer(t, echo, limits, budget);
  const statusOf = async (sizeBytes: number): Promise<string | undefined> => {
    const chunk = `4e20\r\n${'x'.repeat(20_000)}\r\n`;
    const received = await sendRaw(
      port,
      `POST /1 HTTP/1.1\r\n${HOST}connection: close\r\n` +
        `transfer-encoding: chunked\r\n\r\n`,
      `${chunk.repeat(sizeBytes / 20_000)}0\r\n\r\n`,
    );
    return /^HTTP\/1.1 (\d+)/.exec(received)?.[1];
  };
  assert.ok(budget.maxBodyBytes >= 460_000);
  assert.equal(await statusOf(460_000), '200');
  assert.equal(await statusOf(560_000), '503');
  assert.equal(budget.usedBytes, 0);
});

const MALFORMED: readonly (readonly [string, string, number])[] = [
  ['no HTTP', 'hello\r\n\r\n', 400],
  ['tab in the path', `GET /a\tb HTTP/1.1\r\n${HOST}\r\n`, 400],
  ['form feed in the path', `GET /a\fb HTTP/1.1\r\n${HOST}\r\n`, 400],
  [
    'two lengths',
    `POST / HTTP/1.1\r\n${HOST}content-length: 1\r\ncontent-length: 2\r\n\r\n`,
    400,
  ],
  ['no service', 'GET / HTTP/1.1\r\n\r\n', 400],
  ['attempt 0', `GET / HTTP/1.1\r\n${HOST}x-attempt: 0\r\n\r\n`, 400],
  [
    'two attempts',
    `GET / HTTP/1.1\r\n${HOST}x-attempt: 1\r\nx-attempt: 2\r\n\r\n`,
    400,
  ],
  ['attempt 1.5', `GET / HTTP/1.1\r\n${HOST}x-attempt: 1.5\r\n\r\n`, 400],
  ['negative time', `GET / HTTP/1.1\r\n${HOST}x-timeout-ms: -1\r\n\r\n`, 400],
  ['empty key', `GET / HTTP/1.1\r\n${HOST}idempotency-key:\r\n\r\n`, 400],
  ['asterisk', `OPTIONS * HTTP/1.1\r\n${HOST}\r\n`, 400],
  [
    'bad chunk',
    `POST / HTTP/1.1\r\n${HOST}transfer-encoding: chunked\r\n\r\nxyz\r\n`,
    400,
  ],
  [
    'declared oversize',
    `POST / HTTP/1.1\r\n${HOST}content-length: 101\r\n\r\n`,
    413,
  ],
  [
    'chunked oversize',
    `POST / HTTP/1.1\r\n${HOST}transfer-encoding: chunked\r\n\r\n80\r\n${'x'.repeat(128)}\r\n0\r\n\r\n`,
    413,
  ],
  [
    'head oversize',
    `GET / HTTP/1.1\r\n${HOST}x: ${'x'.repeat(20_000)}\r\n\r\n`,
    431,
  ],
  ['expectation', `GET / HTTP/1.1\r\n${HOST}expect: magic\r\n\r\n`, 417],
  ['tunnel', `CONNECT a:1 HTTP/1.1\r\n${HOST}\r\n`, 501],
  ['slow head', `GET / HTTP/1.1\r\n`, 408],
  ['slow body', `POST / HTTP/1.1\r\n${HOST}content-length: 9\r\n\r\nx`, 408],
];

for (const [name, text, status] of MALFORMED) {
  test(`${name} is refused with ${status} and not run`, async t => {
    // Guards against forwarding malformed input, and against never responding
    // to it.
    const {port, exchanges} = await startServer(t, echo, {
      idleTimeoutMs: 50,
      headTimeoutMs: 50,
      requestTimeoutMs: 50,
    });
    const received = await sendRaw(port, text);
    assert.match(received, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(received, /x-verdict: not-run/);
    assert.equal(exchanges.length, 0);
  });
}

test('a malformed pipelined request does not affect the response before it', async t => {
  // Guards against a refusal that is read as the response to another request.
  const {port, exchanges} = await startServer(t, () => undefined);
  // Both are in one segment, so the error occurs before the first response.
  const sending = sendRaw(port, `GET /1 HTTP/1.1\r\n${HOST}\r\nbad\r\n\r\n`);
  while (exchanges.length === 0) {
    await new Promise(setImmediate);
  }
  echo(exchanges[0]!);
  const received = await sending;
  assert.match(received, /^HTTP\/1.1 200 /);
  assert.doesNotMatch(received, /400/);
});

test('a disconnect is reported once, and never after the response', async t => {
  // Guards against running requests whose callers have disconnected.
  const {port, goneRequestIds, exchanges} = await startServer(t, exchange => {
    if (exchange.request.path === '/answered') {
      echo(exchange);
    }
  });
  await sendRaw(
    port,
    `GET /answered HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`,
  );
  const socket: Socket = connect(port, '127.0.0.1');
  socket.write(`GET /left HTTP/1.1\r\n${HOST}\r\n`);
  while (exchanges.length < 2) {
    await new Promise(setImmediate);
  }
  socket.resetAndDestroy();
  while (goneRequestIds.length === 0) {
    await new Promise(setImmediate);
  }
  assert.deepEqual(goneRequestIds, [exchanges[1]?.request.requestId]);
  echo(exchanges[1]!);
});

test('100 Continue is sent before the body is read', async t => {
  // Guards against callers that wait forever for 100 Continue.
  const {port, exchanges} = await startServer(t, echo);
  const received = await sendRaw(
    port,
    `POST /c HTTP/1.1\r\n${HOST}expect: 100-continue\r\ncontent-length: 3\r\nconnection: close\r\n\r\n`,
    'abc',
  );
  assert.match(received, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/);
  assert.equal(exchanges[0]?.body?.toString(), 'abc');
});

test('hop-by-hop and internal headers are not forwarded in either direction', async t => {
  // Guards against targets that forge verdicts and callers that forge tokens.
  const {port, exchanges} = await startServer(t, exchange => {
    exchange.forward(
      completeResponse('ok', {
        connection: 'x-private, close',
        'x-private': '1',
        'transfer-encoding': 'chunked',
        'x-verdict': 'not-run',
        'x-load-in-flight': '3',
        'x-kept': 'caf\u00e9',
      }),
    );
  });
  const received = await sendRaw(
    port,
    `GET / HTTP/1.1\r\n${HOST}x-service: other\r\nconnection: close, x-hop\r\nx-hop: 1\r\n` +
      'x-request-token: forged\r\nx-attempt: 2\r\nx-timeout-ms: 500\r\nidempotency-key: k\r\n\r\n',
  );
  assert.match(received, /x-verdict: ran/);
  assert.match(received, /x-kept: caf\u00e9/);
  assert.doesNotMatch(received, /x-private|x-load|not-run|chunked/);
  const {request, headers} = exchanges[0]!;
  assert.equal(request.service, 'other');
  assert.equal(request.attempt, 2);
  assert.equal(request.idempotencyKey, 'k');
  assert.ok(request.deadlineMs !== undefined);
  const names = headers.filter((_, i) => i % 2 === 0);
  assert.ok(names.includes('x-service'));
  assert.ok(!names.includes('x-hop'));
  assert.ok(!names.includes('x-request-token'));
});

test('a failure within a streamed body destroys the connection of the caller', async t => {
  // Guards against ending a truncated response like a complete one.
  const {port} = await startServer(t, exchange => {
    const source = new TargetResponse(
      't',
      200,
      {},
      {pause: () => undefined, resume: () => undefined, abort: () => undefined},
    );
    source.push(Buffer.from('first'), 1);
    exchange.forward(source);
    source.push(Buffer.from('second'), 1);
    setTimeout(() => source.fail(), 20);
  });
  const received = await sendRaw(port, `GET / HTTP/1.1\r\n${HOST}\r\n`);
  assert.match(received, /first/);
  assert.doesNotMatch(received, /0\r\n\r\n$/);
});

test('a refusal carries verdict, reason and retry-after', async t => {
  // Guards against callers that cannot decide whether to retry.
  const {port} = await startServer(t, exchange =>
    exchange.refuse({
      status: 503,
      verdict: 'not-run',
      reason: 'overloaded',
      retryAfterSeconds: 1,
    }),
  );
  const received = await sendRaw(
    port,
    `GET / HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`,
  );
  assert.match(received, /^HTTP\/1.1 503 /);
  assert.match(received, /x-verdict: not-run\r\n/);
  assert.match(received, /x-refusal-reason: overloaded\r\n/);
  assert.match(received, /retry-after: 1\r\n/);
});

test('copies that differ in the query share the resource fingerprint', async t => {
  const {port, exchanges} = await startServer(t, echo);
  const send = (path: string) =>
    sendRaw(port, `GET ${path} HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`);
  await send('/a?page=1');
  await send('/a?page=2');
  await send('/b?page=1');
  const requests = exchanges.map(({request}) => request);
  const resources = requests.map(each => each.resourceFingerprint);
  assert.equal(resources[0], resources[1]);
  assert.equal(new Set(resources).size, 2);
  assert.equal(new Set(requests.map(each => each.fingerprint)).size, 3);
});

test('the fingerprint depends on method, path and body', async t => {
  // Guards against attributing a crash to a different request.
  const {port, exchanges} = await startServer(t, echo);
  const send = (line: string, body: string) =>
    sendRaw(
      port,
      `${line} HTTP/1.1\r\n${HOST}connection: close\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
  await send('POST /a', 'x');
  await send('POST /a', 'x');
  await send('PUT /a', 'x');
  await send('POST /b', 'x');
  await send('POST /a', 'y');
  await send('POST /a', '');
  const [first, again, ...others] = exchanges.map(
    exchange => exchange.request.fingerprint,
  );
  assert.equal(again, first);
  assert.equal(new Set([first, ...others]).size, 5);
});
