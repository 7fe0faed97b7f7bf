/**
 * Interface between the request engine and the probe scheduler.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Target that may be probed. */
export interface ProbeCandidate {
  readonly targetId: string;
  /** Instant at which the newest report was measured; undefined without one. */
  readonly reportMeasuredMs: InstantMs | undefined;
}

/** Schedules load probes of targets within the service's budget. */
export abstract class ProbeScheduler {
  /** Sets the budget of all VMs together and the maximum number of VMs. */
  abstract setBudget(
    probesPerSecond: number,
    vmCeiling: number,
    nowMs: InstantMs,
  ): void;

  /** Sets the live VMs, including this one, among which targets are divided. */
  abstract setLiveVms(vmIds: readonly string[]): void;

  /** Selects and charges the target to probe; undefined if no probe is due. */
  abstract next(
    candidates: readonly ProbeCandidate[],
    nowMs: InstantMs,
  ): string | undefined;
}
