/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: items, ranges
 * and watches, linearizable answers and one revision counter. A read sees the
 * state at the instant at which it arrives. `delayMs` is the time of an answer.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const MAX_PAGE_ITEMS = 500;

export class Store {
  delayMs = 4;
  revision = 1;
  /** Called for each read with the path and the address of the reader. */
  onRead = () => undefined;
  #items = new Map();
  #events = [];
  #watches = new Set();
  #server = createServer((request, response) =>
    this.#handle(request, response),
  );

  listen({host, port}) {
    return new Promise(resolve => this.#server.listen(port, host, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item; the return is the acknowledgement. */
  put(key, document) {
    this.revision += 1;
    const known = this.#items.get(key);
    const item = {
      key,
      value: Buffer.from(JSON.stringify(document)).toString('base64'),
      rev: this.revision,
      created: known?.created ?? this.revision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#publish(item);
  }

  remove(key) {
    this.revision += 1;
    this.#items.delete(key);
    this.#publish({key, rev: this.revision, deleted: true});
  }

  #publish(event) {
    this.#events.push(event);
    for (const watch of [...this.#watches]) {
      watch();
    }
  }

  #handle(request, response) {
    const url = new URL(request.url ?? '/', 'http://store');
    const query = url.searchParams;
    this.onRead(`${url.pathname}${url.search}`, request.socket.remoteAddress);
    if (url.pathname === '/-/kv-key') {
      const item = this.#items.get(query.get('key') ?? '');
      const body = {...item, at: this.revision};
      this.#answer(response, item === undefined ? 404 : 200, body);
    } else if (url.pathname === '/-/kv-range') {
      this.#answer(response, 200, this.#range(query));
    } else if (url.pathname === '/-/kv-watch') {
      this.#watch(query, response);
    } else {
      this.#answer(response, 404, {});
    }
  }

  #range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: found.slice(0, MAX_PAGE_ITEMS),
      has_more: found.length > MAX_PAGE_ITEMS,
      at: this.revision,
    };
  }

  #watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const finish = () => {
      const events = this.#events.filter(
        ({key, rev}) => key.startsWith(prefix) && rev > after,
      );
      if (events.length > 0 || isOver) {
        clearTimeout(timer);
        this.#watches.delete(finish);
        this.#answer(response, 200, {events, at: this.revision});
      }
    };
    let isOver = false;
    const timer = setTimeout(
      () => {
        isOver = true;
        finish();
      },
      Number(query.get('wait_ms')),
    );
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(finish);
    });
    this.#watches.add(finish);
    finish();
  }

  #answer(response, status, document) {
    const text = JSON.stringify(document);
    setTimeout(() => {
      if (!response.destroyed) {
        response
          .writeHead(status, {'content-type': 'application/json'})
          .end(text);
      }
    }, this.delayMs);
  }
}
