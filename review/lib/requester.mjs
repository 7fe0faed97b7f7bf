/** Stand-in for requesters, as PROTOCOL.md describes them. */
import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/**
 * Sends one attempt of a request and resolves to what came of it.
 *
 * @param options - front (host and port), host, method, path, deadlineMs and
 *     optionally body, agent and localAddress
 */
export function send(options) {
  const {front, host, method, path, deadlineMs, body, agent} = options;
  const callId = randomBytes(8).toString('hex');
  const sentMs = Date.now();
  const base = {callId, path, method, front: front.host, sentMs};
  return new Promise(resolve => {
    const finish = outcome => {
      clearTimeout(timer);
      resolve({...base, ...outcome, endMs: Date.now()});
    };
    const outgoing = request({
      host: front.host,
      port: front.port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host,
        'x-attempt-id': callId,
        'x-deadline-ms': String(deadlineMs),
        ...(body === undefined ? {} : {'content-length': body.length}),
      },
    });
    const timer = setTimeout(() => {
      finish({status: 0, error: 'deadline'});
      outgoing.destroy();
    }, deadlineMs);
    outgoing.on('error', error => finish({status: 0, error: error.message}));
    outgoing.on('response', response => {
      let length = 0;
      response.on('data', chunk => {
        length += chunk.length;
      });
      response.on('error', error =>
        finish({status: response.statusCode, error: error.message}),
      );
      response.on('end', () =>
        finish({
          status: response.statusCode,
          seal: response.headers['x-server-seal'],
          length,
          headers: response.headers,
        }),
      );
    });
    outgoing.end(body);
  });
}

/** Returns an agent that keeps connections open. */
export function keepAlive() {
  return new Agent({keepAlive: true});
}
