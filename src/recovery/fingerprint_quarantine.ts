/**
 * Quarantine of requests that crash targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {CrashQuarantine} from './types.js';

/** Different targets at which a fingerprint is implicated until quarantine. */
const DEFAULT_QUARANTINE_TARGETS = 2;

/** Targets kept for each fingerprint; more change nothing. */
const MAX_TARGETS = 16;

/** Time for which an implication and a quarantine last. */
const QUARANTINE_MS = 600_000;

/** Time for which peers are told that a fingerprint was cleared. */
const CLEARED_MS = 60_000;

/** Options of {@link FingerprintQuarantine}. */
export interface FingerprintQuarantineOptions {
  /** Fingerprints kept, 10,000 by default; the oldest are dropped first. */
  readonly maxFingerprints?: number;
  /** Targets at which a fingerprint is implicated until quarantine, 2 by default. */
  readonly quarantineTargets?: number;
}

interface Implication {
  readonly ownTargetIds: Set<string>;
  readonly targetIds: Set<string>;
  expiresMs: InstantMs;
}

/**
 * Crash quarantine by fingerprint.
 *
 * A complete response lifts the quarantine as well: when a rack is lost, a
 * popular request is in flight at several crashes without being their cause.
 *
 * @example
 * ```ts
 * quarantine.onCrash('t-01', [fingerprint], nowMs);
 * quarantine.isImplicated(fingerprint, nowMs); // true
 * ```
 */
export class FingerprintQuarantine extends CrashQuarantine {
  private readonly maxFingerprints: number;
  private readonly quarantineTargets: number;
  private readonly implicated = new Map<string, Implication>();
  private readonly clearedUntilMs = new Map<string, InstantMs>();

  /** @param options - see {@link FingerprintQuarantineOptions} */
  constructor(options: FingerprintQuarantineOptions = {}) {
    super();
    this.maxFingerprints = options.maxFingerprints ?? 10_000;
    this.quarantineTargets =
      options.quarantineTargets ?? DEFAULT_QUARANTINE_TARGETS;
  }

  override onCrash(
    targetId: string,
    fingerprints: readonly string[],
    nowMs: InstantMs,
  ): void {
    for (const fingerprint of fingerprints) {
      const entry = this.implicate(fingerprint, targetId, nowMs);
      if (entry.targetIds.has(targetId)) {
        entry.ownTargetIds.add(targetId);
      }
      this.clearedUntilMs.delete(fingerprint);
    }
  }

  override onPeerImplication(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
  ): void {
    this.implicate(fingerprint, targetId, nowMs);
  }

  override onAnswered(fingerprint: string, nowMs: InstantMs): void {
    if (this.implicated.delete(fingerprint)) {
      this.clearedUntilMs.set(fingerprint, nowMs + CLEARED_MS);
      dropOldest(this.clearedUntilMs, this.maxFingerprints);
    }
  }

  override onPeerCleared(fingerprint: string): void {
    this.implicated.delete(fingerprint);
  }

  override isQuarantined(fingerprint: string, nowMs: InstantMs): boolean {
    const entry = this.current(fingerprint, nowMs);
    return (entry?.targetIds.size ?? 0) >= this.quarantineTargets;
  }

  override isImplicated(fingerprint: string, nowMs: InstantMs): boolean {
    return this.current(fingerprint, nowMs) !== undefined;
  }

  override implications(
    nowMs: InstantMs,
  ): ReadonlyMap<string, readonly string[]> {
    const shared = new Map<string, readonly string[]>();
    for (const [fingerprint, untilMs] of this.clearedUntilMs) {
      if (untilMs > nowMs) {
        shared.set(fingerprint, []);
      } else {
        this.clearedUntilMs.delete(fingerprint);
      }
    }
    for (const fingerprint of this.implicated.keys()) {
      const own = this.current(fingerprint, nowMs)?.ownTargetIds;
      if (own !== undefined && own.size > 0) {
        shared.set(fingerprint, [...own].sort());
      }
    }
    return shared;
  }

  private implicate(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
  ): Implication {
    const entry = this.current(fingerprint, nowMs) ?? {
      ownTargetIds: new Set(),
      targetIds: new Set(),
      expiresMs: nowMs,
    };
    const hasRoom = entry.targetIds.size < MAX_TARGETS;
    if (hasRoom && !entry.targetIds.has(targetId)) {
      // Known crashes repeated by gossip don't prolong the quarantine.
      entry.targetIds.add(targetId);
      entry.expiresMs = nowMs + QUARANTINE_MS;
    }
    this.implicated.delete(fingerprint);
    this.implicated.set(fingerprint, entry);
    dropOldest(this.implicated, this.maxFingerprints);
    return entry;
  }

  private current(
    fingerprint: string,
    nowMs: InstantMs,
  ): Implication | undefined {
    const entry = this.implicated.get(fingerprint);
    if (entry !== undefined && entry.expiresMs <= nowMs) {
      this.implicated.delete(fingerprint);
      return undefined;
    }
    return entry;
  }
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) {
    map.delete(oldest);
  }
}
