/**
 * Simulates an entry VM: the real engine, membership, claim table and
 * quarantine run against simulated targets in simulated time.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../src/core/index.js';
import {
  type AttemptSignal,
  type Effect,
  isUrgentFact,
  RequestEngine,
  type RequestOutcome,
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
  KeyedClaimTable,
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

/** Minimum interval between two broadcasts to all peers, as in the daemon. */
const BROADCAST_SPACING_MS = 100;

/** One-way latency within a failure domain. */
const LOCAL_LATENCY_MS = 0.1;

/** Time to open a connection. */
const CONNECT_MS = 1;

/** Time after which the home VM counts as unreachable for a claim. */
const CLAIM_TIMEOUT_MS = 500;

/** Quarantine that never quarantines a request, for comparison. */
class NoQuarantine extends CrashQuarantine {
  onCrash(): void {}
  onAnswered(): boolean {
    return false;
  }
  onPeerImplication(): void {}
  onPeerCleared(): void {}
  isQuarantined(): boolean {
    return false;
  }
  isImplicated(): boolean {
    return false;
  }
  crashedTargetCount(): number {
    return 0;
  }
  quarantinedCount(): number {
    return 0;
  }
  quarantined(): readonly [] {
    return [];
  }
  implications(): ReadonlyMap<string, readonly string[]> {
    return new Map();
  }
}

/** Environment of a simulated VM. */
export interface VmEnvironment {
  readonly scenario: Scenario;
  readonly events: EventQueue;
  readonly random: RandomSource;
  readonly figures: FleetFigures;
  readonly targets: ReadonlyMap<string, FakeTarget>;
  /** Returns a VM if it is up and reachable from another one. */
  readonly findReachableVm: (
    from: SimulatedVm,
    vmIndex: number,
  ) => SimulatedVm | undefined;
  /** Receives the outcome of a copy. */
  readonly onOutcome: (
    copy: Copy,
    outcome: RequestOutcome,
    nowMs: number,
  ) => void;
}

/** Options of {@link SimulatedVm}. */
export interface SimulatedVmOptions {
  readonly index: number;
  /** Number of earlier VMs at this index. */
  readonly incarnation: number;
  readonly vmCount: number;
  readonly vmList: VmListDocument;
  readonly startMs: number;
  readonly environment: VmEnvironment;
}

/** Attempt of a copy at a target. */
interface Attempt {
  readonly copy: Copy;
  readonly target: FakeTarget;
  work: Work | undefined;
  isCancelled: boolean;
}

type EffectOf<T extends Effect['type']> = Extract<Effect, {type: T}>;

/**
 * Returns the id of the VM at an index.
 *
 * @param index - index from 0
 * @returns VM id
 */
export function vmIdOf(index: number): string {
  return `e-${String(index).padStart(2, '0')}`;
}

/** Simulated entry VM. */
export class SimulatedVm {
  readonly index: number;
  readonly membership: GossipMembership;
  readonly home: HomeVm;
  /** Copies without a response, by request id. */
  readonly openCopies = new Map<string, Copy>();
  isUp = true;
  /** Number of requests, except of long kinds, that wait for a target. */
  waitingCount = 0;
  private readonly engine: RequestEngine;
  private readonly failureDomain: string;
  private readonly environment: VmEnvironment;
  private readonly attempts = new Map<string, Attempt>();
  private readonly newestReportMs = new Map<string, number>();
  private readonly openConnections = new Map<string, number>();
  private readonly busyConnections = new Map<string, number>();
  private lastView = '';
  private isBroadcastDue = false;
  private broadcastMs = -Infinity;

  /** @param options - index, VM list and environment */
  constructor(options: SimulatedVmOptions) {
    const {index, incarnation, startMs, environment} = options;
    const {scenario, random} = environment;
    const vmId = vmIdOf(index);
    this.index = index;
    this.environment = environment;
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
    const claimTable = new KeyedClaimTable({startMs});
    this.home = new HomeVm({membership: this.membership, claimTable});
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
    this.performAll(this.engine.applyPreset(scenario.preset, startMs), startMs);
    this.performAll(this.engine.applyVmList(options.vmList, startMs), startMs);
    this.membership.setState('ready');
    this.home.onReady(startMs);
    const tickMs = startMs + random.nextFloat() * TICK_MS;
    this.environment.events.add(tickMs, nowMs => this.tick(nowMs));
    const roundMs = startMs + random.nextFloat() * ROUND_MS;
    this.environment.events.add(roundMs, nowMs => this.gossip(nowMs));
  }

  /** Passes a copy of a request to the engine. */
  onCopy(copy: Copy, nowMs: number): void {
    this.openCopies.set(copy.request.requestId, copy);
    this.countWaiting(copy, 1);
    this.performAll(this.engine.onRequest(copy.request, nowMs), nowMs);
  }

  /** Applies a newer VM list. */
  onVmList(vmList: VmListDocument, nowMs: number): void {
    this.performAll(this.engine.applyVmList(vmList, nowMs), nowMs);
  }

  /** Applies facts received by gossip. */
  onFacts(facts: readonly Fact[], nowMs: number): void {
    for (const fact of facts) {
      if (fact.key.startsWith('report/') && fact.value !== '') {
        const [, ageMs] = JSON.parse(fact.value) as [number, number];
        this.recordReport(fact.key.slice('report/'.length), nowMs - ageMs);
      }
      this.performAll(this.engine.onPeerFact(fact, nowMs), nowMs);
    }
  }

  private tick(nowMs: number): void {
    if (!this.isUp) {
      return;
    }
    this.performAll(this.engine.onTick(nowMs), nowMs);
    this.environment.events.add(nowMs + TICK_MS, atMs => this.tick(atMs));
  }

  /** Runs a gossip round: sends a digest, merges the reply, pushes a delta. */
  private gossip(nowMs: number): void {
    if (!this.isUp) {
      return;
    }
    const {events, random} = this.environment;
    const changes = this.membership.tick(nowMs);
    this.home.onMembershipChanges(changes, nowMs);
    this.updateView(nowMs);
    events.add(nowMs + ROUND_MS, atMs => this.gossip(atMs));
    const port = this.membership.nextPeer(random)?.port;
    const peer =
      port === undefined
        ? undefined
        : this.environment.findReachableVm(this, port);
    if (peer !== undefined) {
      this.exchangeWith(peer, nowMs);
    }
  }

  /** Exchanges facts with all live peers after an urgent fact. */
  private broadcast(nowMs: number): void {
    this.isBroadcastDue = false;
    if (!this.isUp) {
      return;
    }
    this.broadcastMs = nowMs;
    for (const {incarnation, state} of this.membership.members()) {
      const peer = this.environment.findReachableVm(this, incarnation.port);
      if (state !== 'dead' && peer !== undefined && peer !== this) {
        this.exchangeWith(peer, nowMs);
      }
    }
  }

  private exchangeWith(peer: SimulatedVm, nowMs: number): void {
    const {events} = this.environment;
    const digest = this.membership.digest();
    const latencyMs = this.latencyToVm(peer);
    events.add(nowMs + latencyMs, receivedMs => {
      const deltas = peer.membership.deltaFor(digest);
      const peerDigest = peer.membership.digest();
      events.add(receivedMs + latencyMs, repliedMs => {
        this.onFacts(this.membership.merge(deltas, repliedMs), repliedMs);
        const missing = this.membership.deltaFor(peerDigest);
        events.add(repliedMs + latencyMs, pushedMs => {
          peer.onFacts(peer.membership.merge(missing, pushedMs), pushedMs);
        });
      });
    });
  }

  private updateView(nowMs: number): void {
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
      this.performAll(effects, nowMs);
    }
  }

  private performAll(effects: readonly Effect[], nowMs: number): void {
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
    if (!isReport || this.environment.scenario.sharesReports) {
      this.membership.publish(key, value);
    }
    if (isUrgentFact(key) && !this.isBroadcastDue) {
      this.isBroadcastDue = true;
      const dueMs = Math.max(nowMs, this.broadcastMs + BROADCAST_SPACING_MS);
      this.environment.events.add(dueMs, atMs => this.broadcast(atMs));
    }
  }

  private onEvent({name, details}: EffectOf<'event'>): void {
    if (name === 'retry') {
      this.environment.figures.retries += 1;
      const copy = this.openCopies.get(String(details['requestId']));
      if (copy !== undefined && !copy.isWaiting) {
        copy.isWaiting = true;
        this.countWaiting(copy, 1);
      }
    }
  }

  private send(effect: EffectOf<'send'>, nowMs: number): void {
    const copy = this.openCopies.get(effect.requestId);
    const target = this.environment.targets.get(effect.targetId);
    if (copy === undefined || target === undefined) {
      throw new RangeError(
        `cannot send ${effect.requestId}: unknown request or target`,
      );
    }
    this.stopWaiting(copy);
    this.recordChoice(target, copy, nowMs);
    const attempt: Attempt = {
      copy,
      target,
      work: undefined,
      isCancelled: false,
    };
    this.attempts.set(effect.token, attempt);
    const connectMs = this.acquireConnection(effect.targetId);
    this.environment.events.add(nowMs + connectMs, atMs =>
      this.onConnected(effect.token, attempt, atMs),
    );
  }

  private onConnected(token: string, attempt: Attempt, nowMs: number): void {
    if (!this.isUp || attempt.isCancelled) {
      return;
    }
    const {target} = attempt;
    const latencyMs = this.latencyToTarget(target);
    if (target.isDown) {
      this.signalLater(nowMs + 2 * latencyMs, token, {type: 'unreachable'});
      return;
    }
    this.signal(token, {type: 'sent'}, nowMs);
    if (this.attempts.get(token) === attempt) {
      this.environment.events.add(nowMs + latencyMs, atMs =>
        this.arriveAtTarget(token, attempt, latencyMs, atMs),
      );
    }
  }

  private arriveAtTarget(
    token: string,
    attempt: Attempt,
    latencyMs: number,
    nowMs: number,
  ): void {
    const {target, copy} = attempt;
    const respond = (atMs: number, refused: boolean): void => {
      const inFlight = this.environment.scenario.reportsOnResponses
        ? target.inFlight
        : undefined;
      this.signalLater(atMs + latencyMs, token, {
        type: 'response',
        status: refused ? 503 : 200,
        refused,
        draining: target.isDraining,
        inFlight,
      });
    };
    const onLost = (atMs: number): void =>
      this.signalLater(atMs + latencyMs, token, {type: 'lost', crashed: true});
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
    attempt.work = work;
    if (attempt.isCancelled) {
      return;
    }
    if (!target.accept(work, nowMs)) {
      respond(nowMs, true);
    }
  }

  private onStarted(copy: Copy): void {
    const {figures} = this.environment;
    copy.hasRun = true;
    copy.job.runCount += 1;
    if (!copy.job.kind.idempotent && copy.job.runCount > 1) {
      figures.doubleRuns += 1;
    }
    if (copy.isReportedNotRun) {
      figures.notRunThatRan += 1;
    }
  }

  private signalLater(
    atMs: number,
    token: string,
    signal: AttemptSignal,
  ): void {
    this.environment.events.add(atMs, nowMs =>
      this.signal(token, signal, nowMs),
    );
  }

  private signal(token: string, signal: AttemptSignal, nowMs: number): void {
    const attempt = this.attempts.get(token);
    if (!this.isUp || attempt === undefined) {
      return;
    }
    if (signal.type !== 'sent') {
      this.attempts.delete(token);
      this.releaseConnection(attempt.target.listed.id, signal.type);
    }
    if (signal.type === 'response' && signal.inFlight !== undefined) {
      this.recordReport(attempt.target.listed.id, nowMs);
    }
    this.performAll(this.engine.onAttemptSignal(token, signal, nowMs), nowMs);
  }

  /**
   * Cancels an attempt and closes its connection; the target drops it later.
   */
  private cancel(token: string, nowMs: number): void {
    const attempt = this.attempts.get(token);
    if (attempt === undefined) {
      return;
    }
    this.attempts.delete(token);
    this.releaseConnection(attempt.target.listed.id, 'cancelled');
    const {target} = attempt;
    this.environment.events.add(nowMs + this.latencyToTarget(target), atMs => {
      attempt.isCancelled = true;
      if (attempt.work !== undefined) {
        target.cancel(attempt.work, atMs);
      }
    });
  }

  private respond(
    requestId: string,
    outcome: RequestOutcome,
    nowMs: number,
  ): void {
    const copy = this.openCopies.get(requestId);
    if (copy === undefined) {
      throw new RangeError(`no open request ${requestId} to respond to`);
    }
    this.openCopies.delete(requestId);
    this.stopWaiting(copy);
    this.environment.onOutcome(copy, outcome, nowMs);
  }

  private claim(homeVmId: string, claim: ClaimRequest, nowMs: number): void {
    const {events} = this.environment;
    const reply = (atMs: number, answer: ClaimAnswer): void =>
      events.add(atMs, replyMs => {
        if (this.isUp) {
          const effects = this.engine.onClaimReply(
            {token: claim.token, answer},
            replyMs,
          );
          this.performAll(effects, replyMs);
        }
      });
    const peer = this.environment.findReachableVm(
      this,
      Number(homeVmId.slice(2)),
    );
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
    const peer = this.environment.findReachableVm(
      this,
      Number(homeVmId.slice(2)),
    );
    if (peer !== undefined) {
      const latencyMs = peer === this ? 0 : this.latencyToVm(peer);
      this.environment.events.add(nowMs + latencyMs, atMs => {
        peer.home.settle(settlement, atMs);
      });
    } else if (triesLeft > 1) {
      this.environment.events.add(nowMs + CLAIM_TIMEOUT_MS, atMs =>
        this.settle(homeVmId, settlement, atMs, triesLeft - 1),
      );
    }
  }

  private probe(effect: EffectOf<'probe'>, nowMs: number): void {
    const {events, targets} = this.environment;
    const target = targets.get(effect.targetId);
    if (target === undefined) {
      throw new RangeError(`cannot probe unknown target ${effect.targetId}`);
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
          this.recordReport(effect.targetId, measuredMs);
          const effects = this.engine.onReport(effect.service, report, atMs);
          this.performAll(effects, atMs);
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

  private recordReport(targetId: string, measuredMs: number): void {
    const oldMs = this.newestReportMs.get(targetId) ?? -Infinity;
    this.newestReportMs.set(targetId, Math.max(oldMs, measuredMs));
  }

  private recordChoice(target: FakeTarget, copy: Copy, nowMs: number): void {
    const {scenario, figures} = this.environment;
    figures.sends += 1;
    if (copy.job.arrivedMs >= scenario.warmUpMs) {
      const measuredMs = this.newestReportMs.get(target.listed.id) ?? 0;
      figures.reportAge.recordValue(Math.round((nowMs - measuredMs) * 1_000));
    }
  }

  /**
   * Acquires an idle connection or opens one; returns the milliseconds spent.
   */
  private acquireConnection(targetId: string): number {
    const busyCount = (this.busyConnections.get(targetId) ?? 0) + 1;
    this.busyConnections.set(targetId, busyCount);
    if (busyCount <= (this.openConnections.get(targetId) ?? 0)) {
      return 0;
    }
    this.openConnections.set(targetId, busyCount);
    return CONNECT_MS;
  }

  private releaseConnection(
    targetId: string,
    reason: AttemptSignal['type'],
  ): void {
    const busyCount = (this.busyConnections.get(targetId) ?? 1) - 1;
    this.busyConnections.set(targetId, busyCount);
    if (reason !== 'response') {
      this.openConnections.set(targetId, busyCount);
    }
  }

  private latencyToTarget(target: FakeTarget): number {
    return target.listed.failureDomain === this.failureDomain
      ? LOCAL_LATENCY_MS
      : this.environment.scenario.deployment.latencyMs;
  }

  private latencyToVm(peer: SimulatedVm): number {
    return peer.failureDomain === this.failureDomain
      ? LOCAL_LATENCY_MS
      : this.environment.scenario.deployment.latencyMs;
  }
}

/**
 * Returns the failure domain of the VM or target at an index.
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
