import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {httpGet, type HttpAnswer, type HttpGetError} from './index.js';

async function get(
  t: TestContext,
  onRequest: (socket: Socket) => void,
  timeoutMs = 5_000,
): Promise<HttpAnswer | HttpGetError> {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    sockets.forEach(socket => socket.destroy());
  });
  const {port} = server.address() as AddressInfo;
  const result = await httpGet({
    host: '127.0.0.1',
    port,
    path: '/a',
    timeoutMs,
  });
  return result.isOk() ? result.value : result.error;
}

test('an answer has its status and body', async t => {
  // Guards against answers that lose their status.
  const answer = await get(t, socket =>
    socket.end('HTTP/1.1 410 Gone\r\ncontent-length: 4\r\n\r\nbody'),
  );
  assert.ok('status' in answer);
  assert.equal(answer.status, 410);
  assert.equal(answer.body.toString(), 'body');
});

test('an answer that breaks off is none', async t => {
  // Guards against a part of a state that is taken for the whole.
  const answer = await get(t, socket =>
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\npart'),
  );
  assert.equal('type' in answer && answer.type, 'unreachable');
});

test('silence ends with the time allowed', async t => {
  // Guards against a reader that waits for a connection that is gone.
  const answer = await get(t, () => undefined, 20);
  assert.equal('type' in answer && answer.type, 'timeout');
});
