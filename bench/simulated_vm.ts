/**
 * Simulated entry VM: the real engine, membership, claim book and quarantine,
 * whose effects act on fake targets in simulated time.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../src/core/index.js';
import {
  type AttemptSignal,
  type Effect,
  isUrgentFact,
  type Outcome,
  RequestEngine,
} from '../src/engine/index.js';
import {
  type Fact,
  GossipMembership,
  ownerIdOf,
} from '../src/membership/index.js';
import type {VmListDocument} from '../src/preset/index.js';
import {BudgetedProbeScheduler} from '../src/probing/index.js';
import {
  type ClaimAnswer,
  type ClaimRequest,
  CrashQuarantine,
  FingerprintQuarantine,
  HomeVm,
  KeyedClaimBook,
  type Settlement,
} from '../src/recovery/index.js';
import {ServiceTargetPool} from '../src/routing/index.js';
import type {Copy} from './demand.js';
import type {EventQueue} from './event_queue.js';
import type {FakeTarget, Work} from './fake_target.js';
import type {FleetFigures} from './fleet_figures.js';
import type {Scenario} from './fleet_scenario.js';

const TICK_MS = 10;

/** Interval between gossip rounds of one VM. */
export const ROUND_MS = 250;

/** Least time between two exchanges with all peers, as in the daemon. */
const BROADCAST_SPACING_MS = 100;

/** One-way latency within a failure domain. */
const LOCAL_LATENCY_MS = 0.1;

/** Time to open a connection. */
const CONNECT_MS = 1;

/** Time after which a claim without answer counts as unreachable. */
const CLAIM_TIMEOUT_MS = 500;

/** Quarantine that never holds anything back, for comparison. */
class NoQuarantine extends CrashQuarantine {
  onCrash(): void {}
  onAnswered(): void {}
  onPeerImplication(): void {}
  onPeerCleared(): void {}
  isQuarantined(): boolean {
    return false;
  }
  isImplicated(): boolean {
    return false;
  }
  implications(): ReadonlyMap<string, readonly string[]> {
    return new Map();
  }
}

/** What a VM needs of its surroundings. */
export interface VmSurroundings {
  readonly scenario: Scenario;
  readonly events: EventQueue;
  readonly random: RandomSource;
  readonly figures: FleetFigures;
  readonly targets: ReadonlyMap<string, FakeTarget>;
  /** Finds a VM that is alive and reachable from another one. */
  readonly reach: (
    from: SimulatedVm,
    vmIndex: number,
  ) => SimulatedVm | undefined;
  /** Takes the answer to a copy. */
  readonly onOutcome: (copy: Copy, outcome: Outcome, nowMs: number) => void;
}

/** Options of {@link SimulatedVm}. */
export interface SimulatedVmOptions {
  readonly index: number;
  /** Number of VMs that ran at this index before. */
  readonly incarnation: number;
  readonly vmCount: number;
  readonly vmList: VmListDocument;
  readonly startMs: number;
  readonly surroundings: VmSurroundings;
}

/** Attempt at a target. */
interface Flight {
  readonly copy: Copy;
  readonly target: FakeTarget;
  work: Work | undefined;
  isCancelled: boolean;
}

type EffectOf<T extends Effect['type']> = Extract<Effect, {type: T}>;

/**
 * Id of the VM at an index.
 *
 * @param index - index from 0
 * @returns VM id
 */
export function vmIdOf(index: number): string {
  return `e-${String(index).padStart(2, '0')}`;
}

/** One entry VM. */
export class SimulatedVm {
  readonly index: number;
  readonly membership: GossipMembership;
  readonly home: HomeVm;
  /** Copies that are not answered yet. */
  readonly open = new Map<string, Copy>();
  isUp = true;
  /** Requests of kinds that are not long and wait for a target. */
  waitingCount = 0;
  private readonly engine: RequestEngine;
  private readonly failureDomain: string;
  private readonly around: VmSurroundings;
  private readonly flights = new Map<string, Flight>();
  private readonly newestReportMs = new Map<string, number>();
  private readonly openConnections = new Map<string, number>();
  private readonly busyConnections = new Map<string, number>();
  private lastView = '';
  private isBroadcastDue = false;
  private broadcastMs = -Infinity;

  /** @param options - place, list of targets and surroundings */
  constructor(options: SimulatedVmOptions) {
    const {index, incarnation, startMs, surroundings} = options;
    const {scenario, random} = surroundings;
    const vmId = vmIdOf(index);
    this.index = index;
    this.around = surroundings;
    this.failureDomain = domainOf(scenario, index);
    this.membership = new GossipMembership({
      self: {vmId, bootId: `b${incarnation}`, host: '10.0.0.1', port: index},
      startMs,
    });
    const contacts = Array.from({length: options.vmCount}, (_, port) => ({
      host: '10.0.0.1',
      port,
    }));
    this.membership.addContacts(contacts);
    const book = new KeyedClaimBook({startMs});
    this.home = new HomeVm({membership: this.membership, book});
    this.engine = new RequestEngine({
      vmId,
      incarnationId: ownerIdOf(this.membership.self),
      failureDomain: this.failureDomain,
      random,
      createPool: poolOptions => new ServiceTargetPool(poolOptions),
      createScheduler: schedulerOptions =>
        new BudgetedProbeScheduler(schedulerOptions),
      quarantine: scenario.quarantines
        ? new FingerprintQuarantine()
        : new NoQuarantine(),
    });
    this.feed(this.engine.applyPreset(scenario.preset, startMs), startMs);
    this.feed(this.engine.applyVmList(options.vmList, startMs), startMs);
    this.membership.setOwnState('ready');
    this.home.onReady(startMs);
    const tickMs = startMs + random.nextFloat() * TICK_MS;
    this.around.events.add(tickMs, nowMs => this.tick(nowMs));
    const roundMs = startMs + random.nextFloat() * ROUND_MS;
    this.around.events.add(roundMs, nowMs => this.gossip(nowMs));
  }

  /** Takes in a copy of a request. */
  onCopy(copy: Copy, nowMs: number): void {
    this.open.set(copy.request.requestId, copy);
    this.countWaiting(copy, 1);
    this.feed(this.engine.onRequest(copy.request, nowMs), nowMs);
  }

  /** Takes in a newer list of targets. */
  onVmList(vmList: VmListDocument, nowMs: number): void {
    this.feed(this.engine.applyVmList(vmList, nowMs), nowMs);
  }

  /** Applies facts that gossip brought. */
  onFacts(facts: readonly Fact[], nowMs: number): void {
    for (const fact of facts) {
      if (fact.key.startsWith('report/') && fact.value !== '') {
        const [, ageMs] = JSON.parse(fact.value) as [number, number];
        this.noteReport(fact.key.slice('report/'.length), nowMs - ageMs);
      }
      this.feed(this.engine.onPeerFact(fact, nowMs), nowMs);
    }
  }

  private tick(nowMs: number): void {
    if (!this.isUp) {
      return;
    }
    this.feed(this.engine.onTick(nowMs), nowMs);
    this.around.events.add(nowMs + TICK_MS, atMs => this.tick(atMs));
  }

  /** One round: digest, answer with delta, push of what the peer lacks. */
  private gossip(nowMs: number): void {
    if (!this.isUp) {
      return;
    }
    const {events, random} = this.around;
    const changes = this.membership.tick(nowMs);
    this.home.onMembershipChanges(changes, nowMs);
    this.refreshView(nowMs);
    events.add(nowMs + ROUND_MS, atMs => this.gossip(atMs));
    const port = this.membership.nextPeer(random)?.port;
    const peer = port === undefined ? undefined : this.around.reach(this, port);
    if (peer !== undefined) {
      this.exchangeWith(peer, nowMs);
    }
  }

  /** Exchange with all live peers, after an urgent fact. */
  private broadcast(nowMs: number): void {
    this.isBroadcastDue = false;
    if (!this.isUp) {
      return;
    }
    this.broadcastMs = nowMs;
    for (const {incarnation, state} of this.membership.members()) {
      const peer = this.around.reach(this, incarnation.port);
      if (state !== 'dead' && peer !== undefined && peer !== this) {
        this.exchangeWith(peer, nowMs);
      }
    }
  }

  private exchangeWith(peer: SimulatedVm, nowMs: number): void {
    const {events} = this.around;
    const digest = this.membership.digest();
    const latencyMs = this.latencyToVm(peer);
    events.add(nowMs + latencyMs, askedMs => {
      const deltas = peer.membership.deltaFor(digest);
      const peerDigest = peer.membership.digest();
      events.add(askedMs + latencyMs, answeredMs => {
        this.onFacts(this.membership.merge(deltas, answeredMs), answeredMs);
        const missing = this.membership.deltaFor(peerDigest);
        events.add(answeredMs + latencyMs, pushedMs => {
          peer.onFacts(peer.membership.merge(missing, pushedMs), pushedMs);
        });
      });
    });
  }

  private refreshView(nowMs: number): void {
    const readyVmIds = this.membership.readyVmIds();
    const live = this.membership
      .members()
      .filter(member => member.state !== 'dead')
      .map(member => member.incarnation.vmId);
    const liveVmIds = [...new Set(live)].sort();
    const view = JSON.stringify([readyVmIds, liveVmIds]);
    if (view !== this.lastView) {
      this.lastView = view;
      const effects = this.engine.applyMembership(
        {readyVmIds, liveVmIds},
        nowMs,
      );
      this.feed(effects, nowMs);
    }
  }

  private feed(effects: readonly Effect[], nowMs: number): void {
    for (const effect of effects) {
      this.perform(effect, nowMs);
    }
  }

  private perform(effect: Effect, nowMs: number): void {
    switch (effect.type) {
      case 'send':
        return this.send(effect, nowMs);
      case 'cancel':
        return this.cancel(effect.token, nowMs);
      case 'claim':
        return this.claim(effect.homeVmId, effect.claim, nowMs);
      case 'settle':
        return this.settle(effect.homeVmId, effect.settlement, nowMs);
      case 'respond':
        return this.respond(effect.requestId, effect.outcome, nowMs);
      case 'probe':
        return this.probe(effect, nowMs);
      case 'publish':
        return this.publish(effect.key, effect.value, nowMs);
      case 'event':
        return this.onEvent(effect);
    }
  }

  private publish(key: string, value: string, nowMs: number): void {
    const isReport = key.startsWith('report/');
    if (!isReport || this.around.scenario.sharesReports) {
      this.membership.publish(key, value);
    }
    if (isUrgentFact(key) && !this.isBroadcastDue) {
      this.isBroadcastDue = true;
      const dueMs = Math.max(nowMs, this.broadcastMs + BROADCAST_SPACING_MS);
      this.around.events.add(dueMs, atMs => this.broadcast(atMs));
    }
  }

  private onEvent({name, details}: EffectOf<'event'>): void {
    if (name === 'retry') {
      this.around.figures.retries += 1;
      const copy = this.open.get(String(details['requestId']));
      if (copy !== undefined && !copy.isWaiting) {
        copy.isWaiting = true;
        this.countWaiting(copy, 1);
      }
    }
  }

  private send(effect: EffectOf<'send'>, nowMs: number): void {
    const copy = this.open.get(effect.requestId);
    const target = this.around.targets.get(effect.targetId);
    if (copy === undefined || target === undefined) {
      throw new RangeError(`send of the unknown request ${effect.requestId}`);
    }
    this.stopWaiting(copy);
    this.noteChoice(target, copy, nowMs);
    const flight: Flight = {
      copy,
      target,
      work: undefined,
      isCancelled: false,
    };
    this.flights.set(effect.token, flight);
    const connectMs = this.takeConnection(effect.targetId);
    this.around.events.add(nowMs + connectMs, atMs =>
      this.onConnected(effect.token, flight, atMs),
    );
  }

  private onConnected(token: string, flight: Flight, nowMs: number): void {
    if (!this.isUp || flight.isCancelled) {
      return;
    }
    const {target} = flight;
    const latencyMs = this.latencyToTarget(target);
    if (target.isDown) {
      this.later(nowMs + 2 * latencyMs, token, {type: 'unreachable'});
      return;
    }
    this.signal(token, {type: 'sent'}, nowMs);
    if (this.flights.get(token) === flight) {
      this.around.events.add(nowMs + latencyMs, atMs =>
        this.arriveAtTarget(token, flight, latencyMs, atMs),
      );
    }
  }

  private arriveAtTarget(
    token: string,
    flight: Flight,
    latencyMs: number,
    nowMs: number,
  ): void {
    const {target, copy} = flight;
    const respond = (atMs: number, refused: boolean): void => {
      const inFlight = this.around.scenario.reportsOnResponses
        ? target.inFlight
        : undefined;
      this.later(atMs + latencyMs, token, {
        type: 'response',
        status: refused ? 503 : 200,
        refused,
        draining: target.isDraining,
        inFlight,
      });
    };
    const onLost = (atMs: number): void =>
      this.later(atMs + latencyMs, token, {type: 'lost', crashed: true});
    if (target.isDown) {
      onLost(nowMs);
      return;
    }
    const work: Work = {
      workMs: copy.job.workMs,
      isPoisoned: copy.job.isPoisoned,
      onStarted: () => this.onStarted(copy),
      onFinished: atMs => respond(atMs, false),
      onLost,
    };
    flight.work = work;
    if (flight.isCancelled) {
      return;
    }
    if (!target.accept(work, nowMs)) {
      respond(nowMs, true);
    }
  }

  private onStarted(copy: Copy): void {
    const {figures} = this.around;
    copy.hasRun = true;
    copy.job.runCount += 1;
    if (!copy.job.kind.idempotent && copy.job.runCount > 1) {
      figures.doubleRuns += 1;
    }
    if (copy.isToldNotRun) {
      figures.notRunThatRan += 1;
    }
  }

  private later(atMs: number, token: string, signal: AttemptSignal): void {
    this.around.events.add(atMs, nowMs => this.signal(token, signal, nowMs));
  }

  private signal(token: string, signal: AttemptSignal, nowMs: number): void {
    const flight = this.flights.get(token);
    if (!this.isUp || flight === undefined) {
      return;
    }
    if (signal.type !== 'sent') {
      this.flights.delete(token);
      this.releaseConnection(flight.target.listed.id, signal.type);
    }
    if (signal.type === 'response' && signal.inFlight !== undefined) {
      this.noteReport(flight.target.listed.id, nowMs);
    }
    this.feed(this.engine.onAttemptSignal(token, signal, nowMs), nowMs);
  }

  /** A cancelled attempt costs its connection; the target learns of it late. */
  private cancel(token: string, nowMs: number): void {
    const flight = this.flights.get(token);
    if (flight === undefined) {
      return;
    }
    this.flights.delete(token);
    this.releaseConnection(flight.target.listed.id, 'cancelled');
    const {target} = flight;
    this.around.events.add(nowMs + this.latencyToTarget(target), atMs => {
      flight.isCancelled = true;
      if (flight.work !== undefined) {
        target.cancel(flight.work, atMs);
      }
    });
  }

  private respond(requestId: string, outcome: Outcome, nowMs: number): void {
    const copy = this.open.get(requestId);
    if (copy === undefined) {
      throw new RangeError(`second answer to ${requestId}`);
    }
    this.open.delete(requestId);
    this.stopWaiting(copy);
    this.around.onOutcome(copy, outcome, nowMs);
  }

  private claim(homeVmId: string, claim: ClaimRequest, nowMs: number): void {
    const {events} = this.around;
    const reply = (atMs: number, answer: ClaimAnswer): void =>
      events.add(atMs, replyMs => {
        if (this.isUp) {
          const effects = this.engine.onClaimReply(
            {token: claim.token, answer},
            replyMs,
          );
          this.feed(effects, replyMs);
        }
      });
    const peer = this.around.reach(this, Number(homeVmId.slice(2)));
    if (peer === undefined) {
      reply(nowMs + CLAIM_TIMEOUT_MS, {type: 'unreachable'});
      return;
    }
    const latencyMs = peer === this ? 0 : this.latencyToVm(peer);
    events.add(nowMs + latencyMs, atMs =>
      reply(atMs + latencyMs, peer.home.claim(claim, atMs)),
    );
  }

  /** Sends a settlement up to five times, 500 ms apart, as the daemon does. */
  private settle(
    homeVmId: string,
    settlement: Settlement,
    nowMs: number,
    triesLeft = 5,
  ): void {
    const peer = this.around.reach(this, Number(homeVmId.slice(2)));
    if (peer !== undefined) {
      const latencyMs = peer === this ? 0 : this.latencyToVm(peer);
      this.around.events.add(nowMs + latencyMs, atMs => {
        peer.home.settle(settlement, atMs);
      });
    } else if (triesLeft > 1) {
      this.around.events.add(nowMs + CLAIM_TIMEOUT_MS, atMs =>
        this.settle(homeVmId, settlement, atMs, triesLeft - 1),
      );
    }
  }

  private probe(effect: EffectOf<'probe'>, nowMs: number): void {
    const {events, targets} = this.around;
    const target = targets.get(effect.targetId);
    if (target === undefined) {
      throw new RangeError(`probe of the unknown target ${effect.targetId}`);
    }
    const latencyMs = this.latencyToTarget(target);
    events.add(nowMs + latencyMs, measuredMs => {
      target.probedMs.push(measuredMs);
      if (target.isDown) {
        return;
      }
      const report = {
        targetId: effect.targetId,
        source: 'probe' as const,
        inFlight: target.inFlight,
        draining: target.isDraining,
        measuredMs,
      };
      events.add(measuredMs + latencyMs, atMs => {
        if (this.isUp) {
          this.noteReport(effect.targetId, measuredMs);
          const effects = this.engine.onReport(effect.service, report, atMs);
          this.feed(effects, atMs);
        }
      });
    });
  }

  private stopWaiting(copy: Copy): void {
    if (copy.isWaiting) {
      copy.isWaiting = false;
      this.countWaiting(copy, -1);
    }
  }

  private countWaiting(copy: Copy, change: number): void {
    this.waitingCount += copy.job.kind.long ? 0 : change;
  }

  private noteReport(targetId: string, measuredMs: number): void {
    const oldMs = this.newestReportMs.get(targetId) ?? -Infinity;
    this.newestReportMs.set(targetId, Math.max(oldMs, measuredMs));
  }

  private noteChoice(target: FakeTarget, copy: Copy, nowMs: number): void {
    const {scenario, figures} = this.around;
    figures.sends += 1;
    if (copy.job.arrivedMs >= scenario.warmUpMs) {
      const measuredMs = this.newestReportMs.get(target.listed.id) ?? 0;
      figures.reportAge.recordValue(Math.round((nowMs - measuredMs) * 1_000));
    }
  }

  /** Takes an idle connection, or opens one; returns the time it takes. */
  private takeConnection(targetId: string): number {
    const busy = (this.busyConnections.get(targetId) ?? 0) + 1;
    this.busyConnections.set(targetId, busy);
    if (busy <= (this.openConnections.get(targetId) ?? 0)) {
      return 0;
    }
    this.openConnections.set(targetId, busy);
    return CONNECT_MS;
  }

  private releaseConnection(
    targetId: string,
    reason: AttemptSignal['type'],
  ): void {
    const busy = (this.busyConnections.get(targetId) ?? 1) - 1;
    this.busyConnections.set(targetId, busy);
    if (reason !== 'response') {
      this.openConnections.set(targetId, busy);
    }
  }

  private latencyToTarget(target: FakeTarget): number {
    return target.listed.failureDomain === this.failureDomain
      ? LOCAL_LATENCY_MS
      : this.around.scenario.deployment.latencyMs;
  }

  private latencyToVm(peer: SimulatedVm): number {
    return peer.failureDomain === this.failureDomain
      ? LOCAL_LATENCY_MS
      : this.around.scenario.deployment.latencyMs;
  }
}

/**
 * Failure domain of the VM or target at an index.
 *
 * @param scenario - deployment
 * @param index - index from 0
 * @returns name of the failure domain
 */
export function domainOf(
  scenario: Pick<Scenario, 'deployment'>,
  index: number,
): string {
  const {failureDomains} = scenario.deployment;
  return failureDomains[index % failureDomains.length] ?? '';
}
