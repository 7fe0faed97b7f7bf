/**
 * Schedule of the fetches by which VMs of one position exchange what the store
 * does not list.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Shortest and longest time between two fetches; doubles while they bring
 * nothing new.
 */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 16_000;

/**
 * Decides when to fetch the complete state of a peer at the same position: if
 * the digests differ, or once after this VM may have missed changes that a
 * restored store has lost.
 */
export class Reconciliation {
  private nextMs: InstantMs = -Infinity;
  private intervalMs = MIN_INTERVAL_MS;
  private isRequested = false;

  /** Requests a fetch from the next peer, even if its digest is the same. */
  request(): void {
    this.isRequested = true;
  }

  /**
   * Decides whether to fetch now, and counts the fetch if so.
   *
   * @param isDigestDifferent - true if the digest of the peer differs
   * @param nowMs - current instant in milliseconds
   * @returns true to fetch
   */
  tryBegin(isDigestDifferent: boolean, nowMs: InstantMs): boolean {
    if ((!isDigestDifferent && !this.isRequested) || nowMs < this.nextMs) {
      return false;
    }
    this.nextMs = nowMs + this.intervalMs;
    return true;
  }

  /**
   * Records a completed fetch.
   *
   * @param isChanged - true if the fetch changed this VM's state
   */
  complete(isChanged: boolean): void {
    this.isRequested = false;
    this.intervalMs = isChanged
      ? MIN_INTERVAL_MS
      : Math.min(2 * this.intervalMs, MAX_INTERVAL_MS);
  }
}
