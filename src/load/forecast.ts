/**
 * Expected duration of a request at a target whose speed changes.
 *
 * @packageDocumentation
 */

/**
 * Time for which the stated speed of a machine holds on. Machines are shared,
 * and their speed changes a few times a second.
 */
export const SPEED_PERIOD_MS = 500;

/** Load from which on targets are assumed to be slower, as a share of slots. */
const FULL_SHARE = 0.8;

/** Factor of the duration at targets that are nearly full. */
const FULL_FACTOR = 1.5;

/** Factor of the duration at targets that have just started. */
const COLD_FACTOR = 2;

/** Inputs of {@link expectedDurationMs}. */
export interface DurationInputs {
  /** Time of the request on an undisturbed target. */
  readonly workMs: number;
  /** Requests at the target before this one. */
  readonly inFlight: number;
  readonly slots: number;
  /** Stated slowness; 1 is usual. */
  readonly slowness: number;
  /** Age of the statement in milliseconds. */
  readonly ageMs: number;
  /** Slowness of targets on average, as far as work is concerned. */
  readonly meanSlowness: number;
  readonly isCold: boolean;
}

/**
 * Computes the expected time from sending to the answer. The stated slowness
 * holds for the rest of its period; what is left then runs at the mean.
 *
 * @param inputs - request, load and speed
 * @returns milliseconds
 */
export function expectedDurationMs(inputs: DurationInputs): number {
  const {inFlight, slots, meanSlowness} = inputs;
  const waitingCount = Math.max(0, inFlight + 1 - slots);
  const isNearlyFull = inFlight + 1 > slots * FULL_SHARE;
  const factor =
    (isNearlyFull ? FULL_FACTOR : 1) * (inputs.isCold ? COLD_FACTOR : 1);
  const workMs = inputs.workMs * factor;
  const queueMs = (workMs * waitingCount) / slots;
  return elapsedFor(workMs + queueMs, inputs, meanSlowness);
}

/** Time in which a target does an amount of undisturbed work. */
function elapsedFor(
  workMs: number,
  {slowness, ageMs}: DurationInputs,
  meanSlowness: number,
): number {
  const holdMs = Math.max(0, (SPEED_PERIOD_MS - ageMs) / 2);
  if (workMs * slowness <= holdMs) {
    return workMs * slowness;
  }
  return holdMs + (workMs - holdMs / slowness) * meanSlowness;
}
