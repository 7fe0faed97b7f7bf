/**
 * Drain flags of a service's targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {DrainSignal} from '../routing/types.js';

/**
 * Time after a cleared drain during which peers' signals are ignored, in
 * milliseconds. A configuration reaches all VMs within 15 s; until then a peer
 * may still repeat the drain that the list has ended, and VMs would keep
 * each other's flag set.
 */
const PEER_HOLD_MS = 15_000;

/** Drain of one target. */
export interface DrainRecord {
  /** Signal that was seen first. */
  readonly signal: DrainSignal;
  /** Instant of the first signal. */
  readonly sinceMs: InstantMs;
}

/** A drain with the evidence that may end it. */
interface MutableDrain extends DrainRecord {
  /** True once a VM list showed the target as leaving. */
  shownByList: boolean;
}

/**
 * Keeps the drain flag of each target. The earliest signal sets it. It ends
 * only when the target leaves the list, or when a list shows the target live
 * after an earlier list showed it leaving. A list that never showed the drain
 * may have been written before it and proves nothing.
 *
 * @example
 * ```ts
 * flags.mark('t-07', 'response', nowMs, nowMs);
 * flags.isDraining('t-07'); // true
 * ```
 */
export class DrainFlags {
  private readonly drains = new Map<string, MutableDrain>();
  private readonly clearedMs = new Map<string, InstantMs>();

  /**
   * Sets the flag unless the signal is older than the list that ended the
   * last drain.
   *
   * @param targetId - target that drains
   * @param signal - where the sign came from
   * @param observedMs - instant at which the target gave the sign
   * @param nowMs - current instant in milliseconds
   * @returns true if the flag was not set before
   */
  mark(
    targetId: string,
    signal: DrainSignal,
    observedMs: InstantMs,
    nowMs: InstantMs,
  ): boolean {
    const known = this.drains.get(targetId);
    if (known !== undefined) {
      known.shownByList ||= signal === 'vm-list';
      return false;
    }
    if (this.precedesClear(targetId, signal, observedMs)) {
      return false;
    }
    const shownByList = signal === 'vm-list';
    this.drains.set(targetId, {signal, sinceMs: nowMs, shownByList});
    return true;
  }

  /**
   * Takes in that a newer VM list shows the target as live.
   *
   * @param targetId - listed target
   * @param nowMs - current instant in milliseconds
   * @returns true if this ended a drain
   */
  onListedLive(targetId: string, nowMs: InstantMs): boolean {
    if (this.drains.get(targetId)?.shownByList !== true) {
      return false;
    }
    this.drains.delete(targetId);
    this.clearedMs.set(targetId, nowMs);
    return true;
  }

  /**
   * Forgets a target that left the list.
   *
   * @param targetId - target that left
   */
  remove(targetId: string): void {
    this.drains.delete(targetId);
    this.clearedMs.delete(targetId);
  }

  /**
   * Tells whether a target drains.
   *
   * @param targetId - target to look up
   * @returns true if it must receive no new request
   */
  isDraining(targetId: string): boolean {
    return this.drains.has(targetId);
  }

  /**
   * Looks up the drain of a target.
   *
   * @param targetId - target to look up
   * @returns first signal and its instant; undefined if it does not drain
   */
  recordOf(targetId: string): DrainRecord | undefined {
    return this.drains.get(targetId);
  }

  /** True if the signal may stem from the drain that the list has ended. */
  private precedesClear(
    targetId: string,
    signal: DrainSignal,
    observedMs: InstantMs,
  ): boolean {
    const clearedMs = this.clearedMs.get(targetId);
    if (clearedMs === undefined || signal === 'vm-list') {
      return false;
    }
    const holdMs = signal === 'peer' ? PEER_HOLD_MS : 0;
    return observedMs <= clearedMs + holdMs;
  }
}
