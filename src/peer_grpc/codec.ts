/**
 * Conversion between protobuf messages and the types of the modules. Decoding
 * validates the content of a message.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';
import {
  shortIdOf,
  type Digest,
  type FactUpdate,
  type OwnerDelta,
} from '../membership/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';
import type {HybridTime} from '../timeline/index.js';
import type {HandOver} from './types.js';
import type {
  WireAnswer,
  WireClaimRequest,
  WireDelta,
  WireDigest,
  WireDocument,
  WireHandOverRequest,
  WireRecord,
  WireSettleRequest,
  WireState,
  WireTime,
} from './wire.js';

/** Maximum length of an identifier, key or fingerprint, in characters. */
const MAX_NAME_LENGTH = 1_024;

/** Maximum length of the value of a fact, in characters. */
const MAX_VALUE_LENGTH = 65_536;

/** Most frequent fact key, and its shorter encoding on the wire. */
const HEARTBEAT_KEY = 'heartbeat';
const ENCODED_HEARTBEAT_KEY = '\u0001';

/** Error thrown for a message with invalid content. @internal */
export class BadMessageError extends Error {
  override readonly name = 'BadMessageError';
}

const WIRE_BY_STATE: Readonly<Record<ClaimRecord['state'], WireState>> = {
  claimed: 'RECORD_CLAIMED',
  'not-run': 'RECORD_NOT_RUN',
  ran: 'RECORD_RAN',
  'may-have-run': 'RECORD_MAY_HAVE_RUN',
};

const WIRE_BY_ANSWER: Readonly<Record<ClaimAnswer['type'], WireAnswer>> = {
  granted: 'GRANTED',
  ran: 'RAN',
  running: 'RUNNING',
  'may-have-run': 'MAY_HAVE_RUN',
  mismatch: 'MISMATCH',
  'not-home': 'NOT_HOME',
  // Never sent by a home VM; the claimant treats it as a missing answer.
  unreachable: 'CLAIM_ANSWER_UNSPECIFIED',
};

const STATE_BY_WIRE = invert(WIRE_BY_STATE);
const ANSWER_BY_WIRE = invert(WIRE_BY_ANSWER);

/** @internal */
export function encodeDigest(digest: Digest): WireDigest {
  return {ownerShortIds: [...digest.keys()], sequences: [...digest.values()]};
}

/** @internal */
export function decodeDigest(wire: WireDigest | null): Digest {
  check(wire !== null, 'digest is missing');
  const {ownerShortIds, sequences} = wire;
  check(
    ownerShortIds.length === sequences.length,
    'digest lists differ in length',
  );
  const digest = new Map<number, number>();
  ownerShortIds.forEach((value, i) => {
    const shortId = checkCount(value, 'owner_short_id');
    digest.set(shortId, checkCount(sequences[i], 'sequence'));
  });
  return digest;
}

/** @internal */
export function encodeDelta(delta: OwnerDelta): WireDelta {
  const {afterSequence, collectedSequence, facts} = delta;
  let previous = afterSequence;
  const sequenceSteps = facts.map(({sequence}) => {
    const step = sequence - previous;
    previous = sequence;
    return step;
  });
  const keys = facts.map(({key}) =>
    key === HEARTBEAT_KEY ? ENCODED_HEARTBEAT_KEY : key,
  );
  const values = facts.map(fact => fact.value);
  const lists = {keys, values, sequenceSteps};
  const owner =
    delta.ownerId === undefined
      ? {ownerId: '', ownerShortId: delta.ownerShortId}
      : {ownerId: delta.ownerId};
  return {...owner, afterSequence, collectedSequence, ...lists};
}

/** @internal */
export function decodeDelta(wire: WireDelta): OwnerDelta {
  const {keys, values, sequenceSteps} = wire;
  const haveEqualLengths =
    keys.length === values.length && keys.length === sequenceSteps.length;
  check(haveEqualLengths, 'fact lists differ in length');
  const afterSequence = checkCount(wire.afterSequence, 'after_sequence');
  const collectedSequence = checkCount(
    wire.collectedSequence,
    'collected_sequence',
  );
  let sequence = afterSequence;
  const facts = keys.map((wireKey, i): FactUpdate => {
    const key = wireKey === ENCODED_HEARTBEAT_KEY ? HEARTBEAT_KEY : wireKey;
    const step = checkCount(sequenceSteps[i], 'sequence step');
    check(step > 0, 'facts are not in ascending order');
    sequence = checkCount(sequence + step, 'sequence');
    checkName(key, 'fact key');
    const value = values[i] ?? '';
    check(value.length <= MAX_VALUE_LENGTH, 'fact value is too long');
    return {key, value, sequence};
  });
  return {...decodeOwner(wire), afterSequence, collectedSequence, facts};
}

function decodeOwner(
  wire: WireDelta,
): Pick<OwnerDelta, 'ownerId' | 'ownerShortId'> {
  const {ownerId} = wire;
  if (ownerId === '') {
    const ownerShortId = checkCount(wire.ownerShortId, 'owner_short_id');
    check(wire.afterSequence > 0, 'owner_id of an unknown owner is missing');
    return {ownerId: undefined, ownerShortId};
  }
  checkOwnerId(ownerId);
  return {ownerId, ownerShortId: shortIdOf(ownerId)};
}

/** @internal */
export function encodeClaim(
  request: ClaimRequest,
  time: WireTime,
  nowMs: InstantMs,
): WireClaimRequest {
  const {key, fingerprint, attempt, claimantId, token} = request;
  const remainingMs = request.deadlineMs - nowMs;
  const fields = {time, key, fingerprint, claimantId, token, remainingMs};
  return attempt === undefined ? fields : {...fields, attempt};
}

/** @internal */
export function decodeClaim(
  wire: WireClaimRequest,
  nowMs: InstantMs,
): ClaimRequest {
  const {key, fingerprint, attempt, claimantId, token} = wire;
  checkClaimNames(wire);
  checkName(fingerprint, 'fingerprint');
  const deadlineMs = nowMs + checkFinite(wire.remainingMs, 'remaining_ms');
  return {key, fingerprint, attempt, claimantId, token, deadlineMs};
}

/** @internal */
export function encodeAnswer(answer: ClaimAnswer): WireAnswer {
  return WIRE_BY_ANSWER[answer.type];
}

/** @internal */
export function decodeAnswer(wire: WireAnswer): ClaimAnswer {
  return {type: ANSWER_BY_WIRE.get(wire) ?? 'unreachable'};
}

/** @internal */
export function encodeSettlement(
  settlement: Settlement,
  time: WireTime,
): WireSettleRequest {
  const {key, claimantId, token} = settlement;
  const verdict = WIRE_BY_STATE[settlement.verdict];
  return {time, key, claimantId, token, verdict};
}

/** @internal */
export function decodeSettlement(wire: WireSettleRequest): Settlement {
  const {key, claimantId, token} = wire;
  checkClaimNames(wire);
  const state = STATE_BY_WIRE.get(wire.verdict);
  check(state !== undefined && state !== 'claimed', 'verdict is unknown');
  return {key, claimantId, token, verdict: state satisfies Verdict};
}

/** @internal */
export function encodeRecord(
  record: ClaimRecord,
  nowMs: InstantMs,
): WireRecord {
  const {key, fingerprint, claimantId, token} = record;
  const state = WIRE_BY_STATE[record.state];
  const remainingMs = record.deadlineMs - nowMs;
  const expiresInMs = record.expiresMs - nowMs;
  const times = {remainingMs, expiresInMs};
  return {key, fingerprint, claimantId, token, state, ...times};
}

/** @internal */
export function decodeHandOver(
  wire: WireHandOverRequest,
  nowMs: InstantMs,
): HandOver {
  const {evictionElapsedMs} = wire;
  const records = wire.records.map(record => decodeRecord(record, nowMs));
  if (evictionElapsedMs === undefined) {
    return {records, lastEvictionMs: undefined};
  }
  const elapsedMs = checkFinite(evictionElapsedMs, 'eviction_elapsed_ms');
  check(elapsedMs >= 0, 'eviction_elapsed_ms is negative');
  return {records, lastEvictionMs: nowMs - elapsedMs};
}

/** @internal */
export function decodeRecord(wire: WireRecord, nowMs: InstantMs): ClaimRecord {
  const {key, fingerprint, claimantId, token} = wire;
  checkName(key, 'key');
  checkName(fingerprint, 'fingerprint');
  const state = STATE_BY_WIRE.get(wire.state);
  check(state !== undefined, 'record state is unknown');
  // A record without a claimant can't be settled, so it must not be claimed.
  const hasClaimant = claimantId !== '' && token !== '';
  check(hasClaimant || state === 'may-have-run', 'claimant is missing');
  const deadlineMs = nowMs + checkFinite(wire.remainingMs, 'remaining_ms');
  const expiresMs = nowMs + checkFinite(wire.expiresInMs, 'expires_in_ms');
  const times = {deadlineMs, expiresMs};
  return {key, fingerprint, claimantId, token, state, ...times};
}

/** @internal */
export function decodeDocumentName(name: string): DocumentName {
  check(name === 'config' || name === 'vms', 'document name is unknown');
  return name;
}

/** @internal */
export function encodeDocument(document: PublishedDocument): WireDocument {
  return {...document.version, body: document.body};
}

/** @internal */
export function decodeDocument(
  name: DocumentName,
  wire: WireDocument,
): PublishedDocument {
  const {sha256, body} = wire;
  const revision = checkCount(wire.revision, 'revision');
  const platformVersion = checkCount(wire.platformVersion, 'platform_version');
  const platformEra = checkCount(wire.platformEra, 'platform_era');
  const version = {revision, platformVersion, platformEra, sha256};
  return {name, version, body};
}

/** @internal */
export function decodeTime(wire: WireTime | null): HybridTime {
  check(wire !== null, 'time is missing');
  const wallMs = checkCount(wire.wallMs, 'wall_ms');
  return {wallMs, counter: checkCount(wire.counter, 'counter')};
}

function checkClaimNames(wire: {
  readonly key: string;
  readonly claimantId: string;
  readonly token: string;
}): void {
  checkName(wire.key, 'key');
  checkName(wire.claimantId, 'claimant_id');
  checkName(wire.token, 'token');
}

function checkOwnerId(ownerId: string): void {
  checkName(ownerId, 'owner_id');
  check(/^.+\/[^/]+$/s.test(ownerId), 'owner_id is not vmId/bootId');
}

function checkName(name: string, field: string): void {
  const isValid = name.length > 0 && name.length <= MAX_NAME_LENGTH;
  check(isValid, `${field} is empty or too long`);
}

function checkCount(value: number | undefined, field: string): number {
  const isValid = Number.isSafeInteger(value) && (value ?? -1) >= 0;
  check(isValid, `${field} is out of range`);
  return value ?? 0;
}

function checkFinite(value: number, field: string): number {
  check(Number.isFinite(value), `${field} is not a finite number`);
  return value;
}

function check(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new BadMessageError(message);
  }
}

function invert<K extends string, V extends string>(
  record: Readonly<Record<K, V>>,
): ReadonlyMap<V, K> {
  const entries = Object.entries(record) as [K, V][];
  return new Map(entries.map(([key, value]) => [value, key]));
}
