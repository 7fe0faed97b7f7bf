/**
 * Stand-in for a server, as PROTOCOL.md describes it: slots and a queue, seals,
 * echoed attempt ids, loads, instances and health.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

const QUEUE_LENGTH = 24;
const IDLE_CLOSE_MS = 10_000;

export class ServiceServer {
  /** All runs of requests: attempt id, path and instant of the begin. */
  runs = [];
  /** Share of the requests that get no answer; health and load stay good. */
  hangShare = 0;
  hungCount = 0;
  #running = 0;
  #queue = [];
  #server = createServer({keepAliveTimeout: IDLE_CLOSE_MS});

  /** @param options - id, service, zone, address, slots, workMs, bodyBytes */
  constructor(options) {
    this.options = {slots: 6, workMs: 60, bodyBytes: 400, ...options};
    this.bornMs = Date.now();
    this.#server.on('request', (request, response) =>
      this.#onRequest(request, response),
    );
  }

  listen() {
    const {host, port} = this.options.address;
    return new Promise(resolve => this.#server.listen(port, host, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Entry of the server in the store. */
  entry(state = 'ready') {
    const {service, zone, slots, address} = this.options;
    return {
      born: this.bornMs,
      addr: `${address.host}:${address.port}`,
      info: {service, version: '1', zone, slots},
      status: {state, seq: 1, warmup_left: '0ms'},
    };
  }

  #load() {
    return `${this.#running},${this.#queue.length},${this.options.slots},100`;
  }

  #onRequest(request, response) {
    const {id} = this.options;
    if (request.url === '/healthz') {
      response.writeHead(200, {
        'x-instance-id': id,
        'x-server-load': this.#load(),
        'content-length': '0',
      });
      response.end();
      return;
    }
    const chunks = [];
    request.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => this.#accept(request, response, chunks));
  }

  #accept(request, response, chunks) {
    const expected = request.headers['x-expect-instance'];
    const job = {request, response, bytes: Buffer.concat(chunks)};
    if (Math.random() < this.hangShare) {
      this.hungCount += 1;
      return;
    }
    if (expected !== undefined && expected !== this.options.id) {
      this.#refuse(job, 421);
    } else if (request.headers['x-attempt-id'] === undefined) {
      this.#refuse(job, 400);
    } else if (this.#running < this.options.slots) {
      this.#run(job);
    } else if (this.#queue.length < QUEUE_LENGTH) {
      this.#queue.push(job);
      response.on('close', () => this.#leaveQueue(job));
    } else {
      this.#refuse(job, 503);
    }
  }

  #leaveQueue(job) {
    const index = this.#queue.indexOf(job);
    if (index >= 0) {
      this.#queue.splice(index, 1);
    }
  }

  #refuse({request, response}, status) {
    response.writeHead(status, {
      ...this.#headers(request),
      'x-not-run': '1',
      'content-length': '0',
    });
    response.end();
  }

  #headers(request) {
    const id = request.headers['x-attempt-id'];
    return {
      ...(id === undefined ? {} : {'x-attempt-id': id}),
      'x-server-load': this.#load(),
    };
  }

  #run(job) {
    const {request, response} = job;
    const {id, workMs, bodyBytes} = this.options;
    this.#running += 1;
    this.runs.push({
      callId: request.headers['x-attempt-id'],
      path: request.url,
      method: request.method,
      bytes: job.bytes.toString('latin1'),
      atMs: Date.now(),
    });
    let isDone = false;
    const finish = () => {
      if (isDone) {
        return;
      }
      isDone = true;
      clearTimeout(timer);
      this.#running -= 1;
      const next = this.#queue.shift();
      if (next !== undefined) {
        this.#run(next);
      }
    };
    const timer = setTimeout(() => {
      const body = Buffer.alloc(bodyBytes, 'x');
      response.writeHead(200, {
        ...this.#headers(request),
        'x-server-seal': `${id}.${body.length}`,
        'content-length': String(body.length),
      });
      response.end(body);
      finish();
    }, workMs);
    // Servers drop a request when its connection closes.
    response.on('close', finish);
  }
}
