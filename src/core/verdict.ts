/**
 * Verdict on a request: whether a target may have executed it.
 *
 * @packageDocumentation
 */

/**
 * Verdict on a request or an attempt.
 *
 * - `not-run`: no target has executed the request or will execute it
 * - `ran`: a target responded
 * - `may-have-run`: bytes were sent to a target, but no complete response
 *   arrived
 */
export type Verdict = 'not-run' | 'ran' | 'may-have-run';

/**
 * Combines the verdicts of several attempts of one request. `ran` takes
 * precedence over `may-have-run`, which takes precedence over `not-run`.
 *
 * @param verdicts - verdicts of the attempts
 * @returns the verdict on the request; `not-run` when there was no attempt
 *
 * @example
 * ```ts
 * combineVerdicts(['not-run', 'may-have-run']); // 'may-have-run'
 * ```
 */
export function combineVerdicts(verdicts: readonly Verdict[]): Verdict {
  if (verdicts.includes('ran')) {
    return 'ran';
  }
  return verdicts.includes('may-have-run') ? 'may-have-run' : 'not-run';
}
