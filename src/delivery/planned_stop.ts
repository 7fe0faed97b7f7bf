/**
 * Which requests are taken during a planned stop.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Multiple of the forecast duration that must remain before the end of a
 * planned stop.
 */
const STOP_MARGIN_FACTOR = 2;

/** End of a planned stop, and whether arrivals are still taken. */
export class PlannedStop {
  private endsAtMs: InstantMs = Infinity;
  private refusesArrivals = false;

  /** True once all requests that arrive have to be refused. */
  get isRefusingArrivals(): boolean {
    return this.refusesArrivals;
  }

  /**
   * Begins the stop.
   *
   * @param endsAtMs - instant at which open requests are aborted
   */
  begin(endsAtMs: InstantMs): void {
    this.endsAtMs = endsAtMs;
  }

  /** Refuses all requests that arrive from now on. */
  refuseArrivals(): void {
    this.refusesArrivals = true;
  }

  /**
   * Returns whether a response is expected before the end.
   *
   * @param durationMs - expected time until the response, in milliseconds
   * @param nowMs - current instant in milliseconds
   */
  canFinish(durationMs: number, nowMs: InstantMs): boolean {
    return nowMs + durationMs * STOP_MARGIN_FACTOR < this.endsAtMs;
  }
}
