/**
 * Load reports, forecasts and attempt outcomes of targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {LoadFigures} from '../engine/index.js';
import type {ColdTarget} from '../limits/index.js';

/** Outcome of an attempt, from the point of view of the target. */
export type TargetOutcome =
  /** The target sent a complete response that is not a server error. */
  | 'answered'
  /**
   * The target sent a server error or a broken response, or another target
   * responded.
   */
  | 'failed'
  /** The target refused the request explicitly. */
  | 'refused'
  /** No connection could be opened. */
  | 'unreachable'
  /**
   * The load balancer or the caller cancelled it; does not count for the
   * target.
   */
  | 'withdrawn';

/** Load report of a target. */
export interface LoadReport extends LoadFigures {
  /** Instant of this VM's clock at which the load was measured. */
  readonly measuredMs: InstantMs;
}

/** Forecast of one request at one target. */
export interface TargetForecast {
  readonly targetId: string;
  /** Defined if the target is cold and its service limits cold targets. */
  readonly cold?: ColdTarget | undefined;
  /** Expected time from sending to the response, in milliseconds. */
  readonly durationMs: number;
  /** Probability that the target fails the attempt, 0 to 1. */
  readonly failureShare: number;
  readonly isLocalDomain: boolean;
  /** Requests at the target beyond its slots, this one included. */
  readonly excessCount: number;
  readonly slots: number;
  /** Expected number of free slots. */
  readonly freeSlots: number;
  /** Age of the load report behind the forecast; infinite without one. */
  readonly loadAgeMs: number;
  readonly slowness: number;
  /** Probability that the target has become slow since its last report. */
  readonly slowdownShare: number;
  /** Expected time from sending to the response if it has become slow. */
  readonly slowedDurationMs: number;
}

/** Target that a VM avoids, and why. */
export interface AvoidedTarget {
  readonly targetId: string;
  /**
   * `draining`: by its registration; `announced-drain`: by its own responses;
   * `unreachable`: no connection could be opened lately; `evacuated`: its
   * failure domain is out of service.
   */
  readonly reason: 'draining' | 'announced-drain' | 'unreachable' | 'evacuated';
}
