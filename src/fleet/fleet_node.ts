/**
 * One VM's part in the fleet: who is there, who reads the store, and how
 * changes reach everyone.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {PublishedDelta, Revision} from '../registry/index.js';
import {FleetSize} from './fleet_size.js';
import {deriveHeads, type HeadView} from './head_view.js';
import {MemberDirectory} from './member_directory.js';
import {ReadingDuty} from './reading_duty.js';
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
const CROSS_HEARTBEAT_MS = 500;

/** Interval of heartbeats to the seeds until heads are known. */
const SEED_HEARTBEAT_MS = 150;

/** Interval of heartbeats to the seeds afterwards; joins parts that were apart. */
const SEED_REFRESH_MS = 3_000;

/** Members named in one heartbeat at most; keeps datagrams small. */
const MAX_NAMED_MEMBERS = 60;

/** Members of another failure domain named to its heads and newcomers. */
const NAMED_HEADS = 3;

/** Age of a member at which a head no longer names it. */
const NAMED_MAX_AGE_MS = 1_500;

/** Interval at which duties are derived anew. */
const VIEW_INTERVAL_MS = 100;

/**
 * Time after the start for which a VM that knows nobody leaves reading to the
 * seeds. When all VMs start at once, only the seeds read; a round trip to a
 * seed takes a few milliseconds.
 */
const JOIN_MS = 400;

/** Time that a datagram is assumed to take. */
const HOP_MS = 1;

/** Options of {@link FleetNode}. */
export interface FleetNodeOptions {
  readonly identity: MemberIdentity;
  readonly random: RandomSource;
  readonly startMs: InstantMs;
}

/** What a message asks of the VM beyond its tables. */
export interface ReceivedNews {
  /** Changes to offer to the published state. */
  readonly delta: PublishedDelta | undefined;
  /** The sender knows more than this VM: its changes should be fetched. */
  readonly isSenderAhead: boolean;
}

/**
 * Members send heartbeats to the two heads of their failure domain; heads tell their
 * members and the heads of the other failure domains. So the messages of a
 * member do not grow with the fleet, and those of a head grow with its domain.
 */
export class FleetNode {
  private readonly directory: MemberDirectory;
  private readonly size = new FleetSize();
  private readonly duty: ReadingDuty;
  private readonly spread: number;
  private seedHosts: readonly string[] = [];
  private isSeed = true;
  private state: MemberState = 'starting';
  private readFailing = false;
  private ownRevision: Revision = 0;
  private confirmedMs: InstantMs = -Infinity;
  private peerConfirmedMs: InstantMs = -Infinity;
  private view: HeadView;
  private nextViewMs: InstantMs = 0;
  private nextMemberHeartbeatMs: InstantMs = 0;
  private nextHeadHeartbeatMs: InstantMs = 0;
  private nextCrossHeartbeatMs: InstantMs = 0;
  private nextSeedHeartbeatMs: InstantMs = 0;

  /** @param options - identity, random source and instant of the start */
  constructor(private readonly options: FleetNodeOptions) {
    this.directory = new MemberDirectory(options.identity);
    this.duty = new ReadingDuty(options.startMs);
    this.spread = options.random.nextFloat();
    this.view = this.deriveView(options.startMs);
  }

  /** Duties as last derived. */
  get heads(): HeadView {
    return this.view;
  }

  /** True if this VM is a head of its failure domain. */
  get isHead(): boolean {
    return this.view.ownHeads.includes(this.options.identity.host);
  }

  /** True if this VM is the acting head of its failure domain. */
  get isActingHead(): boolean {
    return this.view.ownHeads[0] === this.options.identity.host;
  }

  /** True if this VM is one of the readers. */
  get isReader(): boolean {
    return this.view.readers.includes(this.options.identity.host);
  }

  /**
   * Reads how many VMs may be alive; never less than lately.
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

  /** Replaces the addresses to start from. */
  setSeeds(hosts: readonly string[]): void {
    const own = this.options.identity.host;
    this.seedHosts = hosts.filter(host => host !== own);
    this.isSeed = this.seedHosts.length === 0 || hosts.includes(own);
  }

  /** Sets what others are told of this VM. */
  setState(state: MemberState): void {
    this.state = state;
    this.nextViewMs = 0;
  }

  /** Sets whether this VM fails to read the store. */
  setReadFailing(isFailing: boolean): void {
    this.readFailing = isFailing;
  }

  /** Sets the position of the published state. */
  setRevision(revision: Revision): void {
    this.ownRevision = revision;
  }

  /**
   * Notes that the store itself confirmed the position.
   *
   * @param confirmedMs - instant at which the confirming call was sent
   */
  onConfirmed(confirmedMs: InstantMs): void {
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Drops all confirmations, for example after the VM stood still. */
  distrustConfirmations(): void {
    this.confirmedMs = -Infinity;
    this.peerConfirmedMs = -Infinity;
  }

  /**
   * Reads the age of the newest confirmation from any source.
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
   * @returns true if it reads
   */
  shouldRead(nowMs: InstantMs): boolean {
    const isJoining =
      !this.isSeed &&
      this.ownRevision === 0 &&
      nowMs - this.options.startMs < JOIN_MS;
    const inputs = {
      isReader: this.isReader && !isJoining,
      peerConfirmedMs: this.peerConfirmedMs,
      spread: this.spread,
    };
    return this.duty.decide(inputs, nowMs);
  }

  /**
   * Advances time.
   *
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onTick(nowMs: InstantMs): readonly Dispatch[] {
    if (nowMs >= this.nextViewMs) {
      this.nextViewMs = nowMs + VIEW_INTERVAL_MS;
      this.directory.prune(nowMs);
      this.view = this.deriveView(nowMs);
      this.countFleet(nowMs);
    }
    const sent: Dispatch[] = [];
    this.sendToSeeds(sent, nowMs);
    if (this.isHead) {
      this.sendAsHead(sent, nowMs);
    } else if (nowMs >= this.nextMemberHeartbeatMs) {
      this.nextMemberHeartbeatMs = nowMs + MEMBER_HEARTBEAT_MS;
      this.add(sent, this.view.ownHeads, this.heartbeat([], nowMs));
    }
    return sent;
  }

  /**
   * Tells the heads at once what this VM's state is.
   *
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  announce(nowMs: InstantMs): readonly Dispatch[] {
    const hosts = [...this.view.ownHeads, ...this.otherHeadHosts()];
    const sent: Dispatch[] = [];
    this.add(sent, hosts, this.heartbeat([], nowMs));
    return sent;
  }

  /**
   * Passes on changes by which the own state moved on.
   *
   * @param delta - the changes
   * @param options - `isOwnRead`: this VM read them from the store;
   *     `nowMs`: current instant in milliseconds
   * @returns messages to send
   */
  passOn(
    delta: PublishedDelta,
    options: {readonly isOwnRead: boolean; readonly nowMs: InstantMs},
  ): readonly Dispatch[] {
    const {isOwnRead, nowMs} = options;
    const hosts: string[] = [];
    if (this.isHead) {
      hosts.push(...this.view.ownDomainHosts);
    } else if (isOwnRead) {
      hosts.push(...this.view.ownHeads);
    }
    if (isOwnRead) {
      hosts.push(...this.otherHeadHosts());
    }
    const message: Changes = {
      type: 'changes',
      sender: this.reportSelf(),
      position: this.position(nowMs),
      delta,
    };
    const sent: Dispatch[] = [];
    this.add(sent, hosts, message);
    return sent;
  }

  /**
   * Takes in a message.
   *
   * @param message - message of another VM
   * @param nowMs - current instant in milliseconds
   * @returns changes in it, and messages to send
   */
  onMessage(
    message: FleetMessage,
    nowMs: InstantMs,
  ): {readonly news: ReceivedNews; readonly dispatches: readonly Dispatch[]} {
    const dispatches: Dispatch[] = [];
    this.directory.observe({...message.sender, ageMs: HOP_MS}, nowMs);
    let delta: PublishedDelta | undefined;
    let isSenderAhead = false;
    if (message.type === 'heartbeat') {
      this.onHeartbeat(message, dispatches, nowMs);
      isSenderAhead = message.position.revision > this.ownRevision;
    } else if (message.type === 'changes') {
      ({delta} = message);
    }
    if (message.type === 'heartbeat' || message.type === 'changes') {
      this.takeConfirmation(message.position, nowMs);
    }
    return {news: {delta, isSenderAhead}, dispatches};
  }

  /**
   * Takes in that a peer confirmed a position that this VM has reached.
   *
   * @param position - position of a peer
   * @param nowMs - current instant in milliseconds
   */
  takeConfirmation(position: KnownPosition, nowMs: InstantMs): void {
    if (this.ownRevision === 0 || position.revision > this.ownRevision) {
      return;
    }
    const confirmedMs = nowMs - position.ageMs - HOP_MS;
    this.peerConfirmedMs = Math.max(this.peerConfirmedMs, confirmedMs);
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Position of this VM as it is told to others. */
  position(nowMs: InstantMs): KnownPosition {
    const ageMs = Math.min(nowMs - this.confirmedMs, Number.MAX_SAFE_INTEGER);
    return {revision: this.ownRevision, ageMs: Math.round(ageMs)};
  }

  /** This VM as it is reported to others. */
  reportSelf(): ReportedMember {
    const {state, readFailing} = this;
    return {
      ...this.options.identity,
      state,
      isReadFailing: readFailing,
      ageMs: 0,
    };
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
    const isOwnDomain = failureDomain === this.options.identity.failureDomain;
    this.size.onReported(heartbeat.fleetSize, nowMs);
    if (!isOwnDomain) {
      this.size.onDomain(failureDomain, heartbeat.domainSize, nowMs);
    }
    if (heartbeat.domainSize === 0) {
      // The sender knows nobody yet: name those that it should turn to.
      const ranked = this.directory.rank(
        this.directory.alive(nowMs, failureDomain),
      );
      const useful = [
        ...ranked.slice(0, NAMED_HEADS + 1),
        ...this.otherDomainHeads(nowMs),
      ].filter(member => member.host !== host);
      this.add(
        dispatches,
        [host],
        this.heartbeat(this.reported(useful, nowMs), nowMs),
      );
    }
  }

  private sendToSeeds(sent: Dispatch[], nowMs: InstantMs): void {
    if (nowMs < this.nextSeedHeartbeatMs || this.seedHosts.length === 0) {
      return;
    }
    const knowsOthers = this.view.ownDomainHosts.length > 0;
    this.nextSeedHeartbeatMs =
      nowMs + (knowsOthers ? SEED_REFRESH_MS : SEED_HEARTBEAT_MS);
    this.add(sent, this.seedHosts, this.heartbeat([], nowMs));
  }

  private sendAsHead(sent: Dispatch[], nowMs: InstantMs): void {
    if (nowMs >= this.nextHeadHeartbeatMs) {
      this.nextHeadHeartbeatMs = nowMs + HEAD_HEARTBEAT_MS;
      const own = this.options.identity.failureDomain;
      const members = [
        ...this.directory.alive(nowMs, own),
        ...this.otherDomainHeads(nowMs),
      ];
      const named = this.reported(members, nowMs).slice(0, MAX_NAMED_MEMBERS);
      this.add(sent, this.view.ownDomainHosts, this.heartbeat(named, nowMs));
    }
    if (nowMs >= this.nextCrossHeartbeatMs) {
      this.nextCrossHeartbeatMs = nowMs + CROSS_HEARTBEAT_MS;
      const own = this.options.identity.failureDomain;
      const ranked = this.directory.rank(this.directory.alive(nowMs, own));
      const named = this.reported(ranked, nowMs).slice(0, NAMED_HEADS);
      const hosts = this.otherHeadHosts();
      this.add(sent, hosts, this.heartbeat(named, nowMs));
    }
  }

  private otherDomainHeads(nowMs: InstantMs): readonly Member[] {
    const hosts = new Set(this.otherHeadHosts());
    return this.directory.alive(nowMs).filter(({host}) => hosts.has(host));
  }

  private otherHeadHosts(): readonly string[] {
    return this.view.otherHeads.flatMap(({hosts}) => hosts);
  }

  private reported(
    members: readonly Member[],
    nowMs: InstantMs,
  ): readonly ReportedMember[] {
    const reported: ReportedMember[] = [];
    for (const {heardMs, ...member} of members) {
      const ageMs = Math.round(nowMs - heardMs);
      if (ageMs <= NAMED_MAX_AGE_MS) {
        reported.push({...member, ageMs});
      }
    }
    return reported;
  }

  private heartbeat(
    members: readonly ReportedMember[],
    nowMs: InstantMs,
  ): Heartbeat {
    const others = this.view.ownDomainHosts.length;
    return {
      type: 'heartbeat',
      sender: this.reportSelf(),
      position: this.position(nowMs),
      members,
      domainSize: others === 0 ? 0 : others + 1,
      fleetSize: this.isHead ? this.size.current(nowMs) : 0,
    };
  }

  private countFleet(nowMs: InstantMs): void {
    const own = this.options.identity.failureDomain;
    this.size.onDomain(own, this.view.ownDomainHosts.length + 1, nowMs);
  }

  private deriveView(nowMs: InstantMs): HeadView {
    const own = {
      identity: this.options.identity,
      state: this.state,
      isReadFailing: this.readFailing,
    };
    return deriveHeads(this.directory, own, nowMs);
  }

  private add(
    sent: Dispatch[],
    hosts: readonly string[],
    message: FleetMessage,
  ): void {
    const own = this.options.identity.host;
    const others = [...new Set(hosts)].filter(host => host !== own);
    if (others.length > 0) {
      sent.push({hosts: others, message});
    }
  }
}
