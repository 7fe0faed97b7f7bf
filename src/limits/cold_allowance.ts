/**
 * Share of this VM in what a cold target takes from the whole fleet.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';

/**
 * Time for which a turn can be used. The requests of any second are those of
 * turns that began up to this long before it, so half a second lets a target get
 * half more than its rate at most, on average.
 */
const TURN_MS = 500;

/** Time for which the use of turns of a target is kept. */
const FORGET_MS = 60_000;

/** A target that was started not long ago or has become cold again. */
export interface ColdTarget {
  readonly targetId: string;
  /** Distinguishes starts under the same id. */
  readonly startedMs: number;
  /** Requests per second that it takes from the whole fleet. */
  readonly perSecond: number;
}

/** Options of {@link ColdAllowance}. */
export interface ColdAllowanceOptions {
  /** Identity of this VM, which spreads the turns of the fleet. */
  readonly vmKey: string;
  /** Returns an upper bound of the number of VMs; 1 while it is unknown. */
  readonly fleetSize: (nowMs: InstantMs) => number;
  /** Instant at which this VM started. */
  readonly startMs: InstantMs;
}

/**
 * Time after the start in which the fleet may still seem smaller than it is; no
 * cold target gets requests then.
 */
const UNKNOWN_FLEET_MS = 3_000;

/**
 * Divides the rate of a cold target among all VMs without messages: each has
 * turns at an interval of fleet size by rate, with a phase drawn from its
 * identity and the target, and sends one request in a turn. Turns that are not
 * used lapse, so VMs that freeze or return never send several at once.
 */
export class ColdAllowance {
  private readonly usedTurns = new Map<
    string,
    {turn: number; usedMs: InstantMs}
  >();

  /** @param options - identity, fleet size and start of this VM */
  constructor(private readonly options: ColdAllowanceOptions) {}

  /**
   * Returns whether this VM may send a request to a cold target now.
   *
   * @param target - cold target with its rate
   * @param nowMs - current instant in milliseconds
   */
  mayBeSent(target: ColdTarget, nowMs: InstantMs): boolean {
    if (target.perSecond <= 0) {
      return false;
    }
    if (nowMs - this.options.startMs < UNKNOWN_FLEET_MS) {
      return false;
    }
    const {turn, elapsedMs} = this.turnAt(target, nowMs);
    return (
      elapsedMs < TURN_MS && this.usedTurns.get(keyOf(target))?.turn !== turn
    );
  }

  /**
   * Uses up the turn of this VM.
   *
   * @param target - cold target that a request is sent to
   * @param nowMs - current instant in milliseconds
   */
  onSent(target: ColdTarget, nowMs: InstantMs): void {
    const {turn} = this.turnAt(target, nowMs);
    this.usedTurns.set(keyOf(target), {turn, usedMs: nowMs});
    for (const [key, {usedMs}] of this.usedTurns) {
      if (nowMs - usedMs > FORGET_MS) {
        this.usedTurns.delete(key);
      }
    }
  }

  private turnAt(
    target: ColdTarget,
    nowMs: InstantMs,
  ): {readonly turn: number; readonly elapsedMs: number} {
    const intervalMs =
      (this.options.fleetSize(nowMs) * 1000) / target.perSecond;
    const phase = hashShare(`${this.options.vmKey} ${keyOf(target)}`);
    const position = nowMs / intervalMs + phase;
    const turn = Math.floor(position);
    return {turn, elapsedMs: (position - turn) * intervalMs};
  }
}

function keyOf({targetId, startedMs}: ColdTarget): string {
  return `${targetId} ${startedMs}`;
}

/** Returns a number from 0 to 1 that is the same for equal texts. */
function hashShare(text: string): number {
  return Number.parseInt(hashText(text).slice(0, 8), 16) / 2 ** 32;
}
