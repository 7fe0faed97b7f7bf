/**
 * Requests that peers pass to a daemon with presets.
 *
 * @packageDocumentation
 */
import {err, type Result} from 'neverthrow';
import {
  CallerProtocol,
  NativeCallerProtocol,
  RELAY_HEADER,
  REMAINING_HEADER,
  type HeadError,
  type ReceivedBody,
  type ReceivedHead,
  type RequestBuilder,
} from '../caller_http/index.js';
import type {CallerRequest} from '../engine/index.js';
import {FORWARDED_RESPONSE, parseCount} from '../peer_relay/index.js';

/**
 * Reads relayed requests like those of callers. The peer holds the claim of the
 * idempotency key, if any.
 */
export class RelayedRequestProtocol extends CallerProtocol<CallerRequest> {
  private readonly callers = new NativeCallerProtocol();
  override readonly requestHeadersDropped = this.callers.requestHeadersDropped;
  override readonly responseHeadersDropped =
    this.callers.responseHeadersDropped;
  override readonly responseHeadersAdded = [RELAY_HEADER, FORWARDED_RESPONSE];

  override readHead(
    head: ReceivedHead,
  ): Result<RequestBuilder<CallerRequest>, HeadError> {
    const remainingMs = parseCount(head.headers[REMAINING_HEADER]);
    if (remainingMs === undefined) {
      const message = `${REMAINING_HEADER}: expected a whole number`;
      return err({type: 'bad-head', message});
    }
    const deadlineMs = head.arrivedMs + remainingMs;
    return this.callers.readHead(head).map(build => (body: ReceivedBody) => ({
      ...build(body),
      deadlineMs,
      isRelayed: true,
    }));
  }
}
