/**
 * Drain flags of the targets of a service.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {DrainSignal} from '../routing/types.js';

/**
 * Time after the end of a drain during which signals from peers are ignored, in
 * milliseconds. A configuration reaches all VMs within 15 s. Until then a peer
 * may still report the drain that the VM list ended, and VMs would set each
 * other's flags again and again.
 */
const PEER_HOLD_OFF_MS = 15_000;

/** Drain of one target. */
export interface DrainRecord {
  /** Origin of the first signal. */
  readonly signal: DrainSignal;
  /** Instant at which the first signal was received. */
  readonly sinceMs: InstantMs;
}

/** Drain together with the evidence that allows a VM list to end it. */
interface TrackedDrain extends DrainRecord {
  /** True once a VM list has shown the target as leaving. */
  shownByList: boolean;
}

/**
 * Tracks the drain flag of each target. The first signal sets the flag. It is
 * cleared only when the target is removed from the VM list, or when a list
 * shows the target as live after an earlier list showed it as leaving. A list
 * that never showed the drain may predate it and does not clear the flag.
 *
 * @example
 * ```ts
 * flags.mark('t-07', 'response', nowMs, nowMs);
 * flags.isDraining('t-07'); // true
 * ```
 */
export class DrainFlags {
  private readonly drains = new Map<string, TrackedDrain>();
  private readonly clearedMs = new Map<string, InstantMs>();

  /**
   * Sets the flag unless the signal may predate the end of the last drain.
   *
   * @param targetId - target that is draining
   * @param signal - origin of the signal
   * @param observedMs - instant at which the target gave the signal
   * @param nowMs - current instant in milliseconds
   * @returns true if this call set the flag
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
    if (this.predatesClear(targetId, signal, observedMs)) {
      return false;
    }
    const shownByList = signal === 'vm-list';
    this.drains.set(targetId, {signal, sinceMs: nowMs, shownByList});
    return true;
  }

  /**
   * Clears the flag if an earlier VM list showed the drain. Call it when a
   * newer list shows the target as live.
   *
   * @param targetId - listed target
   * @param nowMs - current instant in milliseconds
   * @returns true if this call cleared the flag
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
   * Deletes the state of a target that was removed from the VM list.
   *
   * @param targetId - removed target
   */
  remove(targetId: string): void {
    this.drains.delete(targetId);
    this.clearedMs.delete(targetId);
  }

  /**
   * Returns whether a target is draining.
   *
   * @param targetId - target to look up
   * @returns true if the target must not receive new requests
   */
  isDraining(targetId: string): boolean {
    return this.drains.has(targetId);
  }

  /**
   * Returns the drain of a target.
   *
   * @param targetId - target to look up
   * @returns first signal and its instant; undefined if the target is not
   *     draining
   */
  recordOf(targetId: string): DrainRecord | undefined {
    return this.drains.get(targetId);
  }

  /** Returns whether a signal may belong to the drain that a list ended. */
  private predatesClear(
    targetId: string,
    signal: DrainSignal,
    observedMs: InstantMs,
  ): boolean {
    const clearedMs = this.clearedMs.get(targetId);
    if (clearedMs === undefined || signal === 'vm-list') {
      return false;
    }
    const holdOffMs = signal === 'peer' ? PEER_HOLD_OFF_MS : 0;
    return observedMs <= clearedMs + holdOffMs;
  }
}
