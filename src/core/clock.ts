/**
 * Monotonic time within one process.
 *
 * @packageDocumentation
 */

/**
 * An instant of the process's monotonic clock, in milliseconds. Instants of
 * two processes are never compared.
 */
export type InstantMs = number;

/**
 * Source of monotonic instants.
 *
 * @example
 * ```ts
 * const deadlineMs = clock.nowMs() + 500;
 * ```
 */
export abstract class Clock {
  /**
   * Returns the current instant.
   *
   * @returns instant in milliseconds
   */
  abstract nowMs(): InstantMs;
}

/**
 * Clock that only moves when it is advanced, for tests and replays.
 *
 * @example
 * ```ts
 * const clock = new ManualClock({startMs: 0});
 * clock.advanceMs(10);
 * ```
 */
export class ManualClock extends Clock {
  private currentMs: InstantMs;

  /**
   * @param options - `startMs`: first instant in milliseconds, 0 by default
   */
  constructor(options: {readonly startMs?: InstantMs} = {}) {
    super();
    this.currentMs = options.startMs ?? 0;
  }

  override nowMs(): InstantMs {
    return this.currentMs;
  }

  /**
   * Moves the clock forward.
   *
   * @param deltaMs - milliseconds to add; must not be negative
   * @returns the new instant in milliseconds
   * @throws RangeError if `deltaMs` is negative
   */
  advanceMs(deltaMs: number): InstantMs {
    if (deltaMs < 0) {
      throw new RangeError(`a monotonic clock cannot go back ${-deltaMs} ms`);
    }
    this.currentMs += deltaMs;
    return this.currentMs;
  }
}
