/**
 * Fleet protocol of one VM: membership, store readers and propagation of
 * published changes.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {
  comparePositions,
  type PublishedDelta,
  type StorePosition,
} from '../registry/index.js';
import {assignRoles, type FleetRoles} from './fleet_roles.js';
import {FleetSizeEstimator} from './fleet_size.js';
import {MemberDirectory, type RankedMember} from './member_directory.js';
import {drawRelayCandidates, toReported} from './member_lists.js';
import {Reconciliation} from './reconciliation.js';
import {StoreReadPolicy} from './store_read_policy.js';
import type {
  Heartbeat,
  Changes,
  Dispatch,
  FleetMessage,
  KnownPosition,
  Member,
  MemberIdentity,
  MemberState,
  ReportedMember,
} from './types.js';

/** Interval of heartbeats from a member to the heads of its failure domain. */
const MEMBER_HEARTBEAT_MS = 400;

/** Interval of heartbeats from a head to the members of its failure domain. */
const HEAD_HEARTBEAT_MS = 300;

/** Interval of heartbeats from a head to the heads of other failure domains. */
const CROSS_DOMAIN_HEARTBEAT_MS = 500;

/** Interval of heartbeats to the seeds until a domain member is known. */
const SEED_HEARTBEAT_MS = 150;

/** Interval of heartbeats to the seeds later on; rejoins healed partitions. */
const SEED_REFRESH_MS = 3_000;

/**
 * Maximum number of members that a head lists to its members, highest rank
 * first. These are the next heads; more would make the message grow with the
 * failure domain.
 */
const MAX_LISTED_MEMBERS = 12;

/** Time for which the size of the domain that a head reports is used. */
const REPORTED_SIZE_TTL_MS = 1_500;

/** Maximum number of members listed to newcomers and to other heads. */
const MAX_LISTED_HEADS = 3;

/** Interval at which roles are derived again. */
const ROLE_INTERVAL_MS = 100;

/**
 * Time after the start for which a VM without published state leaves reading to
 * the seeds. When all VMs start at once, only the seeds read; a round trip to a
 * seed takes a few milliseconds.
 */
const JOIN_GRACE_MS = 400;

/** Assumed transit time of a datagram. */
const ASSUMED_TRANSIT_MS = 1;

/** Options of {@link FleetNode}. */
export interface FleetNodeOptions {
  readonly identity: MemberIdentity;
  readonly random: RandomSource;
  readonly startMs: InstantMs;
}

/** Contents of a received message for the daemon to apply. */
export interface ReceivedUpdate {
  /** Changes to offer to the published state. */
  readonly delta: PublishedDelta | undefined;
  /** True if the sender has a newer position, so changes should be fetched. */
  readonly isSenderAhead: boolean;
  /**
   * True if the sender may know something else at the same position, so its
   * complete state should be fetched.
   */
  readonly isSenderDifferent: boolean;
}

/**
 * Runs the fleet protocol of one VM. Members send heartbeats to the two heads
 * of their failure domain; heads send heartbeats to their members and to the
 * heads of the other failure domains. The message rate of a member is therefore
 * independent of the fleet size, and that of a head grows with its domain.
 */
export class FleetNode {
  private readonly directory: MemberDirectory;
  private readonly size = new FleetSizeEstimator();
  private readonly readPolicy: StoreReadPolicy;
  private readonly jitterShare: number;
  private seedHosts: readonly string[] = [];
  private isSeed = true;
  private state: MemberState = 'starting';
  private readFailing = false;
  private reachesTargets = true;
  private ownPosition: StorePosition = {era: 0, revision: 0};
  private digest = '';
  private readonly reconciliation = new Reconciliation();
  private quarantineDigest = 0;
  private confirmedMs: InstantMs = -Infinity;
  private peerConfirmedMs: InstantMs = -Infinity;
  private currentRoles: FleetRoles;
  private nextRolesMs: InstantMs = 0;
  private nextMemberHeartbeatMs: InstantMs = 0;
  private nextHeadHeartbeatMs: InstantMs = 0;
  private nextCrossHeartbeatMs: InstantMs = 0;
  private nextSeedHeartbeatMs: InstantMs = 0;
  private reportedDomainSize = 0;
  private reportedDomainSizeUntilMs: InstantMs = -Infinity;

  /** @param options - identity, random source and instant of the start */
  constructor(private readonly options: FleetNodeOptions) {
    this.directory = new MemberDirectory(options.identity);
    this.readPolicy = new StoreReadPolicy(options.startMs);
    this.jitterShare = options.random.nextFloat();
    this.currentRoles = this.deriveRoles(options.startMs);
  }

  /** Role assignment as last derived. */
  get roles(): FleetRoles {
    return this.currentRoles;
  }

  /** True if this VM is a head of its failure domain. */
  get isHead(): boolean {
    return this.currentRoles.localHeads.includes(this.options.identity.host);
  }

  /** True if this VM is the acting head of its failure domain. */
  get isActingHead(): boolean {
    return this.currentRoles.localHeads[0] === this.options.identity.host;
  }

  /** True if this VM is one of the readers. */
  get isReader(): boolean {
    return this.currentRoles.readers.includes(this.options.identity.host);
  }

  /**
   * Returns an upper bound of the fleet size, its greatest recent value.
   *
   * @param nowMs - current instant in milliseconds
   * @returns number of VMs, this one included
   */
  fleetSize(nowMs: InstantMs): number {
    return this.size.upperBound(nowMs);
  }

  /**
   * Lists the other members that count as alive.
   *
   * @param nowMs - current instant in milliseconds
   * @returns members in no particular order
   */
  members(nowMs: InstantMs): readonly Member[] {
    return this.directory.alive(nowMs);
  }

  /**
   * Lists the other members that can carry requests for this VM.
   *
   * @param nowMs - current instant in milliseconds
   * @returns ready members that reach targets
   */
  relayCandidates(nowMs: InstantMs): readonly Member[] {
    return this.directory
      .alive(nowMs)
      .filter(({state, reachesTargets}) => state === 'ready' && reachesTargets);
  }

  /**
   * Returns whether another member of the failure domain reaches no target.
   *
   * @param nowMs - current instant in milliseconds
   */
  hasCutOffPeer(nowMs: InstantMs): boolean {
    return this.directory
      .alive(nowMs, this.options.identity.failureDomain)
      .some(({reachesTargets}) => !reachesTargets);
  }

  /**
   * Returns whether this VM observes the targets of its failure domain in place
   * of the heads, because none of them reaches targets.
   *
   * @param nowMs - current instant in milliseconds
   */
  isSubstituteObserver(nowMs: InstantMs): boolean {
    const {identity} = this.options;
    if (!this.reachesTargets || this.state !== 'ready' || this.isHead) {
      return false;
    }
    const local = this.directory.alive(nowMs, identity.failureDomain);
    const {localHeads} = this.currentRoles;
    const cutOffHosts = new Set(
      local.filter(({reachesTargets}) => !reachesTargets).map(({host}) => host),
    );
    if (!localHeads.every(host => cutOffHosts.has(host))) {
      return false;
    }
    const able = local.filter(
      ({state, reachesTargets}) => state === 'ready' && reachesTargets,
    );
    const self = {...identity, state: this.state};
    const [first] = this.directory.rank<RankedMember>([...able, self]);
    return first?.host === identity.host;
  }

  /** Replaces the seed addresses. */
  setSeeds(hosts: readonly string[]): void {
    const selfHost = this.options.identity.host;
    this.seedHosts = hosts.filter(host => host !== selfHost);
    this.isSeed = this.seedHosts.length === 0 || hosts.includes(selfHost);
  }

  /** Sets the lifecycle state that this VM announces. */
  setState(state: MemberState): void {
    this.state = state;
    this.nextRolesMs = 0;
  }

  /** Sets whether this VM fails to read the store. */
  setReadFailing(isFailing: boolean): void {
    this.readFailing = isFailing;
  }

  /**
   * Sets whether this VM reaches any target.
   *
   * @param reachesTargets - false while it is cut off from all of them
   */
  setReachesTargets(reachesTargets: boolean): void {
    this.reachesTargets = reachesTargets;
    this.nextHeadHeartbeatMs = 0;
  }

  /**
   * Sets position and digest of this VM's published state. A new era is told to
   * peers without waiting for the next heartbeat.
   *
   * @param position - position of the state
   * @param digest - digest of routes and targets in force
   */
  setPosition(position: StorePosition, digest: string): void {
    const {era, revision} = this.ownPosition;
    if (revision > 0 && position.era > era) {
      this.nextMemberHeartbeatMs = 0;
      this.nextHeadHeartbeatMs = 0;
      this.nextCrossHeartbeatMs = 0;
    }
    this.ownPosition = {era: position.era, revision: position.revision};
    this.digest = digest;
  }

  /**
   * Asks for what a peer of the same position knows beyond the store, because
   * this VM may have missed changes that a restored store has lost.
   */
  requestReconciliation(): void {
    this.reconciliation.request();
  }

  /**
   * Records the result of a fetch from a peer that may know something else.
   *
   * @param isChanged - true if the fetch changed this VM's state
   */
  onReconciled(isChanged: boolean): void {
    this.reconciliation.complete(isChanged);
  }

  /** Sets the digest of the requests that this VM quarantines. */
  setQuarantineDigest(digest: number): void {
    this.quarantineDigest = digest;
  }

  /**
   * Records a confirmation of the position by the store itself.
   *
   * @param confirmedMs - instant at which the confirming call was sent
   */
  onConfirmed(confirmedMs: InstantMs): void {
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Drops all confirmations, for example after a pause of the VM. */
  resetConfirmations(): void {
    this.confirmedMs = -Infinity;
    this.peerConfirmedMs = -Infinity;
  }

  /**
   * Returns the age of the newest confirmation from any source.
   *
   * @param nowMs - current instant in milliseconds
   * @returns milliseconds; infinite if there was none
   */
  confirmationAgeMs(nowMs: InstantMs): number {
    return nowMs - this.confirmedMs;
  }

  /**
   * Decides whether this VM reads the store now.
   *
   * @param nowMs - current instant in milliseconds
   * @returns true if this VM reads
   */
  shouldRead(nowMs: InstantMs): boolean {
    const isJoining =
      !this.isSeed &&
      this.ownPosition.revision === 0 &&
      nowMs - this.options.startMs < JOIN_GRACE_MS;
    const inputs = {
      isReader: this.isReader && !isJoining,
      peerConfirmedMs: this.peerConfirmedMs,
      jitterShare: this.jitterShare,
    };
    return this.readPolicy.decide(inputs, nowMs);
  }

  /**
   * Advances time and collects the heartbeats that are due.
   *
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onTick(nowMs: InstantMs): readonly Dispatch[] {
    if (nowMs >= this.nextRolesMs) {
      this.nextRolesMs = nowMs + ROLE_INTERVAL_MS;
      this.directory.prune(nowMs);
      this.currentRoles = this.deriveRoles(nowMs);
      this.recordLocalDomainSize(nowMs);
    }
    const outbound: Dispatch[] = [];
    this.sendToSeeds(outbound, nowMs);
    if (this.isHead) {
      this.sendAsHead(outbound, nowMs);
    } else if (nowMs >= this.nextMemberHeartbeatMs) {
      this.nextMemberHeartbeatMs = nowMs + MEMBER_HEARTBEAT_MS;
      this.enqueue(
        outbound,
        this.currentRoles.localHeads,
        this.heartbeat([], nowMs),
      );
    }
    return outbound;
  }

  /**
   * Sends this VM's state to all heads without waiting for the next heartbeat.
   *
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  announce(nowMs: InstantMs): readonly Dispatch[] {
    const hosts = [...this.currentRoles.localHeads, ...this.otherHeadHosts()];
    const outbound: Dispatch[] = [];
    this.enqueue(outbound, hosts, this.heartbeat([], nowMs));
    return outbound;
  }

  /**
   * Forwards changes that advanced this VM's published state.
   *
   * @param delta - applied changes
   * @param options - `isFromStore`: true if this VM read them from the store;
   *     `nowMs`: current instant in milliseconds
   * @returns messages to send
   */
  forwardChanges(
    delta: PublishedDelta,
    options: {readonly isFromStore: boolean; readonly nowMs: InstantMs},
  ): readonly Dispatch[] {
    const {isFromStore, nowMs} = options;
    const hosts: string[] = [];
    if (this.isHead) {
      hosts.push(...this.currentRoles.localPeers);
    } else if (isFromStore) {
      hosts.push(...this.currentRoles.localHeads);
    }
    if (isFromStore) {
      hosts.push(...this.otherHeadHosts());
    }
    const message: Changes = {
      type: 'changes',
      sender: this.reportSelf(),
      position: this.position(nowMs),
      delta,
    };
    const outbound: Dispatch[] = [];
    this.enqueue(outbound, hosts, message);
    return outbound;
  }

  /**
   * Handles a message of another VM.
   *
   * @param message - received message
   * @param nowMs - current instant in milliseconds
   * @returns changes contained in the message, and messages to send
   */
  onMessage(
    message: FleetMessage,
    nowMs: InstantMs,
  ): {
    readonly update: ReceivedUpdate;
    readonly dispatches: readonly Dispatch[];
  } {
    const dispatches: Dispatch[] = [];
    this.directory.observe(
      {...message.sender, ageMs: ASSUMED_TRANSIT_MS},
      nowMs,
    );
    let delta: PublishedDelta | undefined;
    let isSenderAhead = false;
    let isSenderDifferent = false;
    if (message.type === 'heartbeat') {
      this.onHeartbeat(message, dispatches, nowMs);
      const order = comparePositions(message.position, this.ownPosition);
      isSenderAhead = order > 0;
      isSenderDifferent =
        order === 0 && this.shouldReconcile(message.position, nowMs);
    } else if (message.type === 'changes') {
      ({delta} = message);
    }
    if (message.type === 'heartbeat' || message.type === 'changes') {
      this.recordPeerConfirmation(message.position, nowMs);
    }
    return {update: {delta, isSenderAhead, isSenderDifferent}, dispatches};
  }

  /**
   * Records a confirmation by a peer, if this VM has reached its position. A
   * confirmation of another era says nothing about the present one.
   *
   * @param position - position of a peer
   * @param nowMs - current instant in milliseconds
   */
  recordPeerConfirmation(position: KnownPosition, nowMs: InstantMs): void {
    const {era, revision} = this.ownPosition;
    if (
      revision === 0 ||
      position.era !== era ||
      position.revision > revision
    ) {
      return;
    }
    const confirmedMs = nowMs - position.ageMs - ASSUMED_TRANSIT_MS;
    this.peerConfirmedMs = Math.max(this.peerConfirmedMs, confirmedMs);
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Returns the position of this VM as sent to other VMs. */
  position(nowMs: InstantMs): KnownPosition {
    const ageMs = Math.min(nowMs - this.confirmedMs, Number.MAX_SAFE_INTEGER);
    const {digest} = this;
    return {...this.ownPosition, ageMs: Math.round(ageMs), digest};
  }

  /** Returns the member record of this VM as sent to other VMs. */
  reportSelf(): ReportedMember {
    const {state, readFailing, reachesTargets} = this;
    return {
      ...this.options.identity,
      state,
      isReadFailing: readFailing,
      reachesTargets,
      ageMs: 0,
    };
  }

  private shouldReconcile(position: KnownPosition, nowMs: InstantMs): boolean {
    const hasState = this.ownPosition.revision > 0 && position.digest !== '';
    const isDigestDifferent = position.digest !== this.digest;
    return hasState && this.reconciliation.tryBegin(isDigestDifferent, nowMs);
  }

  private onHeartbeat(
    heartbeat: Heartbeat,
    dispatches: Dispatch[],
    nowMs: InstantMs,
  ): void {
    for (const member of heartbeat.members) {
      this.directory.observe(member, nowMs);
    }
    const {failureDomain, host} = heartbeat.sender;
    const isLocalDomain = failureDomain === this.options.identity.failureDomain;
    this.size.recordFleetSize(heartbeat.fleetSize, nowMs);
    if (!isLocalDomain) {
      this.size.recordDomainSize(failureDomain, heartbeat.domainSize, nowMs);
    } else if (this.currentRoles.localHeads.includes(host)) {
      this.reportedDomainSize = heartbeat.domainSize;
      this.reportedDomainSizeUntilMs = nowMs + REPORTED_SIZE_TTL_MS;
    }
    if (heartbeat.domainSize === 0) {
      // The sender knows no member of its or of another domain: list heads.
      const ranked = this.directory.rank(
        this.directory.alive(nowMs, failureDomain),
      );
      const listed = [
        ...ranked.slice(0, MAX_LISTED_HEADS + 1),
        ...this.otherDomainHeads(nowMs),
      ].filter(member => member.host !== host);
      this.enqueue(
        dispatches,
        [host],
        this.heartbeat(toReported(listed, nowMs), nowMs),
      );
    }
  }

  private sendToSeeds(outbound: Dispatch[], nowMs: InstantMs): void {
    if (nowMs < this.nextSeedHeartbeatMs || this.seedHosts.length === 0) {
      return;
    }
    const hasPeers = this.currentRoles.localPeers.length > 0;
    this.nextSeedHeartbeatMs =
      nowMs + (hasPeers ? SEED_REFRESH_MS : SEED_HEARTBEAT_MS);
    const heartbeat = this.heartbeat([], nowMs);
    // The heads of a few VMs that know only each other take these for their whole
    // domain, so they ask for heads like a VM that knows nobody. Only heads ask:
    // in a fleet of one failure domain nobody knows another one.
    const isIsolated = this.isHead && this.currentRoles.otherHeads.length === 0;
    this.enqueue(
      outbound,
      this.seedHosts,
      isIsolated ? {...heartbeat, domainSize: 0} : heartbeat,
    );
  }

  private sendAsHead(outbound: Dispatch[], nowMs: InstantMs): void {
    if (nowMs >= this.nextHeadHeartbeatMs) {
      this.nextHeadHeartbeatMs = nowMs + HEAD_HEARTBEAT_MS;
      const localDomain = this.options.identity.failureDomain;
      const ranked = this.directory.rank(
        this.directory.alive(nowMs, localDomain),
      );
      const members = [
        ...ranked.slice(0, MAX_LISTED_MEMBERS),
        ...this.otherDomainHeads(nowMs),
        ...this.drawRelayCandidates(nowMs),
      ];
      const listed = toReported(members, nowMs);
      this.enqueue(
        outbound,
        this.currentRoles.localPeers,
        this.heartbeat(listed, nowMs),
      );
    }
    if (nowMs >= this.nextCrossHeartbeatMs) {
      this.nextCrossHeartbeatMs = nowMs + CROSS_DOMAIN_HEARTBEAT_MS;
      const localDomain = this.options.identity.failureDomain;
      const ranked = this.directory.rank(
        this.directory.alive(nowMs, localDomain),
      );
      const members = [
        ...ranked.slice(0, MAX_LISTED_HEADS),
        ...this.drawRelayCandidates(nowMs, localDomain),
      ];
      const listed = toReported(members, nowMs);
      const hosts = this.otherHeadHosts();
      this.enqueue(outbound, hosts, this.heartbeat(listed, nowMs));
    }
  }

  /** Draws members that reach targets; none unless some VM does not. */
  private drawRelayCandidates(
    nowMs: InstantMs,
    failureDomain?: string,
  ): readonly Member[] {
    const all = this.directory.alive(nowMs);
    return this.reachesTargets && all.every(each => each.reachesTargets)
      ? []
      : drawRelayCandidates(all, this.options.random, failureDomain);
  }

  private otherDomainHeads(nowMs: InstantMs): readonly Member[] {
    const hosts = new Set(this.otherHeadHosts());
    return this.directory.alive(nowMs).filter(({host}) => hosts.has(host));
  }

  private otherHeadHosts(): readonly string[] {
    return this.currentRoles.otherHeads.flatMap(({hosts}) => hosts);
  }

  private heartbeat(
    members: readonly ReportedMember[],
    nowMs: InstantMs,
  ): Heartbeat {
    const others = this.currentRoles.localPeers.length;
    return {
      type: 'heartbeat',
      sender: this.reportSelf(),
      position: this.position(nowMs),
      members,
      domainSize: others === 0 ? 0 : others + 1,
      fleetSize: this.isHead ? this.size.current(nowMs) : 0,
      quarantineDigest: this.quarantineDigest,
    };
  }

  private recordLocalDomainSize(nowMs: InstantMs): void {
    const localDomain = this.options.identity.failureDomain;
    const knownSize = this.currentRoles.localPeers.length + 1;
    // A member knows only the heads and their successors.
    const isReportUsed = !this.isHead && nowMs < this.reportedDomainSizeUntilMs;
    const size = isReportUsed
      ? Math.max(knownSize, this.reportedDomainSize)
      : knownSize;
    this.size.recordDomainSize(localDomain, size, nowMs);
  }

  private deriveRoles(nowMs: InstantMs): FleetRoles {
    const status = {
      identity: this.options.identity,
      state: this.state,
      isReadFailing: this.readFailing,
      reachesTargets: this.reachesTargets,
    };
    return assignRoles(this.directory, status, nowMs);
  }

  private enqueue(
    outbound: Dispatch[],
    hosts: readonly string[],
    message: FleetMessage,
  ): void {
    const selfHost = this.options.identity.host;
    const others = [...new Set(hosts)].filter(host => host !== selfHost);
    if (others.length > 0) {
      outbound.push({hosts: others, message});
    }
  }
}
