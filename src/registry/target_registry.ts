/**
 * Registered targets, merged over restores of the store.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {
  Departure,
  RegisteredTarget,
  ReportedDeparture,
  Revision,
  StoreEra,
} from './types.js';

/**
 * Time for which a target is kept that a restored store lacks. Targets report
 * each 1.5 s; two reports may be lost.
 */
export const MISSING_TARGET_TTL_MS = 4_000;

/** Time for which a departure is remembered; exceeds the age of a copy. */
export const DEPARTURE_TTL_MS = 60_000;

/** Interval at which old departures are dropped. */
const DEPARTURE_CHECK_INTERVAL_MS = 1_000;

/** Most departures that are remembered; the oldest are dropped. */
const MAX_DEPARTURES = 1_000;

/** A registered target with the end of its cold phase. */
export interface KnownTarget extends RegisteredTarget {
  /** Local instant until which the target counts as cold. */
  readonly coldUntilMs: InstantMs;
}

/** Numbers of targets whose state differs from what the store lists. */
export interface HeldTargetCounts {
  /** In use, though the restored store lacks them. */
  readonly missing: number;
  /** Draining, though the restored store lists them as ready. */
  readonly draining: number;
  /** Not used, though the restored store lists them. */
  readonly departed: number;
}

/** A remembered departure. */
interface RememberedDeparture extends Departure {
  readonly expiresMs: InstantMs;
}

/**
 * Holds the targets that may be used. Within one era the store's latest word
 * decides. A restored store lists targets as they were: what a target has
 * reported since then, and its departure, take precedence until it reports
 * again; a target that the restored store lacks is kept for a while.
 */
export class TargetRegistry {
  private readonly known = new Map<string, KnownTarget>();
  private readonly departed = new Map<string, RememberedDeparture>();
  /** Entries of the store for departed targets. */
  private readonly suppressed = new Map<string, RegisteredTarget>();
  /** Deadlines of known targets that the store lacks. */
  private readonly missing = new Map<string, InstantMs>();
  private readonly heldDrains = new Set<string>();
  private confirmedMs: InstantMs = -Infinity;
  private nextDepartureCheckMs: InstantMs = -Infinity;
  private changedIds = new Set<string>();
  private cachedDigest: string | undefined;

  /** Targets by id, draining ones included. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.known;
  }

  /** Counts the targets whose state differs from what the store lists. */
  get heldCounts(): HeldTargetCounts {
    return {
      missing: this.missing.size,
      draining: this.heldDrains.size,
      departed: this.suppressed.size,
    };
  }

  /** Lists the targets that the store has. */
  listed(): readonly KnownTarget[] {
    return [...this.known.values()].filter(
      ({targetId}) => !this.missing.has(targetId),
    );
  }

  /** Lists the store's entries for departed targets. */
  suppressedEntries(): readonly RegisteredTarget[] {
    return [...this.suppressed.values()];
  }

  /** Lists the ids of the targets that the store lacks. */
  missingIds(): readonly string[] {
    return [...this.missing.keys()];
  }

  /**
   * Lists remembered departures.
   *
   * @param nowMs - current instant in milliseconds
   */
  departures(nowMs: InstantMs): readonly ReportedDeparture[] {
    return [...this.departed.values()].map(({expiresMs, ...departure}) => ({
      ...departure,
      ageMs: Math.max(0, Math.round(nowMs - (expiresMs - DEPARTURE_TTL_MS))),
    }));
  }

  /** Digest of the listed targets; equal on VMs that treat them alike. */
  get digest(): string {
    this.cachedDigest ??= hashText(
      this.listed()
        .map(each => `${each.targetId} ${each.startedMs} ${each.draining}`)
        .sort()
        .join('\n'),
    );
    return this.cachedDigest;
  }

  /** True if a target has changed since `takeChangedIds` was last called. */
  get hasChanged(): boolean {
    return this.changedIds.size > 0;
  }

  /** Returns and clears the ids of changed targets. */
  takeChangedIds(): ReadonlySet<string> {
    const {changedIds} = this;
    this.changedIds = new Set();
    return changedIds;
  }

  /**
   * Applies a registration that was written in the current era.
   *
   * @param target - new or changed registration
   * @param era - current era
   * @param nowMs - current instant in milliseconds
   */
  put(target: RegisteredTarget, era: StoreEra, nowMs: InstantMs): void {
    const {targetId} = target;
    const departure = this.departed.get(targetId);
    this.missing.delete(targetId);
    if (
      departure !== undefined &&
      departure.era < era &&
      isNoLaterReport(target, departure)
    ) {
      this.suppress(target);
      return;
    }
    this.departed.delete(targetId);
    this.suppressed.delete(targetId);
    const before = this.known.get(targetId);
    const isHeld =
      before?.draining === true &&
      !target.draining &&
      isNoLaterReport(target, before);
    this.set(isHeld ? this.holdDrain(target, before) : target, nowMs);
    if (!isHeld) {
      this.heldDrains.delete(targetId);
    }
  }

  /**
   * Applies a removal in the current era.
   *
   * @param targetId - id of the target
   * @param era - current era
   * @param nowMs - current instant in milliseconds
   */
  remove(targetId: string, era: StoreEra, nowMs: InstantMs): void {
    this.suppressed.delete(targetId);
    const before = this.known.get(targetId);
    if (before !== undefined) {
      this.forget(targetId);
      this.remember({...departureOf(before, era), ageMs: 0}, nowMs);
    }
  }

  /**
   * Keeps a known target that the restored store lacks, until it registers
   * again or the deadline passes. One that the previous era lacked too is kept
   * for the rest of its time only.
   *
   * @param targetId - id of the target
   * @param eraSinceMs - instant since which the era is known
   */
  markMissing(targetId: string, eraSinceMs: InstantMs): void {
    if (this.known.has(targetId)) {
      const deadlineMs = this.missing.get(targetId) ?? Infinity;
      const remainingMs = Math.max(0, deadlineMs - this.confirmedMs);
      this.missing.set(
        targetId,
        eraSinceMs + Math.min(remainingMs, MISSING_TARGET_TTL_MS),
      );
      this.heldDrains.delete(targetId);
      this.cachedDigest = undefined;
    }
  }

  /**
   * Replaces the listed targets with those of a newer snapshot.
   *
   * @param targets - targets of the snapshot
   * @param options - `era`: era of the snapshot; `previousEra`: era before it;
   *     `newSinceMs`: if the era is new, the instant since which it is known;
   *     `nowMs`: current instant in milliseconds
   */
  replace(
    targets: readonly RegisteredTarget[],
    options: {
      readonly era: StoreEra;
      readonly previousEra: StoreEra;
      readonly newSinceMs: InstantMs | undefined;
      readonly nowMs: InstantMs;
    },
  ): void {
    const {era, previousEra, newSinceMs, nowMs} = options;
    const listedIds = new Set(targets.map(({targetId}) => targetId));
    const copiedRevision = this.findCopiedRevision(targets);
    for (const {targetId, revision, draining} of this.known.values()) {
      if (listedIds.has(targetId)) {
        continue;
      }
      const isMissing = this.missing.has(targetId);
      if (newSinceMs === undefined) {
        if (!isMissing) {
          this.remove(targetId, era, nowMs);
        }
      } else if (!isMissing && revision <= copiedRevision) {
        // The copy had the target, so it was removed since then.
        this.remove(targetId, era, nowMs);
      } else if (draining) {
        this.remove(targetId, previousEra, nowMs);
      } else {
        this.markMissing(targetId, newSinceMs);
      }
    }
    for (const targetId of this.suppressed.keys()) {
      if (!listedIds.has(targetId)) {
        this.suppressed.delete(targetId);
      }
    }
    for (const target of targets) {
      this.merge(target, era, nowMs);
    }
  }

  /**
   * Merges what a VM of an earlier or the same position knows: departures, and
   * targets that drain. Anything else is left to the store.
   *
   * @param targets - targets as the other VM knows them
   * @param departures - departures that it remembers
   * @param options - `era`: current era; `nowMs`: current instant in
   *     milliseconds
   */
  mergeEarlier(
    targets: readonly RegisteredTarget[],
    departures: readonly ReportedDeparture[],
    options: {readonly era: StoreEra; readonly nowMs: InstantMs},
  ): void {
    const {era, nowMs} = options;
    for (const departure of departures) {
      // The store's own order decides on removals of the current era.
      if (departure.era < era || this.missing.has(departure.targetId)) {
        this.mergeDeparture(departure, nowMs);
      }
    }
    for (const target of targets) {
      const before = this.known.get(target.targetId);
      const isLaterDrain =
        before?.draining === false &&
        target.draining &&
        before.startedMs === target.startedMs &&
        target.sequence >= before.sequence;
      if (isLaterDrain) {
        this.set(this.holdDrain(before, target), nowMs);
      }
    }
  }

  /**
   * Drops targets that the store has lacked for too long, and old departures.
   *
   * @param era - current era
   * @param confirmedMs - instant up to which the store has told all changes
   * @param nowMs - current instant in milliseconds
   */
  expire(era: StoreEra, confirmedMs: InstantMs, nowMs: InstantMs): void {
    this.confirmedMs = confirmedMs;
    for (const [targetId, deadlineMs] of this.missing) {
      if (confirmedMs >= deadlineMs) {
        this.remove(targetId, era, nowMs);
      }
    }
    if (nowMs >= this.nextDepartureCheckMs) {
      this.nextDepartureCheckMs = nowMs + DEPARTURE_CHECK_INTERVAL_MS;
      this.expireDepartures(nowMs);
    }
  }

  private expireDepartures(nowMs: InstantMs): void {
    for (const [targetId, {expiresMs}] of this.departed) {
      if (nowMs >= expiresMs) {
        this.departed.delete(targetId);
        const entry = this.suppressed.get(targetId);
        if (entry !== undefined) {
          this.suppressed.delete(targetId);
          this.set(entry, nowMs);
        }
      }
    }
  }

  /**
   * Merges an entry that a restored store lists, perhaps from its older copy.
   *
   * @param target - entry of the store
   * @param era - era of the store
   * @param nowMs - current instant in milliseconds
   */
  merge(target: RegisteredTarget, era: StoreEra, nowMs: InstantMs): void {
    const {targetId} = target;
    const departure = this.departed.get(targetId);
    if (
      departure !== undefined &&
      departure.era < era &&
      isDeparted(target, departure)
    ) {
      this.missing.delete(targetId);
      this.suppress(target);
      return;
    }
    this.departed.delete(targetId);
    this.suppressed.delete(targetId);
    this.missing.delete(targetId);
    const before = this.known.get(targetId);
    if (before !== undefined && before.startedMs > target.startedMs) {
      this.cachedDigest = undefined;
      return;
    }
    const isHeld =
      before?.draining === true &&
      !target.draining &&
      before.startedMs === target.startedMs &&
      target.sequence <= before.sequence;
    this.set(isHeld ? this.holdDrain(target, before) : target, nowMs);
    if (!isHeld) {
      this.heldDrains.delete(targetId);
    }
  }

  /**
   * Merges a departure that another VM remembers.
   *
   * @param departure - departure, not older than the VM's own knowledge
   * @param nowMs - current instant in milliseconds
   */
  mergeDeparture(departure: ReportedDeparture, nowMs: InstantMs): void {
    const {targetId} = departure;
    if (this.departed.has(targetId)) {
      return;
    }
    const entry = this.known.get(targetId);
    if (entry === undefined) {
      this.remember(departure, nowMs);
    } else if (isDeparted(entry, departure)) {
      const isListed = !this.missing.has(targetId);
      this.forget(targetId);
      this.remember(departure, nowMs);
      if (isListed) {
        this.suppress(entry);
      }
    }
  }

  /**
   * Returns a revision up to which the restored store has the history that this
   * VM knows: the greatest one of an entry that both have.
   */
  private findCopiedRevision(targets: readonly RegisteredTarget[]): Revision {
    let copiedRevision = 0;
    for (const target of targets) {
      const before = this.known.get(target.targetId);
      if (
        before !== undefined &&
        !this.missing.has(target.targetId) &&
        isSameEntry(before, target)
      ) {
        copiedRevision = Math.max(copiedRevision, target.revision);
      }
    }
    return copiedRevision;
  }

  /** Returns the entry with the drain that the target reported later. */
  private holdDrain(
    entry: RegisteredTarget,
    {sequence}: RegisteredTarget,
  ): RegisteredTarget {
    this.heldDrains.add(entry.targetId);
    return {...entry, draining: true, sequence};
  }

  private set(target: RegisteredTarget, nowMs: InstantMs): void {
    const {targetId} = target;
    const before = this.known.get(targetId);
    const isSameStart = before?.startedMs === target.startedMs;
    const {warmupRemainingMs} = target;
    // A target may become cold again without a new start.
    const coldUntilMs = isSameStart
      ? Math.max(
          before.coldUntilMs,
          warmupRemainingMs > 0 ? nowMs + warmupRemainingMs : -Infinity,
        )
      : nowMs + warmupRemainingMs;
    this.cachedDigest = undefined;
    if (before === undefined || !isSameEntry(before, target)) {
      this.known.set(targetId, {...target, coldUntilMs});
      this.changedIds.add(targetId);
    }
  }

  private suppress(target: RegisteredTarget): void {
    this.forget(target.targetId);
    this.suppressed.set(target.targetId, target);
  }

  private forget(targetId: string): void {
    this.missing.delete(targetId);
    this.heldDrains.delete(targetId);
    if (this.known.delete(targetId)) {
      this.changedIds.add(targetId);
    }
    this.cachedDigest = undefined;
  }

  private remember(departure: ReportedDeparture, nowMs: InstantMs): void {
    const {ageMs, ...rest} = departure;
    const expiresMs = nowMs - ageMs + DEPARTURE_TTL_MS;
    if (expiresMs <= nowMs) {
      return;
    }
    this.departed.set(departure.targetId, {...rest, expiresMs});
    if (this.departed.size > MAX_DEPARTURES) {
      const [oldestId] = this.departed.keys();
      this.departed.delete(oldestId ?? '');
    }
  }
}

function departureOf(target: RegisteredTarget, era: StoreEra): Departure {
  const {targetId, startedMs, sequence, revision} = target;
  return {targetId, startedMs, sequence, revision, era};
}

function isSameEntry(a: RegisteredTarget, b: RegisteredTarget): boolean {
  return (
    a.startedMs === b.startedMs &&
    a.sequence === b.sequence &&
    a.revision === b.revision &&
    a.draining === b.draining &&
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port &&
    a.failureDomain === b.failureDomain &&
    a.slots === b.slots
  );
}

/** Reports whether a report of the same start is known to be no later one. */
function isNoLaterReport(
  report: RegisteredTarget,
  known: {readonly startedMs: number; readonly sequence: number},
): boolean {
  return (
    report.startedMs === known.startedMs &&
    report.sequence > 0 &&
    report.sequence <= known.sequence
  );
}

/** Reports whether an entry is no later than the removal of its target. */
function isDeparted(entry: RegisteredTarget, departure: Departure): boolean {
  if (entry.startedMs !== departure.startedMs) {
    return entry.startedMs < departure.startedMs;
  }
  return (
    entry.sequence <= departure.sequence ||
    entry.revision === departure.revision
  );
}
