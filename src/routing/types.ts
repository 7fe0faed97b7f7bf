/**
 * Contract between the request engine and the choice of a target.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {KindPreset, ListedVm, ServicePreset} from '../preset/index.js';

/** How an attempt at a target ended. */
export type AttemptOutcome =
  | 'answered'
  | 'server-error'
  | 'refused'
  | 'unreachable'
  | 'lost'
  | 'timed-out'
  | 'cancelled';

/** Where a load report came from. */
export type ReportSource = 'probe' | 'response' | 'peer';

/** Load of a target as seen at one instant. */
export interface LoadReport {
  readonly targetId: string;
  readonly source: ReportSource;
  /** Requests running at or queued in the target. */
  readonly inFlight: number;
  readonly draining: boolean;
  /** Instant at which the target measured it, on the own clock. */
  readonly measuredMs: InstantMs;
}

/** First sign that a target is leaving. */
export type DrainSignal = 'vm-list' | 'response' | 'probe' | 'refusal' | 'peer';

/** Request for a target. */
export interface ChooseOptions {
  readonly kind: KindPreset;
  /** Targets that already failed this request. */
  readonly excludedTargetIds: readonly string[];
  readonly nowMs: InstantMs;
  readonly random: RandomSource;
}

/** Result of a choice. */
export type TargetChoice =
  | {readonly type: 'target'; readonly targetId: string}
  /** All usable targets are estimated to be full; wait. */
  | {readonly type: 'full'}
  /** No target is known, or all are draining. */
  | {readonly type: 'none'};

/** State of one target for status pages and facts. */
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
 * The targets of one service as seen by one VM: load, health, draining and
 * choice. Pure; the engine owns it.
 */
export abstract class TargetPool {
  /** Replaces the preset of the service. */
  abstract applyPreset(preset: ServicePreset, vmCeiling: number): void;

  /** Adds, updates and removes targets after a new VM list. */
  abstract syncTargets(targets: readonly ListedVm[], nowMs: InstantMs): void;

  /** Sets the number of entry VMs that seem alive, this one included. */
  abstract setLiveVmCount(count: number): void;

  /** Chooses a target; does not reserve a slot. */
  abstract choose(options: ChooseOptions): TargetChoice;

  /** Counts an attempt as in flight. */
  abstract onSent(targetId: string, nowMs: InstantMs): void;

  /** Ends an attempt that was counted by `onSent`. */
  abstract onFinished(
    targetId: string,
    outcome: AttemptOutcome,
    nowMs: InstantMs,
  ): void;

  /** Takes in a load report; an older one than the newest known is ignored. */
  abstract onReport(report: LoadReport, nowMs: InstantMs): void;

  /** Marks a target as draining for good. */
  abstract markDraining(
    targetId: string,
    signal: DrainSignal,
    nowMs: InstantMs,
  ): void;

  /** Re-validates everything that depends on time after a pause. */
  abstract onPause(nowMs: InstantMs): void;

  /** Lists the targets for status pages and for facts to peers. */
  abstract statuses(nowMs: InstantMs): readonly TargetStatus[];
}
