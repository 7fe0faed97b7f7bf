/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: items with
 * revisions, ranges and waits over HTTP/1.1 with JSON bodies.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

/** Items in one page of a range. */
const PAGE_SIZE = 50;

/** Longest wait of a watch, in milliseconds. */
const MAX_WAIT_MS = 30_000;

export class Store {
  #revision = 1;
  #items = new Map();
  #events = [];
  #waits = new Set();
  #server = createServer((request, response) =>
    this.#answer(request, response),
  );

  /** Starts the store. */
  listen(host) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, () =>
        resolve(`${host}:${this.#server.address().port}`),
      );
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item. */
  put(key, value) {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const before = this.#items.get(key);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      rev: this.#revision,
      created: before?.created ?? this.#revision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#publish(item);
  }

  /** Deletes an item. */
  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#publish({key, rev: this.#revision, deleted: true});
    }
  }

  #publish(event) {
    this.#events.push(event);
    [...this.#waits].forEach(finish => finish());
  }

  #answer(request, response) {
    const {pathname, searchParams: query} = new URL(
      request.url ?? '/',
      'http://store',
    );
    const send = (status, body) =>
      response
        .writeHead(status, {'content-type': 'application/json'})
        .end(JSON.stringify(body));
    if (pathname === '/-/kv-key') {
      const item = this.#items.get(query.get('key'));
      send(item === undefined ? 404 : 200, {...item, at: this.#revision});
    } else if (pathname === '/-/kv-range') {
      send(200, this.#range(query));
    } else if (pathname === '/-/kv-watch') {
      this.#watch(query, response, send);
    } else {
      send(404, {});
    }
  }

  #range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: found.slice(0, PAGE_SIZE),
      has_more: found.length > PAGE_SIZE,
      at: this.#revision,
    };
  }

  #watch(query, response, send) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Math.min(Number(query.get('wait_ms')), MAX_WAIT_MS);
    const events = () =>
      this.#events.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
    const finish = () => {
      clearTimeout(timer);
      this.#waits.delete(finish);
      send(200, {events: events(), at: this.#revision});
    };
    const timer = setTimeout(finish, waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      this.#waits.delete(finish);
    });
    if (events().length > 0) {
      finish();
    } else {
      this.#waits.add(finish);
    }
  }
}
