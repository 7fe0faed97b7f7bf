/**
 * Store of the facts of all owners, reconciled by digest and delta
 * (Scuttlebutt).
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {Digest, Fact, OwnerDelta} from './types.js';

/** Identity and limits of a {@link FactStore}. */
export interface FactStoreOptions {
  readonly selfId: string;
  /** Maximum number of facts in one message. */
  readonly maxFactsPerMessage: number;
  /** Time for which the facts of a removed owner are rejected. */
  readonly tombstoneMs: number;
  /** Time for which a deletion marker is kept. */
  readonly markerMs: number;
  readonly maxOwners: number;
  readonly maxFactsPerOwner: number;
}

/** Digest entry that marks an incarnation that left or was replaced. */
export const ENDED_SEQUENCE = Number.MAX_SAFE_INTEGER;

/** Error thrown when this VM publishes more facts than the store allows. */
export class FactLimitError extends Error {
  override readonly name = 'FactLimitError';
}

/** Hexadecimal digits of a short owner id: 52 bits, exact as a double. */
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

interface DeletionMarker {
  readonly fact: Fact;
  readonly collectMs: InstantMs;
}

/**
 * Stores the facts of all owners. A digest entry of n means that the store has
 * all facts of the owner up to sequence n, except those replaced by later ones.
 *
 * @example
 * ```ts
 * for (const delta of peer.deltaFor(store.digest(), false)) {
 *   store.merge(delta, nowMs);
 * }
 * ```
 */
export class FactStore {
  private readonly owners = new Map<string, OwnerFacts>();
  /** Owner ids of peers, by short id. */
  private readonly ownerIds = new Map<number, string>();
  /** Tombstones by short id, since digests carry only short ids. */
  private readonly tombstones = new Map<number, Tombstone>();
  private markers: DeletionMarker[] = [];
  private firstOwnerIndex = 0;

  /** @param options - see {@link FactStoreOptions} */
  constructor(private readonly options: FactStoreOptions) {
    this.owners.set(options.selfId, newOwner(options.selfId));
  }

  /**
   * Publishes a fact of this VM. Does nothing if the value is unchanged.
   *
   * @param key - fact key
   * @param value - JSON text; empty to delete
   * @param nowMs - current instant in milliseconds
   * @throws FactLimitError if the limit of facts per owner is reached
   */
  publish(key: string, value: string, nowMs: InstantMs): void {
    const {selfId, maxFactsPerOwner} = this.options;
    const self = this.ownerOrNew(selfId);
    const current = self.facts.get(key);
    if ((current?.value ?? '') === value) {
      return;
    }
    if (current === undefined && self.facts.size >= maxFactsPerOwner) {
      throw new FactLimitError(
        `cannot publish ${key}: limit of ${maxFactsPerOwner} facts is reached`,
      );
    }
    const sequence = self.knownSequence + 1;
    this.put(self, {ownerId: selfId, key, value, sequence}, nowMs);
  }

  /**
   * Returns the value of a fact.
   *
   * @param ownerId - owner id
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
   * @param ownerId - owner id
   * @returns the facts, oldest first, without deleted ones
   */
  factsOf(ownerId: string): readonly Fact[] {
    const facts = this.owners.get(ownerId)?.facts.values() ?? [];
    return [...facts].filter(fact => fact.value !== '');
  }

  /**
   * Returns the digest of this store. It lists removed owners as well, so that
   * peers do not send their facts again.
   *
   * @returns greatest sequence held of each owner
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
   * @returns local sequences of the owners for which the peer is ahead, and end
   *     marks of the incarnations that the peer still lists
   */
  missingFrom(digest: Digest): Digest {
    const own = this.digest();
    const missing = new Map<number, number>();
    for (const [shortId, sequence] of digest) {
      const known = own.get(shortId) ?? 0;
      const isAhead = sequence > known && !isEndedSequence(sequence);
      const lacksEnd = sequence < known && isEndedSequence(known);
      if (isAhead || lacksEnd) {
        missing.set(shortId, known);
      }
    }
    return missing;
  }

  /**
   * Collects the facts that a peer lacks. The first owner rotates, so that a
   * full message does not always omit the same owners.
   *
   * @param digest - the peer's digest
   * @param listedOnly - true to omit owners that the digest does not list
   * @returns at most `maxFactsPerMessage` facts, oldest first for each owner
   */
  deltaFor(digest: Digest, listedOnly: boolean): readonly OwnerDelta[] {
    const unlisted = listedOnly ? Infinity : 0;
    const behind = [...this.owners].filter(
      ([, owner]) =>
        owner.knownSequence > (digest.get(owner.shortId) ?? unlisted),
    );
    const deltas: OwnerDelta[] = [];
    let remainingCount = this.options.maxFactsPerMessage;
    const first = this.firstOwnerIndex++;
    for (let i = 0; i < behind.length && remainingCount > 0; i++) {
      const entry = behind[(first + i) % behind.length];
      if (entry === undefined) {
        continue;
      }
      const [ownerId, owner] = entry;
      const afterSequence = digest.get(owner.shortId) ?? 0;
      const facts = factsAfter(owner, afterSequence, remainingCount);
      remainingCount -= facts.length;
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
   * Merges the facts of one owner. Rejects a delta that leaves a gap, since the
   * digest would hide the missing facts.
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
      // The marker of a deletion that this store has not received is already
      // collected; resynchronize the owner from scratch.
      this.deleteOwner(ownerId);
      return [];
    }
    if (afterSequence > owner.knownSequence) {
      return [];
    }
    const fresh = delta.facts
      .filter(fact => fact.sequence > owner.knownSequence)
      .map(fact => ({...fact, ownerId}));
    if (!this.hasCapacityFor(ownerId, owner, fresh)) {
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
   * Removes the facts of an owner and rejects them until a tombstone expires.
   * Newer facts remove the tombstone unless it is final.
   *
   * @param ownerId - id of the owner to remove
   * @param isFinal - true if this incarnation left or was replaced
   * @param nowMs - current instant in milliseconds
   */
  remove(ownerId: string, isFinal: boolean, nowMs: InstantMs): void {
    const sequence = this.owners.get(ownerId)?.knownSequence ?? 0;
    this.deleteOwner(ownerId);
    this.addTombstone(shortIdOf(ownerId), sequence, isFinal, nowMs);
  }

  /**
   * Adopts the incarnations that a peer's digest marks as ended.
   *
   * @param digest - the peer's digest
   * @param includesUnknown - true to reject also owners that are unknown here
   * @param nowMs - current instant in milliseconds
   * @returns ids of the owners that were known and are now removed
   */
  adoptEnded(
    digest: Digest,
    includesUnknown: boolean,
    nowMs: InstantMs,
  ): readonly string[] {
    const ended = new Set<number>();
    for (const [shortId, sequence] of digest) {
      if (isEndedSequence(sequence)) {
        ended.add(shortId);
      }
    }
    const known = [...this.owners]
      .filter(([ownerId]) => ownerId !== this.options.selfId)
      .filter(([, owner]) => ended.delete(owner.shortId))
      .map(([ownerId]) => ownerId);
    known.forEach(ownerId => this.remove(ownerId, true, nowMs));
    ended.delete(shortIdOf(this.options.selfId));
    for (const shortId of includesUnknown ? ended : []) {
      if (this.tombstones.get(shortId)?.isFinal !== true) {
        this.addTombstone(shortId, 0, true, nowMs);
      }
    }
    return known;
  }

  /**
   * Removes expired tombstones and deletion markers.
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

  /** Returns the number of facts, tombstones and deletion markers held. */
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

  private deleteOwner(ownerId: string): void {
    this.owners.delete(ownerId);
    this.ownerIds.delete(shortIdOf(ownerId));
  }

  private addTombstone(
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

  private hasCapacityFor(
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

function isEndedSequence(sequence: number): boolean {
  return sequence === ENDED_SEQUENCE;
}

function newOwner(ownerId: string): OwnerFacts {
  const shortId = shortIdOf(ownerId);
  return {shortId, facts: new Map(), knownSequence: 0, collectedSequence: 0};
}

/**
 * Hashes an owner id for digests. Two owners with the same short id would hide
 * each other's facts; with 52 bits the probability of a collision is about 1 in
 * 10^12 for 64 owners.
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
