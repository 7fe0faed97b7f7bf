/**
 * Handling of pauses of this process.
 *
 * @packageDocumentation
 */
import {PauseDetector, type Clock} from '../core/index.js';
import type {Membership} from '../membership/index.js';
import type {HomeVm} from '../recovery/index.js';
import type {ComponentLog} from './component_log.js';

/**
 * Longest gap between checks that does not count as a pause, in milliseconds.
 */
const MAX_GAP_MS = 250;

/** Options of {@link PauseGuard}. */
export interface PauseGuardOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly home: HomeVm;
  readonly log: ComponentLog;
}

/**
 * Revalidates membership and claim records after a pause. Call `check` before
 * each input that depends on them, because any input may be the first one after
 * a pause. The engine has its own detector.
 */
export class PauseGuard {
  private readonly detector = new PauseDetector({maxGapMs: MAX_GAP_MS});

  /** @param options - clock and the components that depend on time */
  constructor(private readonly options: PauseGuardOptions) {}

  /** Detects a pause that ended with this call, and revalidates after it. */
  check(): void {
    const {clock, membership, home, log} = this.options;
    const nowMs = clock.nowMs();
    const pause = this.detector.observeTick(nowMs);
    if (pause === undefined) {
      return;
    }
    const pauseMs = Math.round(pause.resumedMs - pause.lastTickMs);
    log.warn(`this process paused for ${pauseMs} ms`);
    // Heartbeats missed during a pause of this process say nothing about peers.
    membership.onPause(nowMs);
    home.onPause(pauseMs, nowMs);
  }
}
