/**
 * Load of targets as one VM knows it.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {TargetFigures} from '../engine/index.js';

/** How an attempt ended, as far as the target is concerned. */
export type TargetOutcome =
  /** A complete answer that is not a server error. */
  | 'answered'
  /** A server error, a broken or foreign answer. */
  | 'failed'
  /** The target refused explicitly. */
  | 'refused'
  /** No connection could be opened. */
  | 'unreachable'
  /** Given up by the balancer or the caller; says nothing of the target. */
  | 'withdrawn';

/** Load that a target stated. */
export interface LoadSample extends TargetFigures {
  /** Instant of this VM's clock at which the load held. */
  readonly measuredMs: InstantMs;
}

/** What is expected of a target for one request. */
export interface TargetForecast {
  readonly targetId: string;
  /** Expected time from sending to the answer, in milliseconds. */
  readonly durationMs: number;
  /** Probability that an attempt fails for reasons of the target, 0 to 1. */
  readonly failureShare: number;
  readonly isOwnDomain: boolean;
  /** Requests at the target in excess of its slots, this one included. */
  readonly excessCount: number;
  readonly slots: number;
  /** Slots that are expected to be free. */
  readonly freeSlots: number;
  /** Age of the load that the forecast rests on; infinite without one. */
  readonly loadAgeMs: number;
  readonly slowness: number;
  /** Probability that the target has become slow since it stated its load. */
  readonly surpriseShare: number;
  /** Expected time if it has. */
  readonly surpriseDurationMs: number;
}
