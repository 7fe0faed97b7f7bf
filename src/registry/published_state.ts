/**
 * A VM's replica of the published state, with its recent changes.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import {
  applyDifference,
  diffRoutes,
  type RouteConfig,
  type RouteDifference,
} from '../routes/index.js';
import {Evacuations} from './evacuations.js';
import {comparePositions} from './store_position.js';
import {
  TargetRegistry,
  type HeldTargetCounts,
  type KnownTarget,
} from './target_registry.js';
import type {
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  Evacuation,
  Revision,
  StoreEra,
  StorePosition,
} from './types.js';

/** Maximum changes kept for lagging peers; others receive a snapshot. */
const MAX_HISTORY_CHANGES = 400;

/**
 * Routes from which on a new version is passed on as a difference. Smaller
 * configurations fit a datagram whole.
 */
const MIN_ROUTES_FOR_DIFFERENCE = 100;

/** Result of offering a snapshot or a delta. */
export type OfferResult =
  /** The state advanced to a newer position. */
  | 'advanced'
  /** An older offer contained something new that still holds. */
  | 'merged'
  /** The offer contains nothing new. */
  | 'known'
  /** Changes before the offered ones are missing, so it was not applied. */
  | 'gap';

/** Changes of the state since they were last taken. */
export interface StateChange {
  readonly routesChanged: boolean;
  readonly evacuationsChanged: boolean;
  readonly changedTargetIds: readonly string[];
}

/**
 * Replicates the published state in the order of positions. The position and
 * the version of the routes never decrease, whatever a stale read, a lagging
 * peer or a restored store offers.
 *
 * @example
 * ```ts
 * const state = new PublishedState();
 * state.offerSnapshot(snapshot, nowMs);
 * state.offerDelta(delta, nowMs);
 * ```
 */
export class PublishedState {
  private currentEra: StoreEra = 0;
  private currentRevision: Revision = 0;
  private eraSinceMs: InstantMs = 0;
  private currentRoutes: RouteConfig | undefined;
  private readonly registry = new TargetRegistry();
  private readonly evacuations = new Evacuations();
  private readonly history: PublishedChange[] = [];
  private historyAfter: Revision = 0;
  /** Changes from the last position of the previous era to the current one. */
  private transition: PublishedDelta | undefined;
  private areRoutesChanged = false;

  /** Era of the state; 0 before the first snapshot. */
  get era(): StoreEra {
    return this.currentEra;
  }

  /** Revision of the state; 0 before the first snapshot. */
  get revision(): Revision {
    return this.currentRevision;
  }

  /** Position of the state. */
  get position(): StorePosition {
    return {era: this.currentEra, revision: this.currentRevision};
  }

  /** Routes of the greatest version received; undefined before the first. */
  get routes(): RouteConfig | undefined {
    return this.currentRoutes;
  }

  /** Registered targets by id, draining ones included. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.registry.targets;
  }

  /** Failure domains to which nothing more may be sent. */
  get evacuatedDomains(): ReadonlySet<string> {
    return this.evacuations.failureDomains;
  }

  /** Orders of operators that are in force. */
  get evacuationOrders(): readonly Evacuation[] {
    return this.evacuations.all;
  }

  /** Numbers of targets whose state differs from what the store lists. */
  get heldTargetCounts(): HeldTargetCounts {
    return this.registry.heldCounts;
  }

  /** True once the state suffices to serve requests. */
  get isComplete(): boolean {
    return this.currentRevision > 0 && this.currentRoutes !== undefined;
  }

  /** Digest of routes and targets; equal on VMs that treat them alike. */
  get digest(): string {
    const evacuated = this.evacuations.digest;
    return hashText(
      `${this.currentRoutes?.version ?? -1} ${this.registry.digest}${evacuated}`,
    );
  }

  /**
   * Replaces the state with a snapshot if that is newer; else merges what
   * still holds.
   *
   * @param snapshot - complete state at one position
   * @param nowMs - current instant in milliseconds
   * @returns `advanced` if the snapshot was applied, else `merged` or `known`
   */
  offerSnapshot(snapshot: PublishedSnapshot, nowMs: InstantMs): OfferResult {
    const {era, revision, routes, targets} = snapshot;
    if (comparePositions(snapshot, this.position) <= 0) {
      return this.mergeEarlier(snapshot, nowMs);
    }
    const before = this.position;
    const isRestored = before.revision > 0 && era > before.era;
    const previousTargets = new Map(isRestored ? this.targets : []);
    const previousVersion = this.currentRoutes?.version;
    const previouslyEvacuated = this.evacuatedDomains;
    if (era !== before.era || before.revision === 0) {
      this.eraSinceMs = nowMs - snapshot.eraAgeMs;
    }
    for (const departure of snapshot.departures) {
      this.registry.mergeDeparture(departure, nowMs);
    }
    this.registry.replace(targets, {
      era,
      previousEra: before.era,
      newSinceMs: isRestored ? this.eraSinceMs : undefined,
      nowMs,
    });
    if (routes !== undefined) {
      this.putRoutes(routes);
    }
    this.evacuations.replace(snapshot.evacuations);
    this.currentEra = era;
    this.currentRevision = revision;
    this.history.length = 0;
    this.historyAfter = revision;
    this.transition = isRestored
      ? this.describeTransition(
          before,
          previousTargets,
          previousVersion,
          previouslyEvacuated,
        )
      : undefined;
    return 'advanced';
  }

  /**
   * Applies the changes that follow the current position.
   *
   * @param delta - changes without a gap after its earlier position
   * @param nowMs - current instant in milliseconds
   * @returns `advanced` if the changes were applied, `merged` if older ones
   *     still hold, `known` if they contain nothing new, `gap` if changes
   *     before them are missing
   */
  offerDelta(delta: PublishedDelta, nowMs: InstantMs): OfferResult {
    const {era, revision, afterEra, afterRevision} = delta;
    if (era < this.currentEra) {
      return this.mergeEarlierChanges(delta, nowMs);
    }
    if (comparePositions(delta, this.position) <= 0) {
      return 'known';
    }
    if (era > this.currentEra) {
      return this.applyTransition(delta, nowMs);
    }
    if (afterEra !== era || afterRevision > this.currentRevision) {
      return 'gap';
    }
    if (!this.hasBasesOf(delta.changes)) {
      return 'gap';
    }
    for (const change of delta.changes) {
      if (change.revision > this.currentRevision) {
        const before = this.currentRoutes;
        this.apply(change, nowMs);
        this.history.push(shorten(change, before));
      }
    }
    this.currentRevision = revision;
    this.trimHistory();
    return 'advanced';
  }

  /**
   * Lists the changes after a position.
   *
   * @param after - position of the reader
   * @returns the changes; undefined if some of them are no longer kept
   */
  changesAfter(after: StorePosition): PublishedDelta | undefined {
    const {era, revision} = this.position;
    const {transition} = this;
    if (after.era === era && after.revision >= this.historyAfter) {
      const changes = this.history.filter(
        change => change.revision > after.revision,
      );
      const {era: afterEra, revision: afterRevision} = after;
      return {afterEra, afterRevision, era, revision, changes};
    }
    const isBeforeTransition =
      transition?.afterEra === after.era &&
      transition.afterRevision === after.revision &&
      transition.revision === this.historyAfter;
    return isBeforeTransition
      ? {
          ...transition,
          revision,
          changes: [...transition.changes, ...this.history],
        }
      : undefined;
  }

  /**
   * Returns a copy of the complete state.
   *
   * @param nowMs - current instant in milliseconds
   */
  snapshot(nowMs: InstantMs): PublishedSnapshot {
    return {
      ...this.position,
      eraAgeMs: Math.max(0, Math.round(nowMs - this.eraSinceMs)),
      routes: this.currentRoutes,
      targets: this.registry.listed(),
      departures: this.registry.departures(nowMs),
      evacuations: this.evacuations.all,
    };
  }

  /**
   * Drops targets that a restored store has lacked for too long.
   *
   * @param confirmedMs - instant up to which the store has told all changes
   * @param nowMs - current instant in milliseconds
   */
  expire(confirmedMs: InstantMs, nowMs: InstantMs): void {
    this.registry.expire(this.currentEra, confirmedMs, nowMs);
  }

  /** True if the state has changed since `takeChange` was last called. */
  get hasChanged(): boolean {
    return (
      this.areRoutesChanged ||
      this.registry.hasChanged ||
      this.evacuations.hasChanged
    );
  }

  /** Returns and clears the changes since the previous call. */
  takeChange(): StateChange {
    const routesChanged = this.areRoutesChanged;
    this.areRoutesChanged = false;
    return {
      routesChanged,
      evacuationsChanged: this.evacuations.takeChanged(),
      changedTargetIds: [...this.registry.takeChangedIds()],
    };
  }

  /**
   * Applies the changes of another VM from the last position of the previous
   * era on. They are complete for the same position only.
   */
  private applyTransition(
    delta: PublishedDelta,
    nowMs: InstantMs,
  ): OfferResult {
    const after = {era: delta.afterEra, revision: delta.afterRevision};
    if (
      comparePositions(after, this.position) !== 0 ||
      !this.hasBasesOf(delta.changes)
    ) {
      return 'gap';
    }
    this.currentEra = delta.era;
    this.eraSinceMs = nowMs;
    for (const change of delta.changes) {
      if (change.type === 'target') {
        this.registry.merge(change.target, delta.era, nowMs);
      } else if (change.type === 'target-removed') {
        this.registry.remove(change.targetId, delta.afterEra, nowMs);
      } else {
        this.apply(change, nowMs);
      }
    }
    this.currentRevision = delta.revision;
    this.history.length = 0;
    this.historyAfter = delta.revision;
    this.transition = delta;
    return 'advanced';
  }

  private mergeEarlier(
    snapshot: PublishedSnapshot,
    nowMs: InstantMs,
  ): OfferResult {
    const {targets, departures, routes} = snapshot;
    const versionBefore = this.currentRoutes?.version;
    const digestBefore = this.registry.digest;
    const options = {era: this.currentEra, nowMs};
    this.registry.mergeEarlier(targets, departures, options);
    if (routes !== undefined) {
      this.putRoutes(routes);
    }
    const isChanged =
      this.currentRoutes?.version !== versionBefore ||
      this.registry.digest !== digestBefore;
    return isChanged ? 'merged' : 'known';
  }

  private mergeEarlierChanges(
    {era, revision, changes}: PublishedDelta,
    nowMs: InstantMs,
  ): OfferResult {
    const configs = changes.flatMap(change =>
      change.type === 'routes' ? [change.config] : [],
    );
    const snapshot = {
      era,
      revision,
      eraAgeMs: 0,
      routes: configs.at(-1),
      targets: changes.flatMap(change =>
        change.type === 'target' ? [change.target] : [],
      ),
      departures: [],
      evacuations: [],
    };
    return this.mergeEarlier(snapshot, nowMs);
  }

  private apply(change: PublishedChange, nowMs: InstantMs): void {
    switch (change.type) {
      case 'routes':
        this.putRoutes(change.config);
        return;
      case 'routes-difference':
        this.putDifference(change.difference);
        return;
      case 'target':
        this.registry.put(change.target, this.currentEra, nowMs);
        return;
      case 'target-removed':
        this.registry.remove(change.targetId, this.currentEra, nowMs);
        return;
      case 'domain-evacuated':
        this.evacuations.begin(change);
        return;
      case 'domain-returned':
        this.evacuations.end(change.failureDomain);
        return;
      case 'target-missing':
        this.registry.markMissing(change.targetId, this.eraSinceMs);
        return;
    }
  }

  /** Records what differs from the last position of the previous era. */
  private describeTransition(
    before: StorePosition,
    targets: ReadonlyMap<string, KnownTarget>,
    routesVersion: number | undefined,
    evacuated: ReadonlySet<string>,
  ): PublishedDelta {
    const {era, revision} = this.position;
    const changes: PublishedChange[] = [];
    if (
      this.currentRoutes !== undefined &&
      this.currentRoutes.version !== routesVersion
    ) {
      changes.push({type: 'routes', revision, config: this.currentRoutes});
    }
    for (const [targetId, target] of this.targets) {
      if (targets.get(targetId) !== target) {
        changes.push({type: 'target', revision, target});
      }
    }
    for (const target of this.registry.suppressedEntries()) {
      changes.push({type: 'target', revision, target});
    }
    for (const targetId of targets.keys()) {
      if (!this.targets.has(targetId)) {
        changes.push({type: 'target-removed', revision, targetId});
      }
    }
    for (const {failureDomain} of this.evacuations.all) {
      changes.push({type: 'domain-evacuated', revision, failureDomain});
    }
    for (const failureDomain of evacuated) {
      if (!this.evacuatedDomains.has(failureDomain)) {
        changes.push({type: 'domain-returned', revision, failureDomain});
      }
    }
    for (const targetId of this.registry.missingIds()) {
      changes.push({type: 'target-missing', revision, targetId});
    }
    const {era: afterEra, revision: afterRevision} = before;
    return {afterEra, afterRevision, era, revision, changes};
  }

  private putRoutes(config: RouteConfig): void {
    if (config.version > (this.currentRoutes?.version ?? -1)) {
      this.currentRoutes = config;
      this.areRoutesChanged = true;
    }
  }

  private putDifference(difference: RouteDifference): void {
    const {currentRoutes} = this;
    const next = currentRoutes && applyDifference(currentRoutes, difference);
    if (next !== undefined) {
      this.putRoutes(next);
    }
  }

  /** Returns whether each difference follows a version that is known then. */
  private hasBasesOf(changes: readonly PublishedChange[]): boolean {
    let version = this.currentRoutes?.version ?? -1;
    for (const change of changes) {
      if (change.type === 'routes') {
        version = Math.max(version, change.config.version);
      } else if (change.type === 'routes-difference') {
        const {baseVersion, version: next} = change.difference;
        if (next > version && baseVersion !== version) {
          return false;
        }
        version = Math.max(version, next);
      }
    }
    return true;
  }

  private trimHistory(): void {
    const excess = this.history.length - MAX_HISTORY_CHANGES;
    if (excess > 0) {
      const dropped = this.history.splice(0, excess);
      this.historyAfter = dropped.at(-1)?.revision ?? this.historyAfter;
    }
  }
}

/** Replaces a large configuration by its difference, if that is smaller. */
function shorten(
  change: PublishedChange,
  before: RouteConfig | undefined,
): PublishedChange {
  if (change.type !== 'routes' || before === undefined) {
    return change;
  }
  const {config, revision} = change;
  const {length} = config.rules;
  if (length < MIN_ROUTES_FOR_DIFFERENCE || config.version <= before.version) {
    return change;
  }
  const difference = diffRoutes(before, config);
  const isSmaller =
    difference.rules.length + difference.removedKeys.length < length;
  return isSmaller ? {type: 'routes-difference', revision, difference} : change;
}
