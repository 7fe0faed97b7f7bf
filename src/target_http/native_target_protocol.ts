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
  type ResponseReport,
} from './target_protocol.js';

/**
 * Time for which a connection counts as proven after a response or its opening.
 */
export const PROVEN_WINDOW_MS = 1_000;

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
      'x-request-token',
      request.token,
    ];
  }

  override accepts(): boolean {
    return true;
  }

  override readReport(status: number, headers: HeaderFields): ResponseReport {
    return readResponseReport(status, headers);
  }
}
