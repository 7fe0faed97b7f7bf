/**
 * Rate limit of on-demand probes.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Time over which unused tokens accumulate, to cover a burst of requests. */
const MAX_BURST_MS = 1_000;

/** Token bucket for probes whose rate may change with the size of the fleet. */
export class ProbeTokenBucket {
  private tokenCount = 0;
  private updatedMs: InstantMs | undefined;

  /**
   * Takes tokens for probes to be sent. Probes are charged regardless of their
   * outcome.
   *
   * @param count - number of probes to send
   * @param ratePerSecond - probes that this VM may send per second
   * @param nowMs - current instant in milliseconds
   * @returns true if `count` tokens were taken; false if fewer are left, and
   *     then none is taken
   */
  tryTake(count: number, ratePerSecond: number, nowMs: InstantMs): boolean {
    const elapsedMs = nowMs - (this.updatedMs ?? nowMs - MAX_BURST_MS);
    this.updatedMs = nowMs;
    const refilledCount = this.tokenCount + (ratePerSecond * elapsedMs) / 1000;
    this.tokenCount = Math.min(
      refilledCount,
      (ratePerSecond * MAX_BURST_MS) / 1000,
    );
    if (this.tokenCount < count) {
      return false;
    }
    this.tokenCount -= count;
    return true;
  }
}
