/**
 * Gossip membership of one VM.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {ContactList, type PeerAddress} from './contact_list.js';
import {FactStore} from './fact_store.js';
import {MemberTable, ownerIdOf} from './member_table.js';
import {
  Membership,
  type Digest,
  type Fact,
  type Incarnation,
  type Member,
  type MembershipChange,
  type OwnerDelta,
} from './types.js';
import type {AnnouncedState} from './vm_chart.js';

/** Interval between two gossip rounds. */
export const ROUND_MS = 250;

/** Time after the start for which a VM declares older incarnations replaced. */
const REPLACE_WINDOW_MS = 10_000;

const ADDRESS_KEY = 'address';
const STATE_KEY = 'state';
const HEARTBEAT_KEY = 'heartbeat';
const REPLACED_PREFIX = 'replaced/';

/** Options of {@link GossipMembership}; times in milliseconds. */
export interface GossipMembershipOptions {
  readonly self: Incarnation;
  readonly startMs: InstantMs;
  /** Interval between two heartbeats, 250 by default. */
  readonly roundMs?: number;
  /** Time without a sign of life until suspect, 2,000 by default. */
  readonly suspectAfterMs?: number;
  /** Time without a sign of life until dead, 5,000 by default. */
  readonly deadAfterMs?: number;
  /** Time from dead to removed, 60,000 by default. */
  readonly removeAfterMs?: number;
  /** Time for which old facts of a removed owner are rejected, 600,000. */
  readonly tombstoneMs?: number;
  /**
   * Time for which deletion markers are kept, 90,000 by default. A VM that
   * misses a deletion for longer has removed the owner, or resynchronizes it
   * from scratch.
   */
  readonly markerMs?: number;
  /** Maximum number of facts in one message, 200 by default. */
  readonly maxFactsPerMessage?: number;
  /** Maximum number of owners at a time, 1,024 by default. */
  readonly maxOwners?: number;
  /** Maximum number of facts that this VM publishes, 2,000 by default. */
  readonly maxFactsPerOwner?: number;
}

/**
 * Maintains the membership and facts of one VM, reconciled with one random peer
 * per round.
 *
 * A replacement discovers its old incarnation in its first exchanges and
 * publishes that it replaces it. Boot ids are random and have no order, so this
 * declaration alone distinguishes the old incarnation from the new one.
 *
 * @example
 * ```ts
 * const membership = new GossipMembership({self, startMs: clock.nowMs()});
 * membership.addContacts(seeds);
 * ```
 */
export class GossipMembership extends Membership {
  override readonly self: Incarnation;
  private readonly selfId: string;
  private readonly roundMs: number;
  private readonly startMs: InstantMs;
  private readonly store: FactStore;
  private readonly table: MemberTable;
  private readonly contacts: ContactList;
  private announcedState: AnnouncedState = 'starting';
  private heartbeat = 0;
  private nextHeartbeatMs: InstantMs;
  private nowMs: InstantMs;
  private replacedById: string | undefined;
  private readyVmIdsCache: readonly string[] | undefined;

  /** @param options - see {@link GossipMembershipOptions} */
  constructor(options: GossipMembershipOptions) {
    super();
    const {self, startMs} = options;
    this.self = self;
    this.selfId = ownerIdOf(self);
    this.startMs = startMs;
    this.nowMs = startMs;
    this.nextHeartbeatMs = startMs;
    this.roundMs = options.roundMs ?? ROUND_MS;
    this.store = new FactStore({
      selfId: this.selfId,
      maxFactsPerMessage: options.maxFactsPerMessage ?? 200,
      tombstoneMs: options.tombstoneMs ?? 600_000,
      markerMs: options.markerMs ?? 90_000,
      maxOwners: options.maxOwners ?? 1_024,
      maxFactsPerOwner: options.maxFactsPerOwner ?? 2_000,
    });
    this.table = new MemberTable({
      suspectAfterMs: options.suspectAfterMs ?? 2_000,
      deadAfterMs: options.deadAfterMs ?? 5_000,
      removeAfterMs: options.removeAfterMs ?? 60_000,
    });
    this.contacts = new ContactList(self);
    const {host, port} = self;
    this.publish(ADDRESS_KEY, JSON.stringify({host, port}));
    this.publish(STATE_KEY, JSON.stringify(this.announcedState));
  }

  /**
   * Returns the newer incarnation with this VM's id or address, if one runs. A
   * replaced VM must stop accepting requests.
   *
   * @returns owner id of the newer incarnation; undefined if there is none
   */
  get replacedBy(): string | undefined {
    return this.replacedById;
  }

  /**
   * Publishes or replaces a fact.
   *
   * @param key - fact key
   * @param value - JSON text; empty to delete
   * @throws FactLimitError if the limit of facts per owner is reached
   */
  override publish(key: string, value: string): void {
    this.store.publish(key, value, this.nowMs);
  }

  override factsByPrefix(prefix: string): readonly Fact[] {
    return this.liveOwnerIds().flatMap(ownerId =>
      this.store.factsOf(ownerId).filter(fact => fact.key.startsWith(prefix)),
    );
  }

  override setState(state: AnnouncedState): void {
    if (this.announcedState === 'leaving' || this.replacedById !== undefined) {
      return;
    }
    this.announcedState = state;
    this.readyVmIdsCache = undefined;
    this.publish(STATE_KEY, JSON.stringify(state));
  }

  override addContacts(contacts: readonly PeerAddress[]): void {
    this.contacts.add(contacts);
  }

  override nextPeer(random: RandomSource): PeerAddress | undefined {
    return this.contacts.choose(this.table.members(), random);
  }

  override digest(): Digest {
    return this.store.digest();
  }

  override missingFrom(digest: Digest): Digest {
    return this.store.missingFrom(digest);
  }

  /**
   * Collects the facts that a peer lacks. Also removes the incarnations that
   * the peer marks as ended, if they are known here or this VM just started.
   *
   * @param digest - the peer's digest, or its reply of `missingFrom`
   * @param options - `listedOnly`: true for a reply of `missingFrom`
   * @returns facts by owner, oldest first, bounded
   */
  override deltaFor(
    digest: Digest,
    options: {readonly listedOnly: boolean} = {listedOnly: false},
  ): readonly OwnerDelta[] {
    const isJoining = this.nowMs - this.startMs < REPLACE_WINDOW_MS;
    const ended = this.store.adoptEnded(digest, isJoining, this.nowMs);
    ended.forEach(ownerId => this.table.replace(ownerId, this.nowMs));
    return this.store.deltaFor(digest, options.listedOnly);
  }

  override merge(
    deltas: readonly OwnerDelta[],
    nowMs: InstantMs,
  ): readonly Fact[] {
    this.nowMs = nowMs;
    const fresh: Fact[] = [];
    for (const delta of deltas) {
      const facts = this.store.merge(delta, nowMs);
      fresh.push(...facts);
      this.applyFacts(facts, nowMs);
    }
    if (this.table.hasChanges()) {
      this.readyVmIdsCache = undefined;
    }
    return fresh;
  }

  /**
   * Increments the heartbeat once per round and advances the failure detector.
   * May be called more often than once per round.
   *
   * @param nowMs - current instant in milliseconds
   * @returns all changes since the previous call, those of merges included
   */
  override tick(nowMs: InstantMs): readonly MembershipChange[] {
    this.nowMs = nowMs;
    if (nowMs >= this.nextHeartbeatMs) {
      this.nextHeartbeatMs = nowMs + this.roundMs;
      this.heartbeat += 1;
      this.publish(HEARTBEAT_KEY, String(this.heartbeat));
      this.store.expire(nowMs);
    }
    for (const {ownerId, hasLeft} of this.table.advance(nowMs)) {
      this.store.remove(ownerId, hasLeft, nowMs);
    }
    const changes = this.table.takeChanges();
    if (changes.length > 0) {
      this.readyVmIdsCache = undefined;
    }
    return changes;
  }

  override onPause(nowMs: InstantMs): void {
    this.nowMs = nowMs;
    this.table.restartTimers(nowMs);
  }

  override members(): readonly Member[] {
    const state =
      this.replacedById === undefined ? this.announcedState : 'dead';
    const self: Member = {
      incarnation: this.self,
      state,
      lastHeardMs: this.nowMs,
    };
    return [self, ...this.table.members()];
  }

  override readyVmIds(): readonly string[] {
    this.readyVmIdsCache ??= this.computeReadyVmIds();
    return this.readyVmIdsCache;
  }

  /** Returns the number of facts, tombstones and markers held, for metrics. */
  factCount(): number {
    return this.store.size();
  }

  private computeReadyVmIds(): readonly string[] {
    const ready = this.members().filter(member => member.state === 'ready');
    const vmIds = ready.map(member => member.incarnation.vmId);
    return [...new Set(vmIds)].sort();
  }

  private liveOwnerIds(): readonly string[] {
    const live = this.members().filter(member => member.state !== 'dead');
    return live.map(member => ownerIdOf(member.incarnation));
  }

  /** Applies new facts of one owner to the member table. */
  private applyFacts(facts: readonly Fact[], nowMs: InstantMs): void {
    const ownerId = facts[0]?.ownerId ?? '';
    const incarnation = this.incarnationOf(ownerId);
    if (incarnation === undefined) {
      return;
    }
    if (facts.some(isSignOfLife)) {
      const announced = this.announcedStateOf(ownerId);
      const heartbeat = this.heartbeatOf(ownerId);
      this.table.observe({incarnation, announced, heartbeat}, nowMs);
      this.declareReplaced(incarnation, nowMs);
    }
    for (const {key, value} of facts) {
      if (key.startsWith(REPLACED_PREFIX) && value !== '') {
        const replacedId = key.slice(REPLACED_PREFIX.length);
        this.applyReplacement(incarnation, replacedId, nowMs);
      }
    }
  }

  /** Declares an older incarnation, found during startup, as replaced. */
  private declareReplaced(other: Incarnation, nowMs: InstantMs): void {
    const isJoining =
      this.announcedState === 'starting' ||
      nowMs - this.startMs < REPLACE_WINDOW_MS;
    const otherId = ownerIdOf(other);
    const declared = this.store.valueOf(otherId, REPLACED_PREFIX + this.selfId);
    if (isJoining && isSameVm(other, this.self) && declared === undefined) {
      this.publish(REPLACED_PREFIX + otherId, '1');
      this.endIncarnation(otherId, nowMs);
    }
  }

  private applyReplacement(
    newer: Incarnation,
    replacedId: string,
    nowMs: InstantMs,
  ): void {
    if (replacedId === this.selfId && isSameVm(newer, this.self)) {
      this.replacedById = ownerIdOf(newer);
      this.readyVmIdsCache = undefined;
      return;
    }
    const older = this.incarnationOf(replacedId);
    const mayReplace = older === undefined || isSameVm(newer, older);
    if (mayReplace && replacedId !== this.selfId) {
      this.endIncarnation(replacedId, nowMs);
    }
  }

  private endIncarnation(ownerId: string, nowMs: InstantMs): void {
    this.table.replace(ownerId, nowMs);
    this.store.remove(ownerId, true, nowMs);
  }

  private announcedStateOf(ownerId: string): AnnouncedState {
    const state = parseJson(this.store.valueOf(ownerId, STATE_KEY));
    return state === 'ready' || state === 'leaving' ? state : 'starting';
  }

  private heartbeatOf(ownerId: string): number | undefined {
    const heartbeat = parseJson(this.store.valueOf(ownerId, HEARTBEAT_KEY));
    return typeof heartbeat === 'number' ? heartbeat : undefined;
  }

  private incarnationOf(ownerId: string): Incarnation | undefined {
    const address = parseJson(this.store.valueOf(ownerId, ADDRESS_KEY));
    const slash = ownerId.lastIndexOf('/');
    if (slash <= 0 || !isAddress(address)) {
      return undefined;
    }
    const vmId = ownerId.slice(0, slash);
    const bootId = ownerId.slice(slash + 1);
    return {vmId, bootId, host: address.host, port: address.port};
  }
}

function isSignOfLife(fact: Fact): boolean {
  return fact.key === HEARTBEAT_KEY || fact.key === STATE_KEY;
}

function isSameVm(a: Incarnation, b: Incarnation): boolean {
  const isSameAddress = a.host === b.host && a.port === b.port;
  return a.bootId !== b.bootId && (a.vmId === b.vmId || isSameAddress);
}

function isAddress(value: unknown): value is PeerAddress {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const {host, port} = value as Partial<Record<string, unknown>>;
  return typeof host === 'string' && Number.isInteger(port);
}

function parseJson(text: string | undefined): unknown {
  try {
    return text === undefined ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}
