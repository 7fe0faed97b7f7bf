/**
 * Answers to callers whose request gets no answer of a target.
 *
 * @packageDocumentation
 */
import type {Verdict} from '../core/index.js';
import type {Outcome, RefusalReason} from './types.js';

/** Peaks of load last seconds, so a caller may soon ask again. */
const RETRY_AFTER_SECONDS = 1;

/** Status codes that do not depend on the verdict. */
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
 * Builds the answer to a caller. With the verdict `not-run` it is 503. Any
 * other verdict is 409 if it stems from an earlier copy that the caller sent,
 * and 502 if it stems from an attempt of this VM.
 *
 * @internal
 */
export function buildRefusal(
  reason: RefusalReason,
  verdict: Verdict,
  isUnverifiedCopy: boolean,
): Outcome {
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
