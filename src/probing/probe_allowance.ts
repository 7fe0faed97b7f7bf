/**
 * Allowance of probes that are sent on demand.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Time whose allowance can be saved up; covers a burst of requests. */
const SAVED_MS = 1_000;

/** Token bucket whose rate may change with the fleet. */
export class ProbeAllowance {
  private tokens = 0;
  private updatedMs: InstantMs | undefined;

  /**
   * Takes probes. A probe is charged when it is sent, whatever its outcome.
   *
   * @param count - probes wanted
   * @param perSecond - probes that this VM may send each second
   * @param nowMs - current instant in milliseconds
   * @returns false if fewer are left; then none is taken
   */
  tryTake(count: number, perSecond: number, nowMs: InstantMs): boolean {
    const elapsedMs = nowMs - (this.updatedMs ?? nowMs - SAVED_MS);
    this.updatedMs = nowMs;
    const saved = this.tokens + (perSecond * elapsedMs) / 1000;
    this.tokens = Math.min(saved, (perSecond * SAVED_MS) / 1000);
    if (this.tokens < count) {
      return false;
    }
    this.tokens -= count;
    return true;
  }
}
