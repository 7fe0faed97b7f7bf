/**
 * Connection of a caller and the responses that are due on it.
 *
 * @packageDocumentation
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Decides which response is the last one of a connection. node:http sends the
 * responses in the order of their requests, and closes the connection after the
 * first one that says so; those behind it are dropped. So the closing response
 * must have nothing behind it: either it is the last one that is due, or what
 * arrives behind it is not accepted.
 */
export class CallerConnection {
  /** Requests that were passed on and are in progress. */
  readonly requestIds = new Set<string>();
  /** Responses that were not sent to their end, in the order of requests. */
  private readonly dueResponses: ServerResponse[] = [];
  private closingResponse: ServerResponse | undefined;
  private unreadResponse: ServerResponse | undefined;
  /** Bytes received when a request was last read to its end; 0 before. */
  private bytesReadAtEnd = 0;

  /** @param socket - connection to the caller */
  constructor(readonly socket: Socket) {}

  /** Number of responses that were not sent to their end. */
  get dueCount(): number {
    return this.dueResponses.length;
  }

  /** Number of responses that were begun and not sent to their end. */
  get undeliveredCount(): number {
    return this.dueResponses.filter(({headersSent}) => headersSent).length;
  }

  /**
   * Whether all requests were answered and no part of a further one has arrived.
   * False before the first request, which may be in transit.
   */
  get isIdle(): boolean {
    return (
      this.dueCount === 0 &&
      this.bytesReadAtEnd > 0 &&
      this.socket.bytesRead === this.bytesReadAtEnd
    );
  }

  /**
   * Accepts a request whose head was read.
   *
   * @param response - response to the request
   * @returns false if the request is behind a closing response. It counts as not
   *     read then: it must not be passed on, and no response to it can be sent.
   */
  accept(response: ServerResponse): boolean {
    if (this.closingResponse !== undefined) {
      return false;
    }
    this.dueResponses.push(response);
    this.unreadResponse = response;
    response.once('close', () => this.remove(response));
    if (!response.shouldKeepAlive) {
      this.closingResponse = response;
    }
    return true;
  }

  /** Records that the last accepted request was read to its end. */
  markRead(): void {
    this.unreadResponse = undefined;
    this.bytesReadAtEnd = this.socket.bytesRead;
  }

  /** Gives up the last accepted request if it was not read to its end. */
  abandonUnread(): void {
    const response = this.unreadResponse;
    if (response !== undefined && !response.headersSent) {
      this.remove(response);
    }
  }

  /** Returns whether nothing was accepted behind a response. */
  isLast(response: ServerResponse): boolean {
    return this.dueResponses.at(-1) === response;
  }

  /** Closes the connection after the last response that is due. */
  closeAfterLast(): void {
    const last = this.dueResponses.at(-1);
    if (last === undefined || this.closingResponse !== undefined) {
      return;
    }
    this.closingResponse = last;
    if (last.headersSent) {
      last.once('finish', () => this.socket.end());
    } else {
      last.shouldKeepAlive = false;
    }
  }

  /**
   * Closes the responses that are due when the connection has closed. node:http
   * does so only for the one in transmission, which has the socket.
   */
  onSocketClosed(): void {
    for (const response of [...this.dueResponses]) {
      if (response.socket === null) {
        response.emit('close');
      }
    }
  }

  private remove(response: ServerResponse): void {
    const position = this.dueResponses.indexOf(response);
    if (position >= 0) {
      this.dueResponses.splice(position, 1);
    }
  }
}
