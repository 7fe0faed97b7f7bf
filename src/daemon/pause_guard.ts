/**
 * Reaction to pauses of this process.
 *
 * @packageDocumentation
 */
import {PauseDetector, type Clock} from '../core/index.js';
import type {Membership} from '../membership/index.js';
import type {HomeVm} from '../recovery/index.js';
import type {ComponentLog} from './component_log.js';

/** A gap between checks that is longer counts as a pause. */
const MAX_GAP_MS = 250;

/** Options of {@link PauseGuard}. */
export interface PauseGuardOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly home: HomeVm;
  readonly log: ComponentLog;
}

/**
 * Re-validates membership and claim records after a pause. To be called before
 * each input that depends on them, since any of them may be the first one after
 * a pause; the engine has a detector of its own.
 */
export class PauseGuard {
  private readonly detector = new PauseDetector({maxGapMs: MAX_GAP_MS});

  /** @param options - the parts that depend on time */
  constructor(private readonly options: PauseGuardOptions) {}

  /** Looks for a pause that ended with this call. */
  check(): void {
    const {clock, membership, home, log} = this.options;
    const nowMs = clock.nowMs();
    const pause = this.detector.observeTick(nowMs);
    if (pause === undefined) {
      return;
    }
    const pauseMs = Math.round(pause.resumedMs - pause.lastTickMs);
    log.warn(`this process paused for ${pauseMs} ms`);
    // Missing heartbeats during the own pause prove nothing about peers.
    membership.onPause(nowMs);
    home.onPause(pauseMs, nowMs);
  }
}
