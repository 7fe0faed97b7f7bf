/**
 * Expected duration of a request at a target whose speed varies.
 *
 * @packageDocumentation
 */

/**
 * Time for which the reported speed of a machine stays valid. Machines are
 * shared, and their speed changes a few times a second.
 */
export const SPEED_PERIOD_MS = 500;

/** Load, as a share of slots, above which targets are assumed to be slower. */
const NEARLY_FULL_SHARE = 0.8;

/** Slowdown factor of targets that are nearly full. */
const NEARLY_FULL_FACTOR = 1.5;

/** Slowdown factor of targets that have just started. */
const COLD_FACTOR = 2;

/** Inputs of {@link expectedDurationMs}. */
export interface DurationInputs {
  /** Duration of the request on an idle target at usual speed. */
  readonly workMs: number;
  /** Requests at the target, this one excluded. */
  readonly inFlight: number;
  readonly slots: number;
  /** Reported slowness; 1 is the usual speed. */
  readonly slowness: number;
  /** Age of the load report in milliseconds. */
  readonly ageMs: number;
  /** Inverse of the mean speed of all targets. */
  readonly meanSlowness: number;
  readonly isCold: boolean;
}

/**
 * Computes the expected time from sending to the response. The reported
 * slowness applies for the rest of its period, the mean speed to the remaining
 * work.
 *
 * @param inputs - request, load and speed
 * @returns milliseconds
 */
export function expectedDurationMs(inputs: DurationInputs): number {
  const {inFlight, slots, meanSlowness} = inputs;
  const waitingCount = Math.max(0, inFlight + 1 - slots);
  const isNearlyFull = inFlight + 1 > slots * NEARLY_FULL_SHARE;
  const factor =
    (isNearlyFull ? NEARLY_FULL_FACTOR : 1) * (inputs.isCold ? COLD_FACTOR : 1);
  const workMs = inputs.workMs * factor;
  const queueMs = (workMs * waitingCount) / slots;
  return elapsedMsFor(workMs + queueMs, inputs, meanSlowness);
}

/** Returns the time that a target takes for an amount of work. */
function elapsedMsFor(
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
