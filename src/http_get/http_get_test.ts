import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
  httpGet,
  MAX_BODY_BYTES,
  type HttpGetError,
  type HttpGetResponse,
} from './index.js';

async function get(
  t: TestContext,
  onRequest: (socket: Socket) => void,
  timeoutMs = 5_000,
): Promise<HttpGetResponse | HttpGetError> {
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

test('a response has the status and body that the server sent', async t => {
  // Guards against responses that lose their status.
  const response = await get(t, socket =>
    socket.end('HTTP/1.1 410 Gone\r\ncontent-length: 4\r\n\r\nbody'),
  );
  assert.ok('status' in response);
  assert.equal(response.status, 410);
  assert.equal(response.body.toString(), 'body');
});

test('a truncated response is an error', async t => {
  // Guards against a partial document that is mistaken for the whole.
  const response = await get(t, socket =>
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\npart'),
  );
  assert.equal('type' in response && response.type, 'unreachable');
});

test('a request without a response times out', async t => {
  // Guards against a client that waits forever on a lost connection.
  const response = await get(t, () => undefined, 20);
  assert.equal('type' in response && response.type, 'timeout');
});

test('a body without end is rejected before the timeout', async t => {
  // Guards against a store or peer that exhausts the memory of a VM.
  let writtenBytes = 0;
  const block = 'b'.repeat(64 * 1024);
  const error = await get(
    t,
    socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      const writeMore = (): void => {
        while (!socket.destroyed && socket.write(block)) {
          writtenBytes += block.length;
        }
      };
      socket.on('drain', writeMore);
      writeMore();
    },
    60_000,
  );
  assert.ok('type' in error);
  assert.equal(error.type, 'malformed');
  assert.ok(writtenBytes < 4 * MAX_BODY_BYTES, `${writtenBytes} bytes`);
});
