/**
 * Stand-in of a server (target), as PROTOCOL.md describes it: it checks the
 * instance, runs requests in slots, seals its answers and tells its load.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout} from 'node:timers';

export class Server {
  #running = 0;
  #waiting = [];
  #sequence = 0;
  #options;
  #http = createServer((request, response) => this.#answer(request, response));

  /**
   * `id`, `service`, `zone`, `slots`, `queue`; `workMs(path)` and `body(path)`
   * define the work and the answer; `closes(path)` whether it says that the
   * connection closes; `onRun` is told of each run.
   */
  constructor(options) {
    this.#options = {slots: 6, queue: 24, zone: 'zone-a', ...options};
    this.#http.keepAliveTimeout = 10_000;
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.#http.once('error', reject);
      this.#http.listen(0, host, () => {
        this.address = `${host}:${this.#http.address().port}`;
        resolve();
      });
    });
  }

  close() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  /** Writes the server's entry; called at each heartbeat. */
  register(store) {
    const {id, service, zone, slots, bornMs} = this.#options;
    this.#sequence += 1;
    store.put(`servers/${id}`, {
      addr: this.address,
      born: bornMs,
      info: {service, version: 'v1', zone, slots},
      status: {state: 'ready', seq: this.#sequence, warmup_left: '0ms'},
    });
  }

  #loadHeaders() {
    const {slots} = this.#options;
    return {
      'x-server-load': `${this.#running},${this.#waiting.length},${slots},100`,
    };
  }

  #answer(request, response) {
    const {id, slots, queue} = this.#options;
    const path = request.url ?? '';
    if (path === '/healthz') {
      response.writeHead(200, {'x-instance-id': id, ...this.#loadHeaders()});
      response.end();
      return;
    }
    request.resume();
    request.on('end', () => {
      const attemptId = request.headers['x-attempt-id'];
      const refuse = status =>
        response
          .writeHead(status, {
            'x-not-run': '1',
            'x-attempt-id': attemptId ?? '',
            ...this.#loadHeaders(),
          })
          .end();
      if (attemptId === undefined) {
        refuse(400);
      } else if ((request.headers['x-expect-instance'] ?? id) !== id) {
        refuse(421);
      } else if (this.#running >= slots && this.#waiting.length >= queue) {
        refuse(503);
      } else {
        this.#enqueue({request, response, attemptId, path});
      }
    });
  }

  #enqueue(job) {
    if (this.#running < this.#options.slots) {
      this.#run(job);
    } else {
      this.#waiting.push(job);
    }
  }

  #run({request, response, attemptId, path}) {
    const {id, workMs, body, onRun, closes} = this.#options;
    if (!response.destroyed) {
      this.#running += 1;
      onRun?.({attemptId, path, method: request.method, server: id});
      setTimeout(() => {
        this.#running -= 1;
        if (!response.destroyed) {
          const bytes = Buffer.from(body(path));
          response.writeHead(200, {
            'x-attempt-id': attemptId,
            'x-server-seal': `seal.${id}.${attemptId}`,
            'content-length': String(bytes.length),
            ...(closes?.(path) && {connection: 'close'}),
            ...this.#loadHeaders(),
          });
          response.end(bytes);
        }
        this.#next();
      }, workMs(path));
    } else {
      this.#next();
    }
  }

  #next() {
    const job = this.#waiting.shift();
    if (job !== undefined) {
      this.#run(job);
    }
  }
}
