/**
 * Contract between the request engine and the probing of targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** What the scheduler needs to know of a target. */
export interface ProbeCandidate {
  readonly targetId: string;
  /** Instant of the newest report; undefined if there is none. */
  readonly reportMeasuredMs: InstantMs | undefined;
}

/** Decides which targets to probe, within the service's budget. */
export abstract class ProbeScheduler {
  /** Sets the budget of all VMs together and the upper bound of VMs. */
  abstract setBudget(
    probesPerSecond: number,
    vmCeiling: number,
    nowMs: InstantMs,
  ): void;

  /** Sets the live VMs, this one included, for the division of targets. */
  abstract setLiveVms(vmIds: readonly string[]): void;

  /** Picks and charges at most one probe; undefined if none is due. */
  abstract next(
    candidates: readonly ProbeCandidate[],
    nowMs: InstantMs,
  ): string | undefined;
}
