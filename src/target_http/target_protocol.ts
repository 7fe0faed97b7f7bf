/**
 * Interface of protocols between the load balancer and targets, which add
 * headers and rules to plain HTTP.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {LoadFigures} from '../engine/index.js';
import type {LimitStatement} from '../limits/index.js';
import type {AttemptRequest} from './attempt.js';

/** Report about a target that one of its responses carries. */
export interface ResponseReport {
  /** Explicit refusal: the target did not start the work. */
  readonly refused: boolean;
  readonly draining: boolean;
  /** Requests in flight at the target; undefined if not reported. */
  readonly inFlight: number | undefined;
  /** Detailed load; undefined if not reported. */
  readonly figures?: LoadFigures | undefined;
  /** Time for which the target stays cold, in milliseconds, if it tells. */
  readonly coldMs?: number | undefined;
  /** Limit that the target names; undefined if the protocol has none. */
  readonly limit?: LimitStatement | undefined;
  /** A peer that carried the request got no response of a target. */
  readonly unanswered?: boolean;
  /** Delay that a peer states with its refusal, in seconds. */
  readonly retryAfterSeconds?: number | undefined;
  /** A target other than the intended one responded at the address. */
  readonly misdirected?: boolean;
}

/** Head of a final response, as received on a connection. */
export interface ResponseHead {
  readonly status: number;
  /** Fields with lower-case names. */
  readonly headers: HeaderFields;
  /** Whether the request is the first one on its connection. */
  readonly isFirstOnConnection: boolean;
}

/** Timing of connections to targets. */
export interface ConnectionTiming {
  /** Time after which a connection attempt fails. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
  /**
   * Time for which a connection counts as proven after its last response, or
   * after its opening if it has received none.
   */
  readonly provenWindowMs: number;
  /**
   * Whether to find out with a new connection, before an attempt is reported as
   * lost, if the target still listens.
   */
  readonly detectsCrashes: boolean;
}

/** Defines the headers and rules of a protocol with targets. */
export abstract class TargetProtocol {
  abstract readonly timing: ConnectionTiming;

  /**
   * Returns the headers that the load balancer adds to an attempt.
   *
   * @param request - request of the attempt
   * @param remainingMs - time to its deadline in milliseconds
   * @returns alternating names and values
   */
  abstract attemptHeaders(
    request: AttemptRequest,
    remainingMs: number,
  ): readonly string[];

  /**
   * Returns whether a response head belongs to an attempt. If not, the
   * connection is closed and the attempt counts as lost.
   *
   * @param request - request of the attempt
   * @param head - head of the response
   * @returns true to accept the response
   */
  abstract accepts(request: AttemptRequest, head: ResponseHead): boolean;

  /**
   * Returns whether a connection may carry another request after a response.
   * It may not if a second copy of the response could be mistaken for the
   * response to the next request.
   *
   * @param headers - fields of the response with lower-case names
   * @returns true if the connection may be reused
   */
  abstract allowsReuse(headers: HeaderFields): boolean;

  /**
   * Reads the report in the headers of a response. Malformed values are treated
   * as absent, since targets may send misleading reports.
   *
   * @param status - HTTP status code
   * @param headers - fields with lower-case names
   * @returns the report
   */
  abstract readReport(status: number, headers: HeaderFields): ResponseReport;
}
