/**
 * What operators and targets publish, in the product's terms.
 *
 * @packageDocumentation
 */
import type {RouteConfig} from '../routes/index.js';

/** Position in the history of the publishing store; grows with each change. */
export type Revision = number;

/** A target as it registered itself. */
export interface RegisteredTarget {
  readonly targetId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Time for which the target stays slow after its start, when stated. */
  readonly warmupRemainingMs: number;
  /** Tells starts under the same id apart; not compared with any clock. */
  readonly bornMs: number;
}

/** One published change. */
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

/** Everything that is published at one position. */
export interface PublishedSnapshot {
  readonly revision: Revision;
  readonly routes: RouteConfig | undefined;
  readonly targets: readonly RegisteredTarget[];
}

/** Changes that follow a position without a gap. */
export interface PublishedDelta {
  readonly afterRevision: Revision;
  readonly revision: Revision;
  readonly changes: readonly PublishedChange[];
}
