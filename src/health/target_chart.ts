/**
 * Health chart of a target.
 *
 * @packageDocumentation
 */
import {compileChart, type ChartFile} from '../charts/index.js';
import file from './target.json' with {type: 'json'};

/** Health of a target as seen by one VM. */
export type HealthState = 'healthy' | 'suspect' | 'ejected' | 'probation';

/** What a VM observes of a target. */
export type HealthEvent =
  | 'success'
  /** Error response, broken connection, or no connection. */
  | 'failure'
  /** Explicit refusal; the target sheds load. */
  | 'refusal'
  /** No answer within the deadline. */
  | 'silence'
  | 'timer';

/** Metadata of a state in `target.json`. */
interface HealthMeta {
  /** False if the target must not be chosen. */
  readonly usable: boolean;
  /** Events of one kind that make one step; 1 where absent. */
  readonly needed?: Readonly<Partial<Record<HealthEvent, number>>>;
  /** Time in the state after which `timer` occurs; none if absent. */
  readonly timerMs?: number;
}

/**
 * Chart of `target.json`, compiled.
 *
 * @internal
 */
export const targetChart = compileChart<HealthState, HealthEvent>(
  file as ChartFile<HealthState, HealthEvent>,
);

/**
 * Reads the metadata of a state.
 *
 * @param state - state to look up
 * @returns the `meta` object of the state in `target.json`
 * @internal
 */
export function healthMeta(state: HealthState): HealthMeta {
  return targetChart.metaOf(state) as unknown as HealthMeta;
}
