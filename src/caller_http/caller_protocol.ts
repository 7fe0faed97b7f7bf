/**
 * What a protocol between callers and the balancer adds to plain HTTP.
 *
 * @packageDocumentation
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from 'neverthrow';
import type {InstantMs} from '../core/index.js';

/** Head of a request as it was received. */
export interface ReceivedHead {
  /** Method in upper case. */
  readonly method: string;
  /** Request target of the request line. */
  readonly target: string;
  /** Fields with lower-case names. */
  readonly headers: IncomingHttpHeaders;
  readonly arrivedMs: InstantMs;
  /** IP address of the caller. */
  readonly callerAddress: string;
}

/** What is known once the body was read. */
export interface ReceivedBody {
  /** Unique within the process. */
  readonly requestId: string;
  /** Undefined for a request without body. */
  readonly body: Buffer | undefined;
}

/** The least that the server needs to know of a request. */
export interface IdentifiedRequest {
  readonly requestId: string;
  /** Method in upper case. */
  readonly method: string;
}

/** Completes a request whose head was accepted. */
export type RequestBuilder<R> = (body: ReceivedBody) => R;

/** A head that cannot be acted on; the request was not run. */
export interface HeadError {
  readonly type: 'bad-head';
  /** Names the field and what was expected. */
  readonly message: string;
}

/** Reads requests of callers and names the headers of the protocol. */
export abstract class CallerProtocol<R extends IdentifiedRequest> {
  /** Lower-case names of request headers that targets must not get. */
  abstract readonly requestHeadersDropped: ReadonlySet<string>;

  /** Lower-case names of response headers that callers must not get. */
  abstract readonly responseHeadersDropped: ReadonlySet<string>;

  /** Headers added to each response of a target, names and values in turn. */
  abstract readonly responseHeadersAdded: readonly string[];

  /**
   * Reads the head of a request.
   *
   * @param head - head as received
   * @returns a function that completes the request, or which field is ill-formed
   */
  abstract readHead(head: ReceivedHead): Result<RequestBuilder<R>, HeadError>;
}
