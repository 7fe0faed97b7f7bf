/**
 * Refusals: answers to callers without a response of a target.
 *
 * @packageDocumentation
 */
import type {Verdict} from '../core/index.js';
import type {RefusalReason, RequestOutcome} from './types.js';

/** Load peaks last only seconds, so callers may retry soon. */
const RETRY_AFTER_SECONDS = 1;

/** HTTP status codes that do not depend on the verdict. */
const FIXED_STATUS: Readonly<Partial<Record<RefusalReason, number>>> = {
  'unknown-service': 404,
  'unknown-kind': 404,
  quarantined: 422,
  'key-mismatch': 422,
  'already-ran': 409,
  'already-running': 409,
  'possibly-ran': 409,
  deadline: 504,
};

/**
 * Builds a refusal. Unless the reason has a fixed status, it is 503 for the
 * verdict `not-run`. For any other verdict it is 409 if an earlier copy sent by
 * the caller may have run, and 502 if an attempt of this VM may have run.
 *
 * @internal
 */
export function buildRefusal(
  reason: RefusalReason,
  verdict: Verdict,
  isUnverifiedCopy: boolean,
): RequestOutcome {
  const fallback = isUnverifiedCopy ? 409 : 502;
  const status =
    FIXED_STATUS[reason] ?? (verdict === 'not-run' ? 503 : fallback);
  return {
    type: 'refusal',
    status,
    verdict,
    reason,
    retryAfterSeconds: status === 503 ? RETRY_AFTER_SECONDS : undefined,
  };
}
