/**
 * Requests that peers pass to this VM.
 *
 * @packageDocumentation
 */
import {err, type Result} from 'neverthrow';
import {
  CallerProtocol,
  RELAY_HEADER,
  REMAINING_HEADER,
  type HeadError,
  type ReceivedBody,
  type ReceivedHead,
  type RequestBuilder,
} from '../caller_http/index.js';
import type {RoutedRequest} from '../delivery/index.js';
import {decodeRelayHead, FORWARDED_RESPONSE, parseCount} from './relay_head.js';

/**
 * Wraps the protocol of callers. A relayed request keeps the address of its
 * caller, its arrival and its deadline.
 */
export class RelayCallerProtocol extends CallerProtocol<RoutedRequest> {
  override readonly requestHeadersDropped: ReadonlySet<string>;
  override readonly responseHeadersDropped: ReadonlySet<string>;
  override readonly responseHeadersAdded = [RELAY_HEADER, FORWARDED_RESPONSE];

  /** @param callers - protocol of callers */
  constructor(private readonly callers: CallerProtocol<RoutedRequest>) {
    super();
    this.requestHeadersDropped = callers.requestHeadersDropped;
    this.responseHeadersDropped = callers.responseHeadersDropped;
  }

  override readHead(
    head: ReceivedHead,
  ): Result<RequestBuilder<RoutedRequest>, HeadError> {
    const text = head.headers[RELAY_HEADER];
    const remainingMs = parseCount(head.headers[REMAINING_HEADER]);
    if (typeof text !== 'string' || remainingMs === undefined) {
      const message = `${RELAY_HEADER} or ${REMAINING_HEADER} is missing`;
      return err({type: 'bad-head', message});
    }
    return decodeRelayHead(text).andThen(
      ({callerAddress, lifetimeMs, ...relay}) => {
        const deadlineMs = head.arrivedMs + remainingMs;
        const arrivedMs = Math.min(head.arrivedMs, deadlineMs - lifetimeMs);
        return this.callers
          .readHead({...head, callerAddress, arrivedMs})
          .map(build => (body: ReceivedBody) => ({
            ...build(body),
            deadlineMs,
            relay,
          }));
      },
    );
  }
}
