/**
 * Claim records of non-idempotent requests at the home VM of their keys.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {
  ClaimTable,
  type ClaimAnswer,
  type ClaimRecord,
  type ClaimRequest,
  type Settlement,
} from './types.js';

/** Time within which callers resend a request, in milliseconds. */
export const RESEND_WINDOW_MS = 120_000;

/**
 * Time for which a record is kept, in milliseconds; exceeds the resend window.
 */
export const RETENTION_MS = 600_000;

/**
 * Time after its deadline from which an unsettled claim counts as
 * `may-have-run`, in milliseconds.
 */
export const SETTLE_GRACE_MS = 5_000;

/** Maximum remaining time of a claim, in milliseconds. */
const MAX_REMAINING_MS = 3_600_000;

/** Claimant id and token of records that no settlement may change. */
const NO_CLAIMANT = '';

/** Precedence of the states; a higher one forbids more strictly to run. */
const STATE_STRICTNESS: Readonly<Record<ClaimRecord['state'], number>> = {
  'not-run': 0,
  claimed: 1,
  'may-have-run': 2,
  ran: 3,
};

/** Options of {@link KeyedClaimTable}. */
export interface KeyedClaimTableOptions {
  /** Start of this VM, in milliseconds; earlier records may be missing. */
  readonly startMs: InstantMs;
  /** Maximum records, 100,000 by default. */
  readonly maxRecords?: number;
}

/** Record with the instant of its grant. */
interface Entry extends ClaimRecord {
  /** Instant at which the claim was recorded here; -Infinity if adopted. */
  readonly grantedMs: InstantMs;
}

/**
 * In-memory claim table, keyed by idempotency key.
 *
 * @example
 * ```ts
 * const claimTable = new KeyedClaimTable({startMs: clock.nowMs()});
 * const answer = claimTable.claim(request, clock.nowMs());
 * ```
 */
export class KeyedClaimTable extends ClaimTable {
  private readonly maxRecords: number;
  /** Ordered by last change, so that the first entries expire first. */
  private readonly entries = new Map<string, Entry>();
  private completeSinceMs: InstantMs;
  private lastEvictionMs: InstantMs | undefined;

  /** @param options - see {@link KeyedClaimTableOptions} */
  constructor(options: KeyedClaimTableOptions) {
    super();
    this.completeSinceMs = options.startMs;
    this.maxRecords = options.maxRecords ?? 100_000;
  }

  override claim(
    request: ClaimRequest,
    nowMs: InstantMs,
    options: {readonly mayMissRecords: boolean} = {mayMissRecords: false},
  ): ClaimAnswer {
    const entry = this.entries.get(request.key);
    if (entry !== undefined && entry.fingerprint !== request.fingerprint) {
      return {type: 'mismatch'};
    }
    if (entry !== undefined && isSameClaim(entry, request)) {
      return answerRepeatedClaim(effectiveState(entry, nowMs));
    }
    if (entry !== undefined && entry.state !== 'not-run') {
      return answerConflictingClaim(effectiveState(entry, nowMs));
    }
    if (this.mayGrant(request, entry, nowMs, options.mayMissRecords)) {
      this.recordClaim(request, request, 'claimed', nowMs);
      return {type: 'granted'};
    }
    // Stored without a claimant: if the claimant settles this claim as unused,
    // the record must not change.
    const noClaimant = {claimantId: NO_CLAIMANT, token: NO_CLAIMANT};
    this.recordClaim(request, noClaimant, 'may-have-run', nowMs);
    return {type: 'may-have-run'};
  }

  override settle(settlement: Settlement, nowMs: InstantMs): void {
    const entry = this.entries.get(settlement.key);
    if (entry === undefined || !isSameClaim(entry, settlement)) {
      return;
    }
    // A repeated settlement may only make the record stricter.
    const {verdict} = settlement;
    const isStricter =
      STATE_STRICTNESS[verdict] > STATE_STRICTNESS[entry.state];
    if (entry.state === 'claimed' || isStricter) {
      const expiresMs = nowMs + RETENTION_MS;
      this.putEntry({...entry, state: verdict, expiresMs}, nowMs);
    }
  }

  override adopt(records: readonly ClaimRecord[], nowMs: InstantMs): void {
    for (const record of records) {
      const entry = this.entries.get(record.key);
      const merged = entry === undefined ? record : mergeRecords(entry, record);
      if (merged !== entry) {
        const laterExpiryMs = Math.max(record.expiresMs, entry?.expiresMs ?? 0);
        const expiresMs = Math.min(laterExpiryMs, nowMs + RETENTION_MS);
        const grantedMs = -Infinity;
        this.putEntry({...merged, expiresMs, grantedMs}, nowMs);
      }
    }
  }

  override exportRecords(nowMs: InstantMs): readonly ClaimRecord[] {
    this.expire(nowMs);
    return [...this.entries.values()].map(entry => {
      const {key, fingerprint, claimantId, token} = entry;
      const {deadlineMs, expiresMs} = entry;
      const state = effectiveState(entry, nowMs);
      const identity = {key, fingerprint, claimantId, token};
      return {...identity, state, deadlineMs, expiresMs};
    });
  }

  override advanceHorizon(nowMs: InstantMs): void {
    this.completeSinceMs = Math.max(this.completeSinceMs, nowMs);
  }

  override expire(nowMs: InstantMs): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresMs > nowMs) {
        break;
      }
      this.entries.delete(entry.key);
      // Retention of an unsettled claim starts when it becomes may-have-run.
      const overdueMs = entry.deadlineMs + SETTLE_GRACE_MS;
      const expiresMs = Math.min(nowMs, overdueMs) + RETENTION_MS;
      if (entry.state === 'claimed' && expiresMs > nowMs) {
        this.entries.set(entry.key, {...entry, expiresMs});
      }
    }
  }

  override summary(): ReturnType<ClaimTable['summary']> {
    const {completeSinceMs, lastEvictionMs} = this;
    return {recordCount: this.entries.size, completeSinceMs, lastEvictionMs};
  }

  /** Returns whether to grant a key without a record or with a not-run one. */
  private mayGrant(
    request: ClaimRequest,
    entry: Entry | undefined,
    nowMs: InstantMs,
    mayMissRecords: boolean,
  ): boolean {
    if (request.attempt === 1) {
      return true;
    }
    if (mayMissRecords) {
      return false;
    }
    // A claim from before the horizon may have been superseded at another
    // home, even if its settlement arrived after the horizon.
    const isCurrent = (entry?.grantedMs ?? -Infinity) > this.completeSinceMs;
    return isCurrent || nowMs - RESEND_WINDOW_MS >= this.completeSinceMs;
  }

  /** Stores a record of a claim. */
  private recordClaim(
    request: ClaimRequest,
    claim: {readonly claimantId: string; readonly token: string},
    state: ClaimRecord['state'],
    nowMs: InstantMs,
  ): void {
    const {key, fingerprint} = request;
    const {claimantId, token} = claim;
    const maxDeadlineMs = nowMs + MAX_REMAINING_MS;
    const deadlineMs = Math.min(request.deadlineMs, maxDeadlineMs);
    const expiresMs = nowMs + RETENTION_MS;
    const identity = {key, fingerprint, claimantId, token};
    const times = {deadlineMs, expiresMs, grantedMs: nowMs};
    this.putEntry({...identity, state, ...times}, nowMs);
  }

  /** Inserts an entry as the newest; evicts the oldest if the table is full. */
  private putEntry(entry: Entry, nowMs: InstantMs): void {
    this.entries.delete(entry.key);
    this.entries.set(entry.key, entry);
    if (this.entries.size > this.maxRecords) {
      this.expire(nowMs);
    }
    if (this.entries.size > this.maxRecords) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest ?? '');
      this.lastEvictionMs = nowMs;
      this.advanceHorizon(nowMs);
    }
  }
}

/** Returns whether a record has the claimant and token of another claim. */
function isSameClaim(
  entry: Entry,
  other: {readonly claimantId: string; readonly token: string},
): boolean {
  return entry.claimantId === other.claimantId && entry.token === other.token;
}

/** Returns whether the grace period after the deadline has passed. */
function isOverdue(record: ClaimRecord, nowMs: InstantMs): boolean {
  return nowMs > record.deadlineMs + SETTLE_GRACE_MS;
}

/** Returns the state at an instant; overdue claims are `may-have-run`. */
function effectiveState(entry: Entry, nowMs: InstantMs): ClaimRecord['state'] {
  const isUnsettled = entry.state === 'claimed' && isOverdue(entry, nowMs);
  return isUnsettled ? 'may-have-run' : entry.state;
}

/**
 * Answers a claim that is already recorded: the claimant repeats it after a
 * lost reply, or a duplicate arrives late.
 */
function answerRepeatedClaim(state: ClaimRecord['state']): ClaimAnswer {
  switch (state) {
    case 'claimed':
      return {type: 'granted'};
    case 'ran':
      return {type: 'ran'};
    case 'may-have-run':
    case 'not-run':
      // The claimant gave up a settled claim and would not settle it again.
      return {type: 'may-have-run'};
  }
}

/** Answers a claim of a key that another claim holds. */
function answerConflictingClaim(state: ClaimRecord['state']): ClaimAnswer {
  switch (state) {
    case 'claimed':
      return {type: 'running'};
    case 'ran':
      return {type: 'ran'};
    case 'may-have-run':
    case 'not-run':
      return {type: 'may-have-run'};
  }
}

/** Merges a record that was handed over into the local one. */
function mergeRecords(local: Entry, other: ClaimRecord): ClaimRecord {
  if (isSameClaim(local, other)) {
    // A settlement of a claim is newer than the claim itself.
    if (local.state === 'claimed' || other.state === 'claimed') {
      return local.state === 'claimed' ? {...local, state: other.state} : local;
    }
  } else if (local.state === 'claimed' && other.state === 'claimed') {
    // Both claims were granted, so settling one must not release the key.
    const noClaimant = {claimantId: NO_CLAIMANT, token: NO_CLAIMANT};
    return {...local, ...noClaimant, state: 'may-have-run'};
  }
  const isStricter =
    STATE_STRICTNESS[other.state] > STATE_STRICTNESS[local.state];
  return isStricter ? other : local;
}
