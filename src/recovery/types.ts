/**
 * Interfaces between the request engine, the home VM of a key and the peer
 * protocol.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';

/** Request to the home VM for permission to run a non-idempotent request. */
export interface ClaimRequest {
  readonly key: string;
  /** Hash of method, path and body; differs between requests. */
  readonly fingerprint: string;
  /**
   * Attempt count from the caller; undefined if it sent none. Also undefined
   * when an unanswered claim is repeated at another home VM, since the first
   * one may have granted a later copy in the meantime.
   */
  readonly attempt: number | undefined;
  /** Incarnation of the VM that requests the claim. */
  readonly claimantId: string;
  /** Identifier of the claim, unique per claimant. */
  readonly token: string;
  /** Deadline of the request; transmitted as the remaining time. */
  readonly deadlineMs: InstantMs;
}

/** Answer of the home VM. Only `granted` permits the request to run. */
export type ClaimAnswer =
  | {readonly type: 'granted'}
  | {readonly type: 'ran'}
  | {readonly type: 'running'}
  | {readonly type: 'may-have-run'}
  /** The key was used for a different request. */
  | {readonly type: 'mismatch'}
  /** The receiving VM is not the home of the key in its own view. */
  | {readonly type: 'not-home'}
  /** No answer was received; the claim may have been granted. */
  | {readonly type: 'unreachable'};

/** Final verdict on a claimed request. */
export interface Settlement {
  readonly key: string;
  readonly claimantId: string;
  readonly token: string;
  readonly verdict: Verdict;
}

/** Record of a claim, as handed over to the next home VM at a planned stop. */
export interface ClaimRecord {
  readonly key: string;
  readonly fingerprint: string;
  readonly claimantId: string;
  readonly token: string;
  readonly state: 'claimed' | 'not-run' | 'ran' | 'may-have-run';
  /** Deadline of the claimed request; transmitted as the remaining time. */
  readonly deadlineMs: InstantMs;
  /** Instant from which the record may be dropped. */
  readonly expiresMs: InstantMs;
}

/** Stores the claims of the keys whose home is this VM. Does no I/O. */
export abstract class ClaimTable {
  /**
   * Decides a claim and records it. With `mayMissRecords`, the table counts as
   * incomplete, since another VM may act as home of the same keys.
   */
  abstract claim(
    request: ClaimRequest,
    nowMs: InstantMs,
    options?: {readonly mayMissRecords: boolean},
  ): ClaimAnswer;

  /** Records a verdict; ignored unless claimant and token match the record. */
  abstract settle(settlement: Settlement, nowMs: InstantMs): void;

  /** Merges records that another VM handed over. */
  abstract adopt(records: readonly ClaimRecord[], nowMs: InstantMs): void;

  /** Returns the unexpired records, for a hand-over. */
  abstract exportRecords(nowMs: InstantMs): readonly ClaimRecord[];

  /**
   * Advances the horizon: records from before this instant may be missing.
   * Never moves it back.
   */
  abstract advanceHorizon(nowMs: InstantMs): void;

  /** Deletes expired records. */
  abstract expire(nowMs: InstantMs): void;

  /** Returns the record count and since when the records are complete. */
  abstract summary(): {
    readonly recordCount: number;
    readonly completeSinceMs: InstantMs;
    /** Instant of the last early eviction; undefined if there was none. */
    readonly lastEvictionMs: InstantMs | undefined;
  };
}

/** A fingerprint that no target receives. */
export interface QuarantinedFingerprint {
  readonly fingerprint: string;
  /** Lost targets that suffice for the quarantine. */
  readonly targetIds: readonly string[];
  readonly expiresMs: InstantMs;
}

/** Tracks requests implicated in crashes of targets. Does no I/O. */
export abstract class CrashQuarantine {
  /** Implicates the requests that were in flight when a target crashed. */
  abstract onCrash(
    targetId: string,
    fingerprints: readonly string[],
    nowMs: InstantMs,
  ): void;

  /**
   * Clears a fingerprint after a complete response from a target.
   *
   * @returns true if it was implicated
   */
  abstract onAnswered(fingerprint: string, nowMs: InstantMs): boolean;

  /**
   * Applies an implication that a peer reported. Ignored if a response has
   * cleared the fingerprint since.
   *
   * @param options - `remainingMs`: time until it expires at the peer, in
   *     milliseconds
   */
  abstract onPeerImplication(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
    options?: {readonly remainingMs: number},
  ): void;

  /** Clears a fingerprint that a peer reported as cleared. */
  abstract onPeerCleared(fingerprint: string, nowMs: InstantMs): void;

  /** Returns whether the request must not be sent to any target. */
  abstract isQuarantined(fingerprint: string, nowMs: InstantMs): boolean;

  /** Returns the number of targets whose crash implicates the request. */
  abstract crashedTargetCount(fingerprint: string, nowMs: InstantMs): number;

  /** Returns the number of quarantined fingerprints. */
  abstract quarantinedCount(nowMs: InstantMs): number;

  /** Lists the quarantined fingerprints, the latest ones last. */
  abstract quarantined(nowMs: InstantMs): readonly QuarantinedFingerprint[];

  /** Returns whether the request was in flight at one crash or more. */
  abstract isImplicated(fingerprint: string, nowMs: InstantMs): boolean;

  /**
   * Returns the implications that this VM observed, for gossip: target ids by
   * fingerprint. An empty list means that this VM cleared the fingerprint.
   */
  abstract implications(
    nowMs: InstantMs,
  ): ReadonlyMap<string, readonly string[]>;
}
