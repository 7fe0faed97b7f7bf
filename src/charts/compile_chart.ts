/**
 * State charts: JSON files that xstate interprets once, compiled to a
 * transition table.
 *
 * xstate's pure `transition` takes about 20 us, too much for several
 * transitions per request; a table lookup takes well under 1 us.
 *
 * @packageDocumentation
 */
import {createMachine, getInitialSnapshot, transition} from 'xstate';

/** Chart file: flat states that map each event to the next state. */
export interface ChartFile<S extends string, E extends string> {
  readonly id: string;
  readonly initial: S;
  readonly states: Readonly<Record<S, ChartState<S, E>>>;
}

/** State in a chart file. */
export interface ChartState<S extends string, E extends string> {
  readonly type?: 'final';
  readonly meta?: Readonly<Record<string, unknown>>;
  readonly on?: Readonly<Partial<Record<E, S>>>;
}

/**
 * Error thrown for an invalid chart file or an event not allowed in a state.
 */
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
   * Returns the state that an event leads to.
   *
   * @param state - current state
   * @param event - event that occurred
   * @returns the next state
   * @throws ChartError if the chart does not allow `event` in `state`
   */
  next(state: S, event: E): S {
    const nextState = this.table.get(state)?.get(event);
    if (nextState === undefined) {
      throw new ChartError(
        `chart ${this.id}: event ${event} is not allowed in state ${state}`,
      );
    }
    return nextState;
  }

  /**
   * Returns whether a state allows an event.
   *
   * @param state - current state
   * @param event - event to test
   * @returns true if the chart has a transition for it
   */
  accepts(state: S, event: E): boolean {
    return this.table.get(state)?.has(event) ?? false;
  }

  /**
   * Returns the metadata of a state.
   *
   * @param state - state to look up
   * @returns the `meta` object of the chart file; empty if there is none
   */
  metaOf(state: S): Readonly<Record<string, unknown>> {
    return this.meta.get(state) ?? {};
  }
}

/**
 * Compiles a chart file to a transition table. xstate interprets each event of
 * each state once.
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
    table.set(state, compileTransitions(file, state));
    meta.set(state, file.states[state].meta ?? {});
  }
  return new Chart(file.id, file.initial, table, meta);
}

/** Computes the transitions of one state with xstate. */
function compileTransitions<S extends string, E extends string>(
  file: ChartFile<S, E>,
  state: S,
): ReadonlyMap<E, S> {
  const transitions = new Map<E, S>();
  const events = Object.keys(file.states[state].on ?? {}) as E[];
  for (const event of events) {
    transitions.set(event, computeTransition(file, state, event));
  }
  return transitions;
}

/** Computes one transition with xstate. */
function computeTransition<S extends string, E extends string>(
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
