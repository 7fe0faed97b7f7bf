/**
 * A VM's copy of what is published, and the changes that led to it.
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

/** Changes kept for peers that lag; those that lag more take a snapshot. */
const MAX_KEPT_CHANGES = 400;

/** Outcome of offering changes. */
export type OfferResult =
  /** The state moved on. */
  | 'advanced'
  /** Nothing new. */
  | 'known'
  /** Changes before the offered ones are missing. */
  | 'gap';

/** A registered target and when this VM learned of its start. */
export interface KnownTarget extends RegisteredTarget {
  /** Instant of this VM's clock until which the target counts as cold. */
  readonly coldUntilMs: InstantMs;
}

/** What an accepted offer changed. */
export interface StateChange {
  readonly routesChanged: boolean;
  readonly changedTargetIds: readonly string[];
}

/**
 * Ordered by revision: a position is never taken back, whatever a stale read
 * or a lagging peer offers. Route versions never go back either.
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
  private readonly kept: PublishedChange[] = [];
  private keptAfter: Revision = 0;
  private pending: {routes: boolean; targetIds: Set<string>} = noChange();

  /** Position of the state; 0 before the first snapshot. */
  get revision(): Revision {
    return this.currentRevision;
  }

  /** Routes of the greatest version seen. */
  get routes(): RouteConfig | undefined {
    return this.currentRoutes;
  }

  /** Registered targets by id, draining ones included. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.targetsById;
  }

  /** True once there is something to serve requests with. */
  get isComplete(): boolean {
    return this.currentRevision > 0 && this.currentRoutes !== undefined;
  }

  /**
   * Takes over a complete state if it is newer.
   *
   * @param snapshot - state at one position
   * @param nowMs - current instant in milliseconds
   * @returns whether the state moved on
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
    this.kept.length = 0;
    this.keptAfter = snapshot.revision;
    return 'advanced';
  }

  /**
   * Takes over changes that follow the current position.
   *
   * @param delta - changes without a gap after `afterRevision`
   * @param nowMs - current instant in milliseconds
   * @returns whether the state moved on, or `gap` if changes are missing
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
        this.kept.push(change);
      }
    }
    this.currentRevision = delta.revision;
    this.dropOldChanges();
    return 'advanced';
  }

  /**
   * Lists the changes after a position.
   *
   * @param afterRevision - position of the reader
   * @returns the changes, or undefined if some of them are no longer kept
   */
  changesAfter(afterRevision: Revision): PublishedDelta | undefined {
    if (afterRevision < this.keptAfter) {
      return undefined;
    }
    return {
      afterRevision,
      revision: this.currentRevision,
      changes: this.kept.filter(({revision}) => revision > afterRevision),
    };
  }

  /** Copies the whole state. */
  snapshot(): PublishedSnapshot {
    return {
      revision: this.currentRevision,
      routes: this.currentRoutes,
      targets: [...this.targetsById.values()],
    };
  }

  /** Returns what changed since the last call. */
  takeChange(): StateChange {
    const {routes, targetIds} = this.pending;
    this.pending = noChange();
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
    known: KnownTarget | undefined,
    nowMs: InstantMs,
  ): void {
    const isSameStart = known !== undefined && known.bornMs === target.bornMs;
    const coldUntilMs = isSameStart
      ? known.coldUntilMs
      : nowMs + target.warmupRemainingMs;
    this.targetsById.set(target.targetId, {...target, coldUntilMs});
    this.pending.targetIds.add(target.targetId);
  }

  private dropOldChanges(): void {
    const excess = this.kept.length - MAX_KEPT_CHANGES;
    if (excess > 0) {
      const dropped = this.kept.splice(0, excess);
      this.keptAfter = dropped.at(-1)?.revision ?? this.keptAfter;
    }
  }
}

function noChange(): {routes: boolean; targetIds: Set<string>} {
  return {routes: false, targetIds: new Set()};
}
