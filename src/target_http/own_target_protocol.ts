/**
 * The product's own protocol for targets.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {AttemptRequest} from './attempt.js';
import {readCarriedReport} from './load_headers.js';
import {
  TargetProtocol,
  type CarriedReport,
  type ConnectionTiming,
} from './target_protocol.js';

/** Age up to which an answer or the opening proves that a connection works. */
export const PROVEN_WINDOW_MS = 1_000;

/** A connection that is not established by then counts as not reachable. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Idle connections are closed after this time. */
const IDLE_TIMEOUT_MS = 30_000;

/** Remaining time and token in headers; load on each response. */
export class OwnTargetProtocol extends TargetProtocol {
  override readonly timing: ConnectionTiming = {
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    provenWindowMs: PROVEN_WINDOW_MS,
    testsCrashes: true,
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

  override readReport(status: number, headers: HeaderFields): CarriedReport {
    return readCarriedReport(status, headers);
  }
}
