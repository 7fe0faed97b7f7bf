/**
 * Requests that this VM passes to peers.
 *
 * @packageDocumentation
 */
import {
  RELAY_HEADER,
  REMAINING_HEADER,
  type HeaderFields,
} from '../caller_http/index.js';
import {
  TargetProtocol,
  type AttemptRequest,
  type ConnectionTiming,
  type ResponseHead,
  type ResponseReport,
} from '../target_http/index.js';
import {FORWARDED_RESPONSE} from './relay_head.js';

/** Header with the verdict of a refusal. */
const VERDICT_HEADER = 'x-verdict';

/**
 * Distinguishes the responses of targets, which a peer forwards, from the peer's
 * own refusals.
 */
export class RelayTargetProtocol extends TargetProtocol {
  override readonly timing: ConnectionTiming = {
    connectTimeoutMs: 150,
    idleTimeoutMs: 4_000,
    provenWindowMs: 500,
    detectsCrashes: false,
  };

  override attemptHeaders(
    _request: AttemptRequest,
    remainingMs: number,
  ): readonly string[] {
    const wholeMs = Math.max(1, Math.floor(remainingMs));
    return [REMAINING_HEADER, String(wholeMs)];
  }

  override accepts(_request: AttemptRequest, {headers}: ResponseHead): boolean {
    return isForwarded(headers) || headers[VERDICT_HEADER] !== undefined;
  }

  override allowsReuse(): boolean {
    return true;
  }

  override readReport(_status: number, headers: HeaderFields): ResponseReport {
    const isRefusal = !isForwarded(headers);
    const refused = isRefusal && headers[VERDICT_HEADER] === 'not-run';
    return {
      refused,
      unanswered: isRefusal && !refused,
      retryAfterSeconds: isRefusal
        ? parseSeconds(headers['retry-after'])
        : undefined,
      draining: false,
      inFlight: undefined,
    };
  }
}

function isForwarded(headers: HeaderFields): boolean {
  return headers[RELAY_HEADER] === FORWARDED_RESPONSE;
}

/** Parses the delay of a refusal; undefined if it is no decimal number. */
function parseSeconds(
  value: string | readonly string[] | undefined,
): number | undefined {
  return typeof value === 'string' && /^\d{1,4}(\.\d{1,6})?$/.test(value)
    ? Number(value)
    : undefined;
}
