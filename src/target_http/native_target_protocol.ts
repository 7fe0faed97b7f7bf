/**
 * Native protocol between the load balancer and targets.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {AttemptRequest} from './attempt.js';
import {readResponseReport} from './load_reports.js';
import {
  TargetProtocol,
  type ConnectionTiming,
  type ResponseHead,
  type ResponseReport,
} from './target_protocol.js';

/**
 * Time for which a connection counts as proven after a response or its opening.
 */
export const PROVEN_WINDOW_MS = 1_000;

/** Token of an attempt, which targets echo in their responses. */
const TOKEN_HEADER = 'x-request-token';

/** Status that servers send unasked before they close an idle connection. */
const STATUS_REQUEST_TIMEOUT = 408;

/** Time after which a connection attempt fails. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Sends the remaining time and the token as headers and reads load reports from
 * each response.
 */
export class NativeTargetProtocol extends TargetProtocol {
  override readonly timing: ConnectionTiming = {
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    provenWindowMs: PROVEN_WINDOW_MS,
    detectsCrashes: true,
  };

  override attemptHeaders(
    request: AttemptRequest,
    remainingMs: number,
  ): readonly string[] {
    return [
      'x-timeout-ms',
      String(Math.max(1, Math.floor(remainingMs))),
      TOKEN_HEADER,
      request.token,
    ];
  }

  /**
   * Reports whether a response belongs to the attempt: it must echo the token.
   * Without an echo it is accepted only on a connection that carried no earlier
   * request, whose response it could repeat, and not if it may be the notice of
   * an idle timeout.
   */
  override accepts(
    request: AttemptRequest,
    {status, headers, isFirstOnConnection}: ResponseHead,
  ): boolean {
    const token = headers[TOKEN_HEADER];
    if (token !== undefined) {
      return token === request.token;
    }
    return isFirstOnConnection && status !== STATUS_REQUEST_TIMEOUT;
  }

  override allowsReuse(headers: HeaderFields): boolean {
    return headers[TOKEN_HEADER] !== undefined;
  }

  override readReport(status: number, headers: HeaderFields): ResponseReport {
    return readResponseReport(status, headers);
  }
}
