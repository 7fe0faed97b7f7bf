/**
 * Types of the data that operators and targets publish.
 *
 * @packageDocumentation
 */
import type {RouteConfig, RouteDifference} from '../routes/index.js';

/** Position in the history of the store; increases with each change. */
export type Revision = number;

/** Increases each time that the store is restored from an older copy. */
export type StoreEra = number;

/**
 * Position in the history of the store over all its eras. Two eras give the
 * same revisions to different changes.
 */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: Revision;
}

/** Registration of a target. */
export interface RegisteredTarget {
  readonly targetId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining time of slow service after the start, as of the registration. */
  readonly warmupRemainingMs: number;
  /** Distinguishes starts under the same id; not compared with any clock. */
  readonly startedMs: number;
  /** Count of the target's own reports since its start; 0 if unknown. */
  readonly sequence: number;
  /** Revision of the registration; 0 if unknown. */
  readonly revision: Revision;
}

/** Removal of a target, remembered in case that an older copy lists it. */
export interface Departure {
  readonly targetId: string;
  /** Start, last report and revision of the registration that was removed. */
  readonly startedMs: number;
  readonly sequence: number;
  readonly revision: Revision;
  /** Era in which it was removed. */
  readonly era: StoreEra;
}

/** A departure as sent to another VM. */
export interface ReportedDeparture extends Departure {
  /** Time since the removal. */
  readonly ageMs: number;
}

/** Order of an operator to send nothing more to a failure domain. */
export interface Evacuation {
  readonly failureDomain: string;
  /** Revision of the order. */
  readonly revision: Revision;
}

/** A published change. */
export type PublishedChange =
  | {
      readonly type: 'routes';
      readonly revision: Revision;
      readonly config: RouteConfig;
    }
  /** Follows the change that published its base version. */
  | {
      readonly type: 'routes-difference';
      readonly revision: Revision;
      readonly difference: RouteDifference;
    }
  | {
      readonly type: 'target';
      readonly revision: Revision;
      readonly target: RegisteredTarget;
    }
  | {
      readonly type: 'target-removed';
      readonly revision: Revision;
      readonly targetId: string;
    }
  /** Nothing more may be sent to the targets of the domain. */
  | {
      readonly type: 'domain-evacuated';
      readonly revision: Revision;
      readonly failureDomain: string;
    }
  /** The domain is in service again. */
  | {
      readonly type: 'domain-returned';
      readonly revision: Revision;
      readonly failureDomain: string;
    }
  /** The restored store lacks the target, which may register again. */
  | {
      readonly type: 'target-missing';
      readonly revision: Revision;
      readonly targetId: string;
    };

/** Complete published state at one position. */
export interface PublishedSnapshot extends StorePosition {
  /** Time since the era was first seen; 0 in a snapshot of the store. */
  readonly eraAgeMs: number;
  readonly routes: RouteConfig | undefined;
  readonly targets: readonly RegisteredTarget[];
  /** Recent departures; none in a snapshot of the store. */
  readonly departures: readonly ReportedDeparture[];
  /** Failure domains that are out of service. */
  readonly evacuations: readonly Evacuation[];
}

/** Changes from one position to another one, without a gap. */
export interface PublishedDelta extends StorePosition {
  /** Differs from `era` if the store was restored in between. */
  readonly afterEra: StoreEra;
  readonly afterRevision: Revision;
  readonly changes: readonly PublishedChange[];
}
