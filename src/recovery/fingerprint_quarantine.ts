/**
 * Quarantine of requests that crash targets, by fingerprint.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {CrashQuarantine, type QuarantinedFingerprint} from './types.js';

/** Crashed targets that put a fingerprint into quarantine. */
const DEFAULT_QUARANTINE_TARGET_COUNT = 2;

/** Maximum targets stored for a fingerprint; more would change nothing. */
const MAX_TARGETS_PER_FINGERPRINT = 16;

/** Duration of an implication or a quarantine, in milliseconds. */
export const IMPLICATION_TTL_MS = 600_000;

/**
 * Time for which a cleared fingerprint is gossiped to peers, in milliseconds.
 */
const CLEARED_GOSSIP_MS = 60_000;

/** Options of {@link FingerprintQuarantine}. */
export interface FingerprintQuarantineOptions {
  /** Maximum fingerprints, 10,000 by default; the oldest are dropped first. */
  readonly maxFingerprints?: number;
  /** Crashed targets that put a fingerprint into quarantine, 2 by default. */
  readonly quarantineTargetCount?: number;
}

/** Crashed targets at which a fingerprint was in flight. */
interface Implication {
  /** Targets whose crash this VM observed. */
  readonly localTargetIds: Set<string>;
  /** Targets whose crash this VM or a peer observed. */
  readonly targetIds: Set<string>;
  expiresMs: InstantMs;
}

/**
 * Quarantines fingerprints that were in flight at several crashed targets.
 *
 * A quarantine ends on expiry or with a complete response: when a rack fails, a
 * frequent request is in flight at several crashes without causing them.
 *
 * @example
 * ```ts
 * quarantine.onCrash('t-01', [fingerprint], nowMs);
 * quarantine.isImplicated(fingerprint, nowMs); // true
 * ```
 */
export class FingerprintQuarantine extends CrashQuarantine {
  private readonly maxFingerprints: number;
  private readonly quarantineTargetCount: number;
  private readonly implicated = new Map<string, Implication>();
  /** Fingerprints that this VM cleared. */
  private readonly clearedUntilMs = new Map<string, InstantMs>();
  /** Fingerprints that a peer cleared. */
  private readonly peerClearedUntilMs = new Map<string, InstantMs>();

  /** @param options - see {@link FingerprintQuarantineOptions} */
  constructor(options: FingerprintQuarantineOptions = {}) {
    super();
    this.maxFingerprints = options.maxFingerprints ?? 10_000;
    this.quarantineTargetCount =
      options.quarantineTargetCount ?? DEFAULT_QUARANTINE_TARGET_COUNT;
  }

  override onCrash(
    targetId: string,
    fingerprints: readonly string[],
    nowMs: InstantMs,
  ): void {
    for (const fingerprint of fingerprints) {
      const entry = this.addImplication(
        fingerprint,
        targetId,
        nowMs,
        IMPLICATION_TTL_MS,
      );
      if (entry.targetIds.has(targetId)) {
        entry.localTargetIds.add(targetId);
      }
      this.clearedUntilMs.delete(fingerprint);
      this.peerClearedUntilMs.delete(fingerprint);
    }
  }

  override onPeerImplication(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
    options: {readonly remainingMs: number} = {
      remainingMs: IMPLICATION_TTL_MS,
    },
  ): void {
    const clearedUntilMs = Math.max(
      this.clearedUntilMs.get(fingerprint) ?? -Infinity,
      this.peerClearedUntilMs.get(fingerprint) ?? -Infinity,
    );
    if (clearedUntilMs > nowMs) {
      return;
    }
    const remainingMs = Math.min(options.remainingMs, IMPLICATION_TTL_MS);
    if (remainingMs > 0) {
      this.addImplication(fingerprint, targetId, nowMs, remainingMs);
    }
  }

  override onAnswered(fingerprint: string, nowMs: InstantMs): boolean {
    if (!this.implicated.delete(fingerprint)) {
      return false;
    }
    this.clearedUntilMs.set(fingerprint, nowMs + CLEARED_GOSSIP_MS);
    deleteOldestIfOver(this.clearedUntilMs, this.maxFingerprints);
    return true;
  }

  override onPeerCleared(fingerprint: string, nowMs: InstantMs): void {
    this.implicated.delete(fingerprint);
    this.peerClearedUntilMs.set(fingerprint, nowMs + CLEARED_GOSSIP_MS);
    deleteOldestIfOver(this.peerClearedUntilMs, this.maxFingerprints);
  }

  override isQuarantined(fingerprint: string, nowMs: InstantMs): boolean {
    return (
      this.crashedTargetCount(fingerprint, nowMs) >= this.quarantineTargetCount
    );
  }

  override crashedTargetCount(fingerprint: string, nowMs: InstantMs): number {
    return this.findUnexpired(fingerprint, nowMs)?.targetIds.size ?? 0;
  }

  override quarantinedCount(nowMs: InstantMs): number {
    return this.quarantined(nowMs).length;
  }

  override quarantined(nowMs: InstantMs): readonly QuarantinedFingerprint[] {
    const quarantined: QuarantinedFingerprint[] = [];
    for (const [fingerprint, {targetIds, expiresMs}] of this.implicated) {
      if (expiresMs > nowMs && targetIds.size >= this.quarantineTargetCount) {
        quarantined.push({
          fingerprint,
          targetIds: [...targetIds].slice(0, this.quarantineTargetCount),
          expiresMs,
        });
      }
    }
    return quarantined;
  }

  override isImplicated(fingerprint: string, nowMs: InstantMs): boolean {
    return this.findUnexpired(fingerprint, nowMs) !== undefined;
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
      const targetIds = this.findUnexpired(fingerprint, nowMs)?.localTargetIds;
      if (targetIds !== undefined && targetIds.size > 0) {
        shared.set(fingerprint, [...targetIds].sort());
      }
    }
    return shared;
  }

  /** Adds a crashed target to the implication of a fingerprint. */
  private addImplication(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
    remainingMs: number,
  ): Implication {
    const entry = this.findUnexpired(fingerprint, nowMs) ?? {
      localTargetIds: new Set(),
      targetIds: new Set(),
      expiresMs: nowMs,
    };
    const hasCapacity = entry.targetIds.size < MAX_TARGETS_PER_FINGERPRINT;
    if (hasCapacity && !entry.targetIds.has(targetId)) {
      // Gossip that repeats a known crash does not extend the quarantine.
      entry.targetIds.add(targetId);
      entry.expiresMs = Math.max(entry.expiresMs, nowMs + remainingMs);
    }
    this.implicated.delete(fingerprint);
    this.implicated.set(fingerprint, entry);
    deleteOldestIfOver(this.implicated, this.maxFingerprints);
    return entry;
  }

  /** Returns the implication of a fingerprint; undefined if it has expired. */
  private findUnexpired(
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

/** Deletes the oldest entry if the map exceeds its maximum size. */
function deleteOldestIfOver(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) {
    map.delete(oldest);
  }
}
