/**
 * Interface of protocols between callers and the load balancer, which add
 * headers and rules to plain HTTP.
 *
 * @packageDocumentation
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from 'neverthrow';
import type {InstantMs} from '../core/index.js';

/** Head of a received request. */
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

/** Body of a received request, and the id assigned to the request. */
export interface ReceivedBody {
  /** Unique within the process. */
  readonly requestId: string;
  /** Undefined for a request without body. */
  readonly body: Buffer | undefined;
}

/** Fields that the server requires of a request. */
export interface IdentifiedRequest {
  readonly requestId: string;
  /** Method in upper case. */
  readonly method: string;
}

/** Builds a request, whose head was accepted, once its body was read. */
export type RequestBuilder<R> = (body: ReceivedBody) => R;

/** Invalid head of a request, which was not run. */
export interface HeadError {
  readonly type: 'bad-head';
  /** Names the invalid field and the expected value. */
  readonly message: string;
}

/** Parses requests of callers and defines the headers of a protocol. */
export abstract class CallerProtocol<R extends IdentifiedRequest> {
  /** Lower-case names of request headers that are not forwarded to targets. */
  abstract readonly requestHeadersDropped: ReadonlySet<string>;

  /** Lower-case names of response headers that are not forwarded to callers. */
  abstract readonly responseHeadersDropped: ReadonlySet<string>;

  /**
   * Headers added to each response of a target: alternating names and values.
   */
  abstract readonly responseHeadersAdded: readonly string[];

  /**
   * Parses the head of a request.
   *
   * @param head - head as received
   * @returns a function that builds the request, or an error that names the
   *     malformed field
   */
  abstract readHead(head: ReceivedHead): Result<RequestBuilder<R>, HeadError>;
}
