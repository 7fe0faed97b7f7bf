/**
 * State charts: JSON files read by xstate and compiled to a transition table.
 *
 * xstate's pure `transition` costs about 20 us a step, too much for several
 * steps in each request; a table look-up costs well under 1 us.
 *
 * @packageDocumentation
 */
import {createMachine, getInitialSnapshot, transition} from 'xstate';

/** A chart file: flat states with events that name the next state. */
export interface ChartFile<S extends string, E extends string> {
  readonly id: string;
  readonly initial: S;
  readonly states: Readonly<Record<S, ChartState<S, E>>>;
}

/** One state of a chart file. */
export interface ChartState<S extends string, E extends string> {
  readonly type?: 'final';
  readonly meta?: Readonly<Record<string, unknown>>;
  readonly on?: Readonly<Partial<Record<E, S>>>;
}

/** Error thrown for an event that the chart does not allow in a state. */
export class ChartError extends Error {
  override readonly name = 'ChartError';
}

/**
 * Transition table of a chart.
 *
 * @example
 * ```ts
 * const chart = compileChart<State, Event>(file);
 * const next = chart.next('connecting', 'first-byte-sent');
 * ```
 */
export class Chart<S extends string, E extends string> {
  /**
   * @param id - name of the chart, for error messages
   * @param initial - initial state
   * @param table - next state by state and event
   * @param meta - metadata by state
   * @internal
   */
  constructor(
    readonly id: string,
    readonly initial: S,
    private readonly table: ReadonlyMap<S, ReadonlyMap<E, S>>,
    private readonly meta: ReadonlyMap<S, Readonly<Record<string, unknown>>>,
  ) {}

  /**
   * Takes a step.
   *
   * @param state - current state
   * @param event - event to apply
   * @returns the next state
   * @throws ChartError if the chart does not allow `event` in `state`
   */
  next(state: S, event: E): S {
    const target = this.table.get(state)?.get(event);
    if (target === undefined) {
      throw new ChartError(
        `chart ${this.id}: event ${event} is not allowed in state ${state}`,
      );
    }
    return target;
  }

  /**
   * Tells whether an event is allowed.
   *
   * @param state - current state
   * @param event - event to test
   * @returns true if the chart has a transition for it
   */
  accepts(state: S, event: E): boolean {
    return this.table.get(state)?.has(event) ?? false;
  }

  /**
   * Reads the metadata of a state.
   *
   * @param state - state to look up
   * @returns the `meta` object of the chart file; empty if there is none
   */
  metaOf(state: S): Readonly<Record<string, unknown>> {
    return this.meta.get(state) ?? {};
  }
}

/**
 * Compiles a chart file. xstate interprets the file once for each state and
 * event; the result is a table.
 *
 * @param file - parsed chart file
 * @returns the compiled chart
 * @throws ChartError if a transition names an unknown state
 *
 * @example
 * ```ts
 * import file from './attempt.json' with {type: 'json'};
 * const chart = compileChart<AttemptState, AttemptEvent>(file);
 * ```
 */
export function compileChart<S extends string, E extends string>(
  file: ChartFile<S, E>,
): Chart<S, E> {
  const states = Object.keys(file.states) as S[];
  const table = new Map<S, ReadonlyMap<E, S>>();
  const meta = new Map<S, Readonly<Record<string, unknown>>>();
  for (const state of states) {
    table.set(state, compileState(file, state));
    meta.set(state, file.states[state].meta ?? {});
  }
  return new Chart(file.id, file.initial, table, meta);
}

/** Runs each event of one state through xstate and collects the results. */
function compileState<S extends string, E extends string>(
  file: ChartFile<S, E>,
  state: S,
): ReadonlyMap<E, S> {
  const row = new Map<E, S>();
  const events = Object.keys(file.states[state].on ?? {}) as E[];
  for (const event of events) {
    row.set(event, interpretStep(file, state, event));
  }
  return row;
}

/** Takes one step with xstate. */
function interpretStep<S extends string, E extends string>(
  file: ChartFile<S, E>,
  state: S,
  event: E,
): S {
  try {
    const machine = createMachine({...file, initial: state} as never);
    const [next] = transition(machine, getInitialSnapshot(machine), {
      type: event,
    } as never);
    return next.value as S;
  } catch (error) {
    throw new ChartError(`chart ${file.id}: ${String(error)}`);
  }
}
