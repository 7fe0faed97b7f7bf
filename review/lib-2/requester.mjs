/**
 * Connection of a requester over plain TCP. It can send a further request
 * before the first one is answered, and read slowly.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

export class Connection {
  /** Requests that were sent and are not answered, oldest first. */
  pending = [];
  isClosed = false;
  #received = Buffer.alloc(0);
  #onChange;

  /**
   * Opens a connection.
   *
   * @param address - `host` and `port` of a daemon
   * @param onChange - called after each answer and after the close
   */
  constructor({host, port}, onChange) {
    this.#onChange = onChange;
    this.socket = connect({host, port, noDelay: true});
    this.socket.on('data', chunk => this.#onData(chunk));
    this.socket.on('error', error => this.#end(error.code ?? 'error'));
    this.socket.on('end', () => this.#end('end'));
    this.socket.on('close', () => this.#end('close'));
  }

  /** Sends a request; `record` is filled in as it is answered. */
  send(record, {host, deadlineMs}) {
    record.sentMs = Date.now();
    this.pending.push(record);
    this.socket.write(
      [
        `${record.method} ${record.path} HTTP/1.1`,
        `Host: ${host}`,
        `X-Attempt-Id: ${record.id}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        '',
        '',
      ].join('\r\n'),
    );
  }

  close() {
    this.isClosed = true;
    this.socket.destroy();
  }

  #end(cause) {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    for (const record of this.pending) {
      record.closedMs = Date.now();
      record.closedBy = cause;
    }
    this.#onChange();
  }

  #onData(chunk) {
    this.#received = Buffer.concat([this.#received, chunk]);
    while (this.#readAnswer());
  }

  /** Reads one complete answer; false if there is none yet. */
  #readAnswer() {
    const headEnd = this.#received.indexOf('\r\n\r\n');
    const [record] = this.pending;
    if (headEnd < 0 || record === undefined) {
      return false;
    }
    const [statusLine, ...lines] = this.#received
      .subarray(0, headEnd)
      .toString('latin1')
      .split('\r\n');
    const headers = Object.fromEntries(
      lines.map(line => {
        const colon = line.indexOf(':');
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }),
    );
    const length = Number(headers['content-length']);
    const bodyStart = headEnd + 4;
    if (this.#received.length < bodyStart + length) {
      record.partialBytes = this.#received.length - bodyStart;
      record.expectedBytes = length;
      return false;
    }
    this.pending.shift();
    record.status = Number(statusLine.split(' ')[1]);
    record.answeredMs = Date.now();
    record.closes = headers['connection']?.toLowerCase() === 'close';
    record.seal = headers['x-server-seal'];
    record.bodyBytes = length;
    this.#received = this.#received.subarray(bodyStart + length);
    this.#onChange();
    return true;
  }
}
