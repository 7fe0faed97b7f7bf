/**
 * State chart of the health of a target.
 *
 * @packageDocumentation
 */
import {compileChart, type ChartFile} from '../charts/index.js';
import file from './target.json' with {type: 'json'};

/** Health state of a target as seen by one VM. */
export type HealthState = 'healthy' | 'suspect' | 'ejected' | 'probation';

/** Event that changes the health state of a target. */
export type HealthEvent =
  | 'success'
  /** Error response, lost connection or failure to connect. */
  | 'failure'
  /** Explicit refusal: the target sheds load. */
  | 'refusal'
  /** No answer before the deadline. */
  | 'silence'
  | 'timer';

/** Metadata of a state in `target.json`. */
interface HealthMeta {
  /** False if the target must not receive requests. */
  readonly usable: boolean;
  /** Number of events of a kind that trigger a transition; 1 if absent. */
  readonly needed?: Readonly<Partial<Record<HealthEvent, number>>>;
  /**
   * Time in the state until `timer` occurs, in milliseconds; never if absent.
   */
  readonly timerMs?: number;
}

/**
 * Compiled chart of `target.json`.
 *
 * @internal
 */
export const targetChart = compileChart<HealthState, HealthEvent>(
  file as ChartFile<HealthState, HealthEvent>,
);

/**
 * Returns the metadata of a state.
 *
 * @param state - state to look up
 * @returns the `meta` object of the state in `target.json`
 * @internal
 */
export function healthMeta(state: HealthState): HealthMeta {
  return targetChart.metaOf(state) as unknown as HealthMeta;
}
