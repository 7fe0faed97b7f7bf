/**
 * The verdict on a request: whether its work may have run at a target.
 *
 * @packageDocumentation
 */

/**
 * - `not-run`: no target has started or will start the work
 * - `ran`: a target answered
 * - `may-have-run`: bytes left for a target and no complete answer came back
 */
export type Verdict = 'not-run' | 'ran' | 'may-have-run';

/**
 * Combines the verdicts of several attempts of one request. `ran` wins over
 * `may-have-run`, which wins over `not-run`.
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
