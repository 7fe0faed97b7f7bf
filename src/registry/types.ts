/**
 * Types of the data that operators and targets publish.
 *
 * @packageDocumentation
 */
import type {RouteConfig} from '../routes/index.js';

/** Position in the history of the store; increases with each change. */
export type Revision = number;

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
}

/** A published change. */
export type PublishedChange =
  | {
      readonly type: 'routes';
      readonly revision: Revision;
      readonly config: RouteConfig;
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
    };

/** Complete published state at one revision. */
export interface PublishedSnapshot {
  readonly revision: Revision;
  readonly routes: RouteConfig | undefined;
  readonly targets: readonly RegisteredTarget[];
}

/** Changes after `afterRevision` up to `revision`, without a gap. */
export interface PublishedDelta {
  readonly afterRevision: Revision;
  readonly revision: Revision;
  readonly changes: readonly PublishedChange[];
}
