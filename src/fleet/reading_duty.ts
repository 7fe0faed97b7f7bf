/**
 * When a VM reads the store itself.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Age of the last confirmation at which a VM no longer relies on its peers.
 * Leaves time to read within the shortest bound for a leaving target (2 s).
 */
export const STALE_AFTER_MS = 1_100;

/** Spread of the ages at which VMs of one failure domain begin to read. */
const STALE_SPREAD_MS = 600;

/** Time for which peers must be fresh until a VM that stepped in stops. */
const CALM_MS = 2_500;

/** Inputs of {@link ReadingDuty.decide}. */
export interface ReadingInputs {
  /** This VM is one of the readers. */
  readonly isReader: boolean;
  /** Instant of the newest confirmation that came from a peer. */
  readonly peerConfirmedMs: InstantMs;
  /** Number from 0 to 1 that spreads the VMs. */
  readonly spread: number;
}

/**
 * Readers read always. Any other VM reads while its peers have had no fresh
 * confirmation for it, and stops once they have had one all along for a while.
 */
export class ReadingDuty {
  private steppedInMs: InstantMs | undefined;
  private lastStaleMs: InstantMs = 0;

  /** @param startMs - instant of the start in milliseconds */
  constructor(private readonly startMs: InstantMs) {}

  /** True while this VM reads in place of the readers. */
  get hasSteppedIn(): boolean {
    return this.steppedInMs !== undefined;
  }

  /**
   * Decides whether this VM reads the store now.
   *
   * @param inputs - duties and news of peers
   * @param nowMs - current instant in milliseconds
   * @returns true if it reads
   */
  decide(inputs: ReadingInputs, nowMs: InstantMs): boolean {
    const heardMs = Math.max(inputs.peerConfirmedMs, this.startMs);
    const limitMs = STALE_AFTER_MS + inputs.spread * STALE_SPREAD_MS;
    if (nowMs - heardMs > STALE_AFTER_MS) {
      this.lastStaleMs = nowMs;
    }
    if (nowMs - heardMs > limitMs) {
      this.steppedInMs ??= nowMs;
    } else if (nowMs - this.lastStaleMs > CALM_MS) {
      this.steppedInMs = undefined;
    }
    return inputs.isReader || this.hasSteppedIn;
  }
}
