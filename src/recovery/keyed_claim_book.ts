/**
 * Records of non-idempotent requests at the home VM of their keys.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {
  ClaimBook,
  type ClaimAnswer,
  type ClaimRecord,
  type ClaimRequest,
  type Settlement,
} from './types.js';

/** Time within which callers send copies of a request again. */
export const RESEND_WINDOW_MS = 120_000;

/** Time for which a record is kept; exceeds the resend window. */
export const RETENTION_MS = 600_000;

/** Time after its deadline at which an unsettled claim may have run. */
export const SETTLE_GRACE_MS = 5_000;

/** Longest time to a deadline that a claim may state. */
const MAX_REMAINING_MS = 3_600_000;

/** Identity of records that no settlement may change. */
const NOBODY = '';

/** How strongly a state forbids to run the request. */
const FORBIDDANCE: Readonly<Record<ClaimRecord['state'], number>> = {
  'not-run': 0,
  claimed: 1,
  'may-have-run': 2,
  ran: 3,
};

/** Options of {@link KeyedClaimBook}. */
export interface KeyedClaimBookOptions {
  /** Start of this VM; its records are complete since then at the earliest. */
  readonly startMs: InstantMs;
  /** Records kept, 100,000 by default. */
  readonly maxRecords?: number;
}

interface Entry extends ClaimRecord {
  /** Instant at which this book granted the claim; -Infinity if it did not. */
  readonly grantedMs: InstantMs;
}

/**
 * Claim book keyed by idempotency key.
 *
 * @example
 * ```ts
 * const book = new KeyedClaimBook({startMs: clock.nowMs()});
 * const answer = book.claim(request, clock.nowMs());
 * ```
 */
export class KeyedClaimBook extends ClaimBook {
  private readonly maxRecords: number;
  /** Ordered by the last change, so the first entries expire first. */
  private readonly entries = new Map<string, Entry>();
  private completeSinceMs: InstantMs;
  private lastEvictionMs: InstantMs | undefined;

  /** @param options - see {@link KeyedClaimBookOptions} */
  constructor(options: KeyedClaimBookOptions) {
    super();
    this.completeSinceMs = options.startMs;
    this.maxRecords = options.maxRecords ?? 100_000;
  }

  override claim(
    request: ClaimRequest,
    nowMs: InstantMs,
    options: {readonly isInDoubt: boolean} = {isInDoubt: false},
  ): ClaimAnswer {
    const entry = this.entries.get(request.key);
    if (entry !== undefined && entry.fingerprint !== request.fingerprint) {
      return {type: 'mismatch'};
    }
    if (entry !== undefined && isSameClaim(entry, request)) {
      return answerToRepeat(stateAt(entry, nowMs));
    }
    if (entry !== undefined && entry.state !== 'not-run') {
      return answerToOther(stateAt(entry, nowMs));
    }
    if (this.mayGrant(request, entry, nowMs, options.isInDoubt)) {
      this.store(request, request, 'claimed', nowMs);
      return {type: 'granted'};
    }
    // The claimant that settles its unused claim must not lift this record.
    const nobody = {claimantId: NOBODY, token: NOBODY};
    this.store(request, nobody, 'may-have-run', nowMs);
    return {type: 'may-have-run'};
  }

  override settle(settlement: Settlement, nowMs: InstantMs): void {
    const entry = this.entries.get(settlement.key);
    if (entry === undefined || !isSameClaim(entry, settlement)) {
      return;
    }
    // A second settlement may only make the record stricter.
    const {verdict} = settlement;
    const isStricter = FORBIDDANCE[verdict] > FORBIDDANCE[entry.state];
    if (entry.state === 'claimed' || isStricter) {
      const expiresMs = nowMs + RETENTION_MS;
      this.put({...entry, state: verdict, expiresMs}, nowMs);
    }
  }

  override adopt(records: readonly ClaimRecord[], nowMs: InstantMs): void {
    for (const record of records) {
      const entry = this.entries.get(record.key);
      const merged = entry === undefined ? record : mergeRecords(entry, record);
      if (merged !== entry) {
        const latestMs = Math.max(record.expiresMs, entry?.expiresMs ?? 0);
        const expiresMs = Math.min(latestMs, nowMs + RETENTION_MS);
        const grantedMs = -Infinity;
        this.put({...merged, expiresMs, grantedMs}, nowMs);
      }
    }
  }

  override exportRecords(nowMs: InstantMs): readonly ClaimRecord[] {
    this.expire(nowMs);
    return [...this.entries.values()].map(entry => {
      const {key, fingerprint, claimantId, token} = entry;
      const {deadlineMs, expiresMs} = entry;
      const state = stateAt(entry, nowMs);
      const identity = {key, fingerprint, claimantId, token};
      return {...identity, state, deadlineMs, expiresMs};
    });
  }

  override resetHorizon(nowMs: InstantMs): void {
    this.completeSinceMs = Math.max(this.completeSinceMs, nowMs);
  }

  override expire(nowMs: InstantMs): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresMs > nowMs) {
        break;
      }
      this.entries.delete(entry.key);
      // An unsettled claim is kept for the retention after it may have run.
      const lostMs = entry.deadlineMs + SETTLE_GRACE_MS;
      const expiresMs = Math.min(nowMs, lostMs) + RETENTION_MS;
      if (entry.state === 'claimed' && expiresMs > nowMs) {
        this.entries.set(entry.key, {...entry, expiresMs});
      }
    }
  }

  override summary(): ReturnType<ClaimBook['summary']> {
    const {completeSinceMs, lastEvictionMs} = this;
    return {recordCount: this.entries.size, completeSinceMs, lastEvictionMs};
  }

  /** Decides on a key without a record, or with one that says not-run. */
  private mayGrant(
    request: ClaimRequest,
    entry: Entry | undefined,
    nowMs: InstantMs,
    isInDoubt: boolean,
  ): boolean {
    if (request.attempt === 1) {
      return true;
    }
    if (isInDoubt) {
      return false;
    }
    // A claim from before the horizon may have been superseded at another
    // home, even if its settlement arrived after the horizon.
    const isCurrent = (entry?.grantedMs ?? -Infinity) > this.completeSinceMs;
    return isCurrent || nowMs - RESEND_WINDOW_MS >= this.completeSinceMs;
  }

  private store(
    request: ClaimRequest,
    claim: {readonly claimantId: string; readonly token: string},
    state: ClaimRecord['state'],
    nowMs: InstantMs,
  ): void {
    const {key, fingerprint} = request;
    const {claimantId, token} = claim;
    const latestMs = nowMs + MAX_REMAINING_MS;
    const deadlineMs = Math.min(request.deadlineMs, latestMs);
    const expiresMs = nowMs + RETENTION_MS;
    const identity = {key, fingerprint, claimantId, token};
    const times = {deadlineMs, expiresMs, grantedMs: nowMs};
    this.put({...identity, state, ...times}, nowMs);
  }

  private put(entry: Entry, nowMs: InstantMs): void {
    this.entries.delete(entry.key);
    this.entries.set(entry.key, entry);
    if (this.entries.size > this.maxRecords) {
      this.expire(nowMs);
    }
    if (this.entries.size > this.maxRecords) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest ?? '');
      this.lastEvictionMs = nowMs;
      this.resetHorizon(nowMs);
    }
  }
}

function isSameClaim(
  entry: Entry,
  other: {readonly claimantId: string; readonly token: string},
): boolean {
  return entry.claimantId === other.claimantId && entry.token === other.token;
}

function isOverdue(record: ClaimRecord, nowMs: InstantMs): boolean {
  return nowMs > record.deadlineMs + SETTLE_GRACE_MS;
}

function stateAt(entry: Entry, nowMs: InstantMs): ClaimRecord['state'] {
  const isLost = entry.state === 'claimed' && isOverdue(entry, nowMs);
  return isLost ? 'may-have-run' : entry.state;
}

/** The claimant asks again because it got no answer, or a copy arrives late. */
function answerToRepeat(state: ClaimRecord['state']): ClaimAnswer {
  switch (state) {
    case 'claimed':
      return {type: 'granted'};
    case 'ran':
      return {type: 'ran'};
    case 'may-have-run':
    case 'not-run':
      // A settled claim was given up; nobody would settle it a second time.
      return {type: 'may-have-run'};
  }
}

function answerToOther(state: ClaimRecord['state']): ClaimAnswer {
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

/** Merges a record handed over into an own one. */
function mergeRecords(own: Entry, other: ClaimRecord): ClaimRecord {
  if (isSameClaim(own, other)) {
    // Of one claim a settlement is newer than the claim itself.
    if (own.state === 'claimed' || other.state === 'claimed') {
      return own.state === 'claimed' ? {...own, state: other.state} : own;
    }
  } else if (own.state === 'claimed' && other.state === 'claimed') {
    // Two claims were granted; the end of one says nothing about the other.
    const nobody = {claimantId: NOBODY, token: NOBODY};
    return {...own, ...nobody, state: 'may-have-run'};
  }
  const isStricter = FORBIDDANCE[other.state] > FORBIDDANCE[own.state];
  return isStricter ? other : own;
}
