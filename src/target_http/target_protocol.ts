/**
 * What a protocol between the balancer and targets adds to plain HTTP.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {TargetFigures} from '../engine/index.js';
import type {AttemptRequest} from './attempt.js';

/** What a response says about the target itself. */
export interface CarriedReport {
  /** Explicit refusal: the target did not start the work. */
  readonly refused: boolean;
  readonly draining: boolean;
  /** Requests in flight at the target; undefined if not stated. */
  readonly inFlight: number | undefined;
  /** Detailed load; undefined if not stated. */
  readonly figures?: TargetFigures | undefined;
  /** Another target answered under this address. */
  readonly misdirected?: boolean;
}

/** Timing of connections to targets. */
export interface ConnectionTiming {
  /** A connection that is not established by then counts as not reachable. */
  readonly connectTimeoutMs: number;
  /** Idle connections are closed after this time. */
  readonly idleTimeoutMs: number;
  /** Age up to which an answer or the opening proves that a connection works. */
  readonly provenWindowMs: number;
  /**
   * True to find out with a new connection, before an attempt is reported as
   * lost, whether the target still listens.
   */
  readonly testsCrashes: boolean;
}

/** Headers and rules of the exchange with targets. */
export abstract class TargetProtocol {
  abstract readonly timing: ConnectionTiming;

  /**
   * Lists the headers that the balancer states in an attempt.
   *
   * @param request - request of the attempt
   * @param remainingMs - time to its deadline in milliseconds
   * @returns names and values in turn
   */
  abstract attemptHeaders(
    request: AttemptRequest,
    remainingMs: number,
  ): readonly string[];

  /**
   * Tells whether a response head can be the answer to an attempt. If not, the
   * connection is closed and the attempt counts as lost.
   *
   * @param request - request of the attempt
   * @param status - HTTP status code
   * @param headers - fields with lower-case names
   * @returns true if the response belongs to the attempt
   */
  abstract accepts(
    request: AttemptRequest,
    status: number,
    headers: HeaderFields,
  ): boolean;

  /**
   * Reads the report that a response carries. Ill-formed values count as
   * absent, since reports of targets may be misleading.
   *
   * @param status - HTTP status code
   * @param headers - fields with lower-case names
   * @returns the report
   */
  abstract readReport(status: number, headers: HeaderFields): CarriedReport;
}
