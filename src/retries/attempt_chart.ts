/**
 * State chart of one attempt at a target.
 *
 * @packageDocumentation
 */
import {
  type Chart,
  ChartError,
  type ChartFile,
  compileChart,
} from '../charts/index.js';
import type {Verdict} from '../core/index.js';
import file from './attempt.json' with {type: 'json'};

/** States of an attempt; the last six are final. */
export type AttemptState =
  | 'chosen'
  | 'connecting'
  | 'sent'
  | 'responding'
  | 'answered'
  | 'refused'
  | 'unreachable'
  | 'lost'
  | 'cancelled-unsent'
  | 'cancelled-sent';

/** Events of an attempt. */
export type AttemptEvent =
  | 'connect'
  | 'send'
  | 'connection-failed'
  | 'first-byte'
  | 'complete'
  | 'refusal'
  | 'break'
  | 'cancel';

/** Compiled chart of `attempt.json`. */
export const attemptChart: Chart<AttemptState, AttemptEvent> = compileChart(
  file as ChartFile<AttemptState, AttemptEvent>,
);

const verdicts: ReadonlyMap<AttemptState, Verdict> = readVerdicts();

const finalStates: ReadonlySet<AttemptState> = readFinalStates();

/**
 * Returns the verdict that the chart file assigns to a state.
 *
 * @param state - state of an attempt
 * @returns the verdict on the attempt in that state
 *
 * @example
 * ```ts
 * verdictOfState('refused'); // 'not-run'
 * ```
 */
export function verdictOfState(state: AttemptState): Verdict {
  return verdicts.get(state) ?? 'may-have-run';
}

/**
 * Returns whether an attempt in this state has ended.
 *
 * @param state - state of an attempt
 * @returns true if the chart file marks the state as final
 *
 * @example
 * ```ts
 * isFinalState('sent'); // false
 * ```
 */
export function isFinalState(state: AttemptState): boolean {
  return finalStates.has(state);
}

function readVerdicts(): ReadonlyMap<AttemptState, Verdict> {
  const result = new Map<AttemptState, Verdict>();
  for (const state of Object.keys(file.states) as AttemptState[]) {
    const verdict = attemptChart.metaOf(state)['verdict'];
    if (
      verdict !== 'not-run' &&
      verdict !== 'ran' &&
      verdict !== 'may-have-run'
    ) {
      throw new ChartError(`chart attempt: state ${state} has no verdict`);
    }
    result.set(state, verdict);
  }
  return result;
}

function readFinalStates(): ReadonlySet<AttemptState> {
  const states = Object.entries(
    file.states as ChartFile<AttemptState, AttemptEvent>['states'],
  );
  const final = states.filter(([, state]) => state.type === 'final');
  return new Set(final.map(([name]) => name as AttemptState));
}
