/**
 * Facts of all owners, reconciled by digest and delta (Scuttlebutt).
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {Digest, Fact, OwnerDelta} from './types.js';

/** Limits of a store. */
export interface FactStoreOptions {
  readonly selfId: string;
  /** Facts in one message. */
  readonly maxFactsPerMessage: number;
  /** Time for which the facts of a removed owner are refused. */
  readonly tombstoneMs: number;
  /** Time for which a deletion is kept as a marker. */
  readonly markerMs: number;
  readonly maxOwners: number;
  readonly maxFactsPerOwner: number;
}

/** Digest entry of an incarnation that left or was replaced. */
export const ENDED_SEQUENCE = Number.MAX_SAFE_INTEGER;

/** Error thrown when this VM publishes more facts than the store keeps. */
export class FactLimitError extends Error {
  override readonly name = 'FactLimitError';
}

/** Hexadecimal digits of an owner's short id: 52 bits, exact as a double. */
const SHORT_ID_DIGITS = 13;

interface OwnerFacts {
  readonly shortId: number;
  /** Ordered by sequence: an updated fact is inserted again at the end. */
  readonly facts: Map<string, Fact>;
  knownSequence: number;
  collectedSequence: number;
}

interface Tombstone {
  readonly sequence: number;
  readonly isFinal: boolean;
  readonly expiresMs: InstantMs;
}

interface Marker {
  readonly fact: Fact;
  readonly collectMs: InstantMs;
}

/**
 * Facts of all owners. A digest entry of n means that the store holds all
 * facts of the owner up to n that were not replaced by later ones.
 *
 * @example
 * ```ts
 * const news = store.merge(peer.deltaFor(store.digest()), nowMs);
 * ```
 */
export class FactStore {
  private readonly owners = new Map<string, OwnerFacts>();
  /** Owner ids of peers by short id. */
  private readonly ownerIds = new Map<number, string>();
  /** By short id, as digests spread them. */
  private readonly tombstones = new Map<number, Tombstone>();
  private markers: Marker[] = [];
  private firstOwnerIndex = 0;

  /** @param options - see {@link FactStoreOptions} */
  constructor(private readonly options: FactStoreOptions) {
    this.owners.set(options.selfId, newOwner(options.selfId));
  }

  /**
   * Publishes a fact of this VM. An unchanged value is not published again.
   *
   * @param key - fact key
   * @param value - JSON text; empty to delete
   * @param nowMs - current instant in milliseconds
   * @throws FactLimitError if the store holds too many facts of this VM
   */
  publish(key: string, value: string, nowMs: InstantMs): void {
    const {selfId, maxFactsPerOwner} = this.options;
    const own = this.ownerOrNew(selfId);
    const current = own.facts.get(key);
    if ((current?.value ?? '') === value) {
      return;
    }
    if (current === undefined && own.facts.size >= maxFactsPerOwner) {
      throw new FactLimitError(
        `cannot publish ${key}: ${maxFactsPerOwner} facts are kept already`,
      );
    }
    const sequence = own.knownSequence + 1;
    this.put(own, {ownerId: selfId, key, value, sequence}, nowMs);
  }

  /**
   * Reads one fact.
   *
   * @param ownerId - owner
   * @param key - fact key
   * @returns the value; undefined if unknown or deleted
   */
  valueOf(ownerId: string, key: string): string | undefined {
    const value = this.owners.get(ownerId)?.facts.get(key)?.value;
    return value === '' ? undefined : value;
  }

  /**
   * Lists the facts of an owner.
   *
   * @param ownerId - owner
   * @returns the facts, oldest first, without deleted ones
   */
  factsOf(ownerId: string): readonly Fact[] {
    const facts = this.owners.get(ownerId)?.facts.values() ?? [];
    return [...facts].filter(fact => fact.value !== '');
  }

  /**
   * Summarises what this store holds. Removed owners are listed as well, so
   * that peers don't send their facts again.
   *
   * @returns greatest sequence held by owner
   */
  digest(): Digest {
    const digest = new Map<number, number>();
    for (const [shortId, tombstone] of this.tombstones) {
      const {isFinal, sequence} = tombstone;
      digest.set(shortId, isFinal ? ENDED_SEQUENCE : sequence);
    }
    for (const owner of this.owners.values()) {
      digest.set(owner.shortId, owner.knownSequence);
    }
    return digest;
  }

  /**
   * Compares a peer's digest with this store.
   *
   * @param digest - the peer's digest
   * @returns sequences known here of the owners that the peer is ahead of, and
   *     marks of ended incarnations that the peer still lists
   */
  missingFrom(digest: Digest): Digest {
    const own = this.digest();
    const missing = new Map<number, number>();
    for (const [shortId, sequence] of digest) {
      const known = own.get(shortId) ?? 0;
      const isAhead = sequence > known && !isEnd(sequence);
      const isUnawareOfEnd = sequence < known && isEnd(known);
      if (isAhead || isUnawareOfEnd) {
        missing.set(shortId, known);
      }
    }
    return missing;
  }

  /**
   * Collects facts that a peer lacks. The first owner rotates, so that a full
   * message does not always leave out the same owners.
   *
   * @param digest - the peer's digest
   * @param listedOnly - true to leave out owners that it does not list
   * @returns at most `maxFactsPerMessage` facts, oldest first for each owner
   */
  deltaFor(digest: Digest, listedOnly: boolean): readonly OwnerDelta[] {
    const unlisted = listedOnly ? Infinity : 0;
    const behind = [...this.owners].filter(
      ([, owner]) =>
        owner.knownSequence > (digest.get(owner.shortId) ?? unlisted),
    );
    const deltas: OwnerDelta[] = [];
    let room = this.options.maxFactsPerMessage;
    const first = this.firstOwnerIndex++;
    for (let i = 0; i < behind.length && room > 0; i++) {
      const entry = behind[(first + i) % behind.length];
      if (entry === undefined) {
        continue;
      }
      const [ownerId, owner] = entry;
      const afterSequence = digest.get(owner.shortId) ?? 0;
      const facts = factsAfter(owner, afterSequence, room);
      room -= facts.length;
      if (facts.length > 0) {
        deltas.push({
          ownerId: afterSequence === 0 ? ownerId : undefined,
          ownerShortId: owner.shortId,
          afterSequence,
          collectedSequence: owner.collectedSequence,
          facts,
        });
      }
    }
    return deltas;
  }

  /**
   * Takes in the facts of one owner. Facts that leave a gap are refused, since
   * the digest would hide the missing ones.
   *
   * @param delta - facts of one owner
   * @param nowMs - current instant in milliseconds
   * @returns the facts that were new
   */
  merge(delta: OwnerDelta, nowMs: InstantMs): readonly Fact[] {
    const {afterSequence, collectedSequence} = delta;
    const ownerId = delta.ownerId ?? this.ownerIds.get(delta.ownerShortId);
    if (ownerId === this.options.selfId || !this.passesTombstone(delta)) {
      return [];
    }
    if (ownerId === undefined) {
      return [];
    }
    const owner = this.ownerOrNew(ownerId);
    if (
      collectedSequence > owner.collectedSequence &&
      owner.knownSequence > 0 &&
      owner.knownSequence < collectedSequence
    ) {
      // A deletion that this store never saw is gone; start again.
      this.forget(ownerId);
      return [];
    }
    if (afterSequence > owner.knownSequence) {
      return [];
    }
    const fresh = delta.facts
      .filter(fact => fact.sequence > owner.knownSequence)
      .map(fact => ({...fact, ownerId}));
    if (!this.hasRoomFor(ownerId, owner, fresh)) {
      return [];
    }
    owner.collectedSequence = Math.max(
      owner.collectedSequence,
      collectedSequence,
    );
    this.owners.set(ownerId, owner);
    this.ownerIds.set(owner.shortId, ownerId);
    for (const fact of fresh) {
      this.put(owner, fact, nowMs);
    }
    return fresh;
  }

  /**
   * Drops the facts of an owner and refuses them for a bounded time. Newer
   * facts of an owner that did not leave for good lift the refusal.
   *
   * @param ownerId - owner to remove
   * @param isFinal - true if this incarnation left or was replaced
   * @param nowMs - current instant in milliseconds
   */
  remove(ownerId: string, isFinal: boolean, nowMs: InstantMs): void {
    const sequence = this.owners.get(ownerId)?.knownSequence ?? 0;
    this.forget(ownerId);
    this.bury(shortIdOf(ownerId), sequence, isFinal, nowMs);
  }

  /**
   * Adopts the incarnations that a peer's digest marks as ended.
   *
   * @param digest - the peer's digest
   * @param adoptsUnknown - true to refuse also those not known here
   * @param nowMs - current instant in milliseconds
   * @returns owner ids of those that were known and are removed now
   */
  adoptEnded(
    digest: Digest,
    adoptsUnknown: boolean,
    nowMs: InstantMs,
  ): readonly string[] {
    const ended = new Set<number>();
    for (const [shortId, sequence] of digest) {
      if (isEnd(sequence)) {
        ended.add(shortId);
      }
    }
    const known = [...this.owners]
      .filter(([ownerId]) => ownerId !== this.options.selfId)
      .filter(([, owner]) => ended.delete(owner.shortId))
      .map(([ownerId]) => ownerId);
    known.forEach(ownerId => this.remove(ownerId, true, nowMs));
    ended.delete(shortIdOf(this.options.selfId));
    for (const shortId of adoptsUnknown ? ended : []) {
      if (this.tombstones.get(shortId)?.isFinal !== true) {
        this.bury(shortId, 0, true, nowMs);
      }
    }
    return known;
  }

  /**
   * Drops expired tombstones and deletion markers.
   *
   * @param nowMs - current instant in milliseconds
   */
  expire(nowMs: InstantMs): void {
    for (const [shortId, tombstone] of this.tombstones) {
      if (tombstone.expiresMs <= nowMs) {
        this.tombstones.delete(shortId);
      }
    }
    const due = this.markers.filter(marker => marker.collectMs <= nowMs);
    if (due.length > 0) {
      this.markers = this.markers.filter(marker => marker.collectMs > nowMs);
      due.forEach(marker => this.collect(marker.fact));
    }
  }

  /** Number of facts, tombstones and markers held. */
  size(): number {
    let size = this.tombstones.size + this.markers.length;
    for (const owner of this.owners.values()) {
      size += owner.facts.size;
    }
    return size;
  }

  private ownerOrNew(ownerId: string): OwnerFacts {
    return this.owners.get(ownerId) ?? newOwner(ownerId);
  }

  private forget(ownerId: string): void {
    this.owners.delete(ownerId);
    this.ownerIds.delete(shortIdOf(ownerId));
  }

  private bury(
    shortId: number,
    sequence: number,
    isFinal: boolean,
    nowMs: InstantMs,
  ): void {
    const expiresMs = nowMs + this.options.tombstoneMs;
    this.tombstones.delete(shortId);
    this.tombstones.set(shortId, {sequence, isFinal, expiresMs});
    const [oldest] = this.tombstones.keys();
    if (this.tombstones.size > this.options.maxOwners && oldest !== undefined) {
      this.tombstones.delete(oldest);
    }
  }

  private passesTombstone(delta: OwnerDelta): boolean {
    if (this.tombstones.size === 0) {
      return true;
    }
    const shortId = delta.ownerShortId;
    const tombstone = this.tombstones.get(shortId);
    if (tombstone === undefined) {
      return true;
    }
    const newest = delta.facts.at(-1)?.sequence ?? 0;
    if (tombstone.isFinal || newest <= tombstone.sequence) {
      return false;
    }
    this.tombstones.delete(shortId);
    return true;
  }

  private hasRoomFor(
    ownerId: string,
    owner: OwnerFacts,
    fresh: readonly Fact[],
  ): boolean {
    const {maxOwners, maxFactsPerOwner} = this.options;
    if (!this.owners.has(ownerId) && this.owners.size >= maxOwners) {
      return false;
    }
    return owner.facts.size + fresh.length <= 2 * maxFactsPerOwner;
  }

  private put(owner: OwnerFacts, fact: Fact, nowMs: InstantMs): void {
    owner.facts.delete(fact.key);
    owner.facts.set(fact.key, fact);
    owner.knownSequence = fact.sequence;
    if (fact.value === '') {
      const collectMs = nowMs + this.options.markerMs;
      this.markers.push({fact, collectMs});
    }
  }

  private collect(fact: Fact): void {
    const owner = this.owners.get(fact.ownerId);
    if (owner?.facts.get(fact.key) === fact) {
      owner.facts.delete(fact.key);
      owner.collectedSequence = Math.max(
        owner.collectedSequence,
        fact.sequence,
      );
    }
  }
}

function isEnd(sequence: number): boolean {
  return sequence === ENDED_SEQUENCE;
}

function newOwner(ownerId: string): OwnerFacts {
  const shortId = shortIdOf(ownerId);
  return {shortId, facts: new Map(), knownSequence: 0, collectedSequence: 0};
}

/**
 * Hashes an owner id for digests. Two owners with the same short id would hide
 * facts of each other; 52 bits make that about 1 in 10^12 for 64 owners.
 *
 * @param ownerId - `vmId/bootId`
 * @returns a whole number below 2^52
 *
 * @example
 * ```ts
 * const sequence = digest.get(shortIdOf('e-01/5f3a'));
 * ```
 */
export function shortIdOf(ownerId: string): number {
  return parseInt(hashText(ownerId).slice(0, SHORT_ID_DIGITS), 16);
}

function factsAfter(
  owner: OwnerFacts,
  afterSequence: number,
  limit: number,
): readonly Fact[] {
  const facts: Fact[] = [];
  for (const fact of owner.facts.values()) {
    if (facts.length === limit) {
      break;
    }
    if (fact.sequence > afterSequence) {
      facts.push(fact);
    }
  }
  return facts;
}
