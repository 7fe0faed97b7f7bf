/**
 * Contract between the request engine, the home VM of a key and the peers'
 * protocol.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';

/** Question to the home VM: may this non-idempotent request run now? */
export interface ClaimRequest {
  readonly key: string;
  /** Hash of method, path and body; differs for another request. */
  readonly fingerprint: string;
  /**
   * The caller's count; undefined if it sent none. Also undefined when a claim
   * without an answer is repeated at another home: the first home may have
   * granted a later copy since.
   */
  readonly attempt: number | undefined;
  /** Incarnation of the VM that asks. */
  readonly claimantId: string;
  /** Token of the claim, unique per claimant. */
  readonly token: string;
  /** Deadline of the request; crosses the wire as remaining time. */
  readonly deadlineMs: InstantMs;
}

/** Answer of the home VM. Only `granted` allows the request to run. */
export type ClaimAnswer =
  | {readonly type: 'granted'}
  | {readonly type: 'ran'}
  | {readonly type: 'running'}
  | {readonly type: 'may-have-run'}
  /** The key was used for a different request. */
  | {readonly type: 'mismatch'}
  /** The asked VM is not the home of the key in its own view. */
  | {readonly type: 'not-home'}
  /** No answer came; the claim may have been granted. */
  | {readonly type: 'unreachable'};

/** Final verdict on a claimed request. */
export interface Settlement {
  readonly key: string;
  readonly claimantId: string;
  readonly token: string;
  readonly verdict: Verdict;
}

/** A record as handed over to the next home at a planned stop. */
export interface ClaimRecord {
  readonly key: string;
  readonly fingerprint: string;
  readonly claimantId: string;
  readonly token: string;
  readonly state: 'claimed' | 'not-run' | 'ran' | 'may-have-run';
  /** Deadline of the claimed request; crosses the wire as remaining time. */
  readonly deadlineMs: InstantMs;
  /** Instant after which the record is dropped. */
  readonly expiresMs: InstantMs;
}

/** The records that one VM keeps as home of keys. Pure. */
export abstract class ClaimBook {
  /**
   * Decides on a claim and records it. With `isInDoubt`, records are taken
   * for incomplete: another VM may act as home of the same keys.
   */
  abstract claim(
    request: ClaimRequest,
    nowMs: InstantMs,
    options?: {readonly isInDoubt: boolean},
  ): ClaimAnswer;

  /** Records the verdict; ignored unless claimant and token match. */
  abstract settle(settlement: Settlement, nowMs: InstantMs): void;

  /** Takes over records of a VM that stops. */
  abstract adopt(records: readonly ClaimRecord[], nowMs: InstantMs): void;

  /** Lists the records for a hand-over. */
  abstract exportRecords(nowMs: InstantMs): readonly ClaimRecord[];

  /** Notes that records from before this instant may be missing. */
  abstract resetHorizon(nowMs: InstantMs): void;

  /** Drops expired records. */
  abstract expire(nowMs: InstantMs): void;

  /** Number of records and instant since which they are complete. */
  abstract summary(): {
    readonly recordCount: number;
    readonly completeSinceMs: InstantMs;
    /** Instant of the last early eviction; undefined if there was none. */
    readonly lastEvictionMs: InstantMs | undefined;
  };
}

/** Requests implicated in crashes of targets. Pure. */
export abstract class CrashQuarantine {
  /** Notes that a target crashed with these requests in flight. */
  abstract onCrash(
    targetId: string,
    fingerprints: readonly string[],
    nowMs: InstantMs,
  ): void;

  /** Clears the implication of a request that a target answered in full. */
  abstract onAnswered(fingerprint: string, nowMs: InstantMs): void;

  /** Takes in a peer's implication of a fingerprint at a target. */
  abstract onPeerImplication(
    fingerprint: string,
    targetId: string,
    nowMs: InstantMs,
  ): void;

  /** Takes in that a peer cleared a fingerprint. */
  abstract onPeerCleared(fingerprint: string): void;

  /** True if the request must not be sent to any target. */
  abstract isQuarantined(fingerprint: string, nowMs: InstantMs): boolean;

  /** True if the request was in flight at one crash or more. */
  abstract isImplicated(fingerprint: string, nowMs: InstantMs): boolean;

  /**
   * Own implications to share with peers: fingerprint and targets. An empty
   * list tells that this VM cleared the fingerprint.
   */
  abstract implications(
    nowMs: InstantMs,
  ): ReadonlyMap<string, readonly string[]>;
}
