/**
 * A VM's replica of the published state, with its recent changes.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {RouteConfig} from '../routes/index.js';
import type {
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  RegisteredTarget,
  Revision,
} from './types.js';

/** Maximum changes kept for lagging peers; others receive a snapshot. */
const MAX_HISTORY_CHANGES = 400;

/** Result of offering a snapshot or a delta. */
export type OfferResult =
  /** The state advanced to a newer revision. */
  | 'advanced'
  /** The offer contains nothing new. */
  | 'known'
  /** Changes before the offered ones are missing, so it was not applied. */
  | 'gap';

/** A registered target with the end of its cold phase. */
export interface KnownTarget extends RegisteredTarget {
  /** Local instant until which the target counts as cold. */
  readonly coldUntilMs: InstantMs;
}

/** Changes of the state since they were last taken. */
export interface StateChange {
  readonly routesChanged: boolean;
  readonly changedTargetIds: readonly string[];
}

/**
 * Replicates the published state in the order of revisions. The revision and
 * the version of the routes never decrease, whatever a stale read or a lagging
 * peer offers.
 *
 * @example
 * ```ts
 * const state = new PublishedState();
 * state.offerSnapshot(snapshot, nowMs);
 * state.offerDelta(delta, nowMs);
 * ```
 */
export class PublishedState {
  private currentRevision: Revision = 0;
  private currentRoutes: RouteConfig | undefined;
  private targetsById = new Map<string, KnownTarget>();
  private readonly history: PublishedChange[] = [];
  private historyAfter: Revision = 0;
  private pending: {routes: boolean; targetIds: Set<string>} = emptyChange();

  /** Revision of the state; 0 before the first snapshot. */
  get revision(): Revision {
    return this.currentRevision;
  }

  /** Routes of the greatest version received; undefined before the first. */
  get routes(): RouteConfig | undefined {
    return this.currentRoutes;
  }

  /** Registered targets by id, draining ones included. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.targetsById;
  }

  /** True once the state suffices to serve requests. */
  get isComplete(): boolean {
    return this.currentRevision > 0 && this.currentRoutes !== undefined;
  }

  /**
   * Replaces the state with a snapshot if that is newer.
   *
   * @param snapshot - complete state at one revision
   * @param nowMs - current instant in milliseconds
   * @returns `advanced` if the snapshot was applied, else `known`
   */
  offerSnapshot(snapshot: PublishedSnapshot, nowMs: InstantMs): OfferResult {
    if (snapshot.revision <= this.currentRevision) {
      return 'known';
    }
    const before = this.targetsById;
    this.targetsById = new Map();
    for (const target of snapshot.targets) {
      this.putTarget(target, before.get(target.targetId), nowMs);
    }
    for (const targetId of before.keys()) {
      if (!this.targetsById.has(targetId)) {
        this.pending.targetIds.add(targetId);
      }
    }
    if (snapshot.routes !== undefined) {
      this.putRoutes(snapshot.routes);
    }
    this.currentRevision = snapshot.revision;
    this.history.length = 0;
    this.historyAfter = snapshot.revision;
    return 'advanced';
  }

  /**
   * Applies the changes that follow the current revision.
   *
   * @param delta - changes without a gap after `afterRevision`
   * @param nowMs - current instant in milliseconds
   * @returns `advanced` if the changes were applied, `known` if they contain
   *     nothing new, `gap` if changes before them are missing
   */
  offerDelta(delta: PublishedDelta, nowMs: InstantMs): OfferResult {
    if (delta.revision <= this.currentRevision) {
      return 'known';
    }
    if (delta.afterRevision > this.currentRevision) {
      return 'gap';
    }
    for (const change of delta.changes) {
      if (change.revision > this.currentRevision) {
        this.apply(change, nowMs);
        this.history.push(change);
      }
    }
    this.currentRevision = delta.revision;
    this.trimHistory();
    return 'advanced';
  }

  /**
   * Lists the changes after a revision.
   *
   * @param afterRevision - revision of the reader
   * @returns the changes; undefined if some of them are no longer kept
   */
  changesAfter(afterRevision: Revision): PublishedDelta | undefined {
    if (afterRevision < this.historyAfter) {
      return undefined;
    }
    return {
      afterRevision,
      revision: this.currentRevision,
      changes: this.history.filter(({revision}) => revision > afterRevision),
    };
  }

  /** Returns a copy of the complete state. */
  snapshot(): PublishedSnapshot {
    return {
      revision: this.currentRevision,
      routes: this.currentRoutes,
      targets: [...this.targetsById.values()],
    };
  }

  /** Returns and clears the changes since the previous call. */
  takeChange(): StateChange {
    const {routes, targetIds} = this.pending;
    this.pending = emptyChange();
    return {routesChanged: routes, changedTargetIds: [...targetIds]};
  }

  private apply(change: PublishedChange, nowMs: InstantMs): void {
    if (change.type === 'routes') {
      this.putRoutes(change.config);
    } else if (change.type === 'target') {
      const {target} = change;
      this.putTarget(target, this.targetsById.get(target.targetId), nowMs);
    } else if (this.targetsById.delete(change.targetId)) {
      this.pending.targetIds.add(change.targetId);
    }
  }

  private putRoutes(config: RouteConfig): void {
    if (config.version > (this.currentRoutes?.version ?? -1)) {
      this.currentRoutes = config;
      this.pending.routes = true;
    }
  }

  private putTarget(
    target: RegisteredTarget,
    previous: KnownTarget | undefined,
    nowMs: InstantMs,
  ): void {
    const isSameStart =
      previous !== undefined && previous.startedMs === target.startedMs;
    const coldUntilMs = isSameStart
      ? previous.coldUntilMs
      : nowMs + target.warmupRemainingMs;
    this.targetsById.set(target.targetId, {...target, coldUntilMs});
    this.pending.targetIds.add(target.targetId);
  }

  private trimHistory(): void {
    const excess = this.history.length - MAX_HISTORY_CHANGES;
    if (excess > 0) {
      const dropped = this.history.splice(0, excess);
      this.historyAfter = dropped.at(-1)?.revision ?? this.historyAfter;
    }
  }
}

function emptyChange(): {routes: boolean; targetIds: Set<string>} {
  return {routes: false, targetIds: new Set()};
}
