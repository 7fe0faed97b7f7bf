/**
 * Interface between the request engine and target selection.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {KindPreset, ListedVm, ServicePreset} from '../preset/index.js';

/** Outcome of an attempt at a target. */
export type AttemptOutcome =
  | 'answered'
  | 'server-error'
  | 'refused'
  | 'unreachable'
  | 'lost'
  | 'timed-out'
  | 'cancelled';

/** Origin of a load report. */
export type ReportSource = 'probe' | 'response' | 'peer';

/** Load of a target at one instant. */
export interface LoadReport {
  readonly targetId: string;
  readonly source: ReportSource;
  /** Requests running at or queued in the target. */
  readonly inFlight: number;
  readonly draining: boolean;
  /** Instant of the measurement at the target, on this VM's clock. */
  readonly measuredMs: InstantMs;
}

/** Origin of the signal that a target is draining. */
export type DrainSignal = 'vm-list' | 'response' | 'probe' | 'refusal' | 'peer';

/** Options of {@link TargetPool.choose}. */
export interface ChooseOptions {
  readonly kind: KindPreset;
  /** Targets that already failed this request. */
  readonly excludedTargetIds: readonly string[];
  readonly nowMs: InstantMs;
  readonly random: RandomSource;
}

/** Result of selecting a target. */
export type TargetChoice =
  | {readonly type: 'target'; readonly targetId: string}
  /** All usable targets are estimated to be full; the request must wait. */
  | {readonly type: 'full'}
  /** No target is listed, or all are draining or excluded. */
  | {readonly type: 'none'};

/** State of one target, for status pages and for facts sent to peers. */
export interface TargetStatus {
  readonly targetId: string;
  readonly host: string;
  readonly port: number;
  readonly health: string;
  readonly draining: boolean;
  readonly ownInFlight: number;
  readonly estimatedInFlight: number;
  readonly reportMeasuredMs: InstantMs | undefined;
}

/**
 * Tracks load, health and draining of the targets of one service as seen by one
 * VM, and selects a target for each request. Does no I/O; the engine owns it.
 */
export abstract class TargetPool {
  /** Applies a new preset of the service. */
  abstract applyPreset(preset: ServicePreset, vmCeiling: number): void;

  /** Adds, updates and removes targets according to a new VM list. */
  abstract syncTargets(targets: readonly ListedVm[], nowMs: InstantMs): void;

  /** Sets the number of entry VMs considered alive, including this one. */
  abstract setLiveVmCount(count: number): void;

  /** Selects a target without reserving a slot. */
  abstract choose(options: ChooseOptions): TargetChoice;

  /** Counts a sent attempt as in flight. */
  abstract onSent(targetId: string, nowMs: InstantMs): void;

  /** Ends an attempt that `onSent` counted. */
  abstract onFinished(
    targetId: string,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void;

  /** Records a load report unless a newer one is recorded. */
  abstract onReport(report: LoadReport, nowMs: InstantMs): void;

  /** Marks a target as draining until a VM list ends the drain. */
  abstract markDraining(
    targetId: string,
    signal: DrainSignal,
    nowMs: InstantMs,
  ): void;

  /** Revalidates all time-dependent state after a pause of this VM. */
  abstract onPause(nowMs: InstantMs): void;

  /** Returns the state of each target, for status pages and facts. */
  abstract statuses(nowMs: InstantMs): readonly TargetStatus[];
}
