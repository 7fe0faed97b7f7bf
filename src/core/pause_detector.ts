/**
 * Detection of pauses of this process (frozen VM, stopped process, long
 * garbage collection).
 *
 * @packageDocumentation
 */
import type {InstantMs} from './clock.js';

/** Pause of this process. */
export interface Pause {
  /** Instant of the last tick before the pause. */
  readonly lastTickMs: InstantMs;
  /** Instant of the first tick after the pause. */
  readonly resumedMs: InstantMs;
}

/**
 * Detects pauses from gaps between regular ticks.
 *
 * @example
 * ```ts
 * const detector = new PauseDetector({maxGapMs: 250});
 * const pause = detector.observeTick(clock.nowMs());
 * ```
 */
export class PauseDetector {
  private readonly maxGapMs: number;
  private lastTickMs: InstantMs | undefined;

  /**
   * @param options - `maxGapMs`: longest gap between ticks, in milliseconds,
   *     that does not count as a pause
   */
  constructor(options: {readonly maxGapMs: number}) {
    this.maxGapMs = options.maxGapMs;
  }

  /**
   * Records a tick.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the pause that ended with this tick, or undefined
   */
  observeTick(nowMs: InstantMs): Pause | undefined {
    const lastTickMs = this.lastTickMs;
    this.lastTickMs = nowMs;
    if (lastTickMs === undefined || nowMs - lastTickMs <= this.maxGapMs) {
      return undefined;
    }
    return {lastTickMs, resumedMs: nowMs};
  }
}
