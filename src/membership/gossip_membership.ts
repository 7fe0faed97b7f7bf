/**
 * Membership by gossip.
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

/** Interval between two rounds of gossip. */
export const ROUND_MS = 250;

/** A replacement that starts declares older incarnations for this long. */
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
  /** Silence until a member is suspected, 2,000 by default. */
  readonly suspectAfterMs?: number;
  /** Silence until a member is dead, 5,000 by default. */
  readonly deadAfterMs?: number;
  /** Time from dead to removed, 60,000 by default. */
  readonly removeAfterMs?: number;
  /** Time for which a removed owner's old facts are refused, 600,000. */
  readonly tombstoneMs?: number;
  /**
   * Time for which deletions are kept, 90,000 by default. A VM that misses a
   * deletion for longer has removed the owner, or is told to start again.
   */
  readonly markerMs?: number;
  /** Facts in one message, 200 by default. */
  readonly maxFactsPerMessage?: number;
  /** Owners known at a time, 1,024 by default. */
  readonly maxOwners?: number;
  /** Facts that this VM may publish, 2,000 by default. */
  readonly maxFactsPerOwner?: number;
}

/**
 * Membership and facts of one VM, reconciled with one random peer a round.
 *
 * A replacement learns of its old incarnation from its first exchanges and
 * publishes that it replaces it. Boot ids are random and have no order, so
 * only this declaration tells old from new.
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
  private ownState: AnnouncedState = 'starting';
  private heartbeat = 0;
  private nextHeartbeatMs: InstantMs;
  private nowMs: InstantMs;
  private replacedById: string | undefined;
  private readyCache: readonly string[] | undefined;

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
    this.publish(STATE_KEY, JSON.stringify(this.ownState));
  }

  /**
   * Tells whether a newer incarnation with this VM's id or address runs. Such
   * a VM must stop taking requests.
   *
   * @returns owner id of the newer incarnation, or undefined
   */
  get replacedBy(): string | undefined {
    return this.replacedById;
  }

  /**
   * Publishes or replaces a fact.
   *
   * @param key - fact key
   * @param value - JSON text; empty to delete
   * @throws FactLimitError if too many facts of this VM are kept
   */
  override publish(key: string, value: string): void {
    this.store.publish(key, value, this.nowMs);
  }

  override factsByPrefix(prefix: string): readonly Fact[] {
    return this.liveOwnerIds().flatMap(ownerId =>
      this.store.factsOf(ownerId).filter(fact => fact.key.startsWith(prefix)),
    );
  }

  override setOwnState(state: AnnouncedState): void {
    if (this.ownState === 'leaving' || this.replacedById !== undefined) {
      return;
    }
    this.ownState = state;
    this.readyCache = undefined;
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
   * Collects facts that a peer lacks. Adopts the incarnations that the peer
   * marks as ended, if they are known here or if this VM has just started.
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
      this.interpret(facts, nowMs);
    }
    if (this.table.hasChanges()) {
      this.readyCache = undefined;
    }
    return fresh;
  }

  /**
   * Raises the heartbeat once a round and advances the failure detector. May
   * be called more often than once a round.
   *
   * @param nowMs - current instant in milliseconds
   * @returns all changes since the last call, those of merges included
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
      this.readyCache = undefined;
    }
    return changes;
  }

  override onPause(nowMs: InstantMs): void {
    this.nowMs = nowMs;
    this.table.restartTimers(nowMs);
  }

  override members(): readonly Member[] {
    const state = this.replacedById === undefined ? this.ownState : 'dead';
    const own: Member = {
      incarnation: this.self,
      state,
      lastHeardMs: this.nowMs,
    };
    return [own, ...this.table.members()];
  }

  override readyVmIds(): readonly string[] {
    this.readyCache ??= this.computeReadyVmIds();
    return this.readyCache;
  }

  /** Number of facts and markers held, for metrics. */
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

  /** Applies new facts of one owner to the table of members. */
  private interpret(facts: readonly Fact[], nowMs: InstantMs): void {
    const ownerId = facts[0]?.ownerId ?? '';
    const incarnation = this.incarnationOf(ownerId);
    if (incarnation === undefined) {
      return;
    }
    if (facts.some(isSignOfLife)) {
      const announced = this.announcedBy(ownerId);
      const heartbeat = this.heartbeatOf(ownerId);
      this.table.observe({incarnation, announced, heartbeat}, nowMs);
      this.declareReplaced(incarnation, nowMs);
    }
    for (const {key, value} of facts) {
      if (key.startsWith(REPLACED_PREFIX) && value !== '') {
        const replacedId = key.slice(REPLACED_PREFIX.length);
        this.believeReplaced(incarnation, replacedId, nowMs);
      }
    }
  }

  /** Declares an older incarnation of this VM, found while starting. */
  private declareReplaced(other: Incarnation, nowMs: InstantMs): void {
    const isJoining =
      this.ownState === 'starting' || nowMs - this.startMs < REPLACE_WINDOW_MS;
    const otherId = ownerIdOf(other);
    const declared = this.store.valueOf(otherId, REPLACED_PREFIX + this.selfId);
    if (isJoining && isSameVm(other, this.self) && declared === undefined) {
      this.publish(REPLACED_PREFIX + otherId, '1');
      this.endIncarnation(otherId, nowMs);
    }
  }

  private believeReplaced(
    newer: Incarnation,
    replacedId: string,
    nowMs: InstantMs,
  ): void {
    if (replacedId === this.selfId && isSameVm(newer, this.self)) {
      this.replacedById = ownerIdOf(newer);
      this.readyCache = undefined;
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

  private announcedBy(ownerId: string): AnnouncedState {
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
