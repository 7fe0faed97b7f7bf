/**
 * Policy that decides when a VM reads the store itself.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Age of the last confirmation after which a VM no longer relies on its peers.
 * Leaves time to read within the shortest bound for a leaving target (2 s).
 */
export const STALE_AFTER_MS = 1_100;

/** Maximum jitter that spreads the start of reads within a failure domain. */
const STALE_JITTER_MS = 600;

/** Time for which confirmations must stay fresh before the fallback ends. */
const FALLBACK_HOLD_MS = 2_500;

/** Inputs of {@link StoreReadPolicy.decide}. */
export interface StoreReadInputs {
  /** True if this VM is one of the assigned readers. */
  readonly isReader: boolean;
  /** Instant of the newest confirmation received from a peer. */
  readonly peerConfirmedMs: InstantMs;
  /** Share of the jitter that this VM adds, 0 to 1. */
  readonly jitterShare: number;
}

/**
 * Decides whether a VM reads the store. Assigned readers always read. Any other
 * VM falls back to reading when its peers deliver no fresh confirmation, and
 * stops once their confirmations have been fresh without interruption for a
 * while.
 */
export class StoreReadPolicy {
  private fallbackSinceMs: InstantMs | undefined;
  private lastStaleMs: InstantMs = 0;

  /** @param startMs - instant of the start in milliseconds */
  constructor(private readonly startMs: InstantMs) {}

  /** True while this VM reads because its peers' confirmations are stale. */
  get isFallbackActive(): boolean {
    return this.fallbackSinceMs !== undefined;
  }

  /**
   * Decides whether this VM reads the store now.
   *
   * @param inputs - role of this VM and confirmations of its peers
   * @param nowMs - current instant in milliseconds
   * @returns true if this VM reads
   */
  decide(inputs: StoreReadInputs, nowMs: InstantMs): boolean {
    const confirmedMs = Math.max(inputs.peerConfirmedMs, this.startMs);
    const limitMs = STALE_AFTER_MS + inputs.jitterShare * STALE_JITTER_MS;
    if (nowMs - confirmedMs > STALE_AFTER_MS) {
      this.lastStaleMs = nowMs;
    }
    if (nowMs - confirmedMs > limitMs) {
      this.fallbackSinceMs ??= nowMs;
    } else if (nowMs - this.lastStaleMs > FALLBACK_HOLD_MS) {
      this.fallbackSinceMs = undefined;
    }
    return inputs.isReader || this.isFallbackActive;
  }
}
