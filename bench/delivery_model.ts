/**
 * Entry VMs with real delivery engines and load boards before targets whose
 * speed changes, in simulated time.
 *
 * @packageDocumentation
 */
import {SeededRandom, type RandomSource} from '../src/core/index.js';
import {
  DeliveryEngine,
  type DeliveryEffect,
  type DeliveryOutcome,
  type RoutedRequest,
} from '../src/delivery/index.js';
import type {AttemptSignal} from '../src/engine/index.js';
import {LoadBoard} from '../src/load/index.js';
import {ProbeAllowance} from '../src/probing/index.js';
import {FingerprintQuarantine} from '../src/recovery/index.js';
import type {KnownTarget} from '../src/registry/index.js';
import {knownTarget} from '../src/registry/target_fixture.js';
import {RouteTable, type RouteRule} from '../src/routes/index.js';
import {EventQueue} from './event_queue.js';
import {NoisyTarget} from './noisy_target.js';

/** One way between a VM and a target, in milliseconds. */
const ONE_WAY_MS = 0.3;

/** Interval at which VMs let due timers run. */
const TIMER_STEP_MS = 5;

/** Time for the last requests to end. */
const DRAIN_MS = 3_000;

/** Part of the worth that a late answer has. */
const LATE_WORTH_SHARE = 0.1;

/** Part of their remaining time for which callers wait as asked. */
const MAX_WAIT_SHARE = 1 / 3;

/** How a VM learns the loads of targets. */
export type LoadSource =
  /** Only what the VM has in flight itself. */
  | 'none'
  /** Reports of all targets at an interval. */
  | 'reports'
  /** Reports, and the best targets asked before each send. */
  | 'asked'
  /** The true loads at each decision. */
  | 'oracle';

/** One kind of request. */
export interface ModelRoute {
  readonly name: string;
  /** Part of all requests, 0 to 1. */
  readonly share: number;
  readonly idempotent: boolean;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Mean time of a request on an undisturbed target. */
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Time that a caller waits from its first try. */
  readonly deadlineMs: number;
  /** Further tries of a caller. */
  readonly retries: number;
  /** Worth of an answer in time; late ones have a tenth of it. */
  readonly worth: number;
}

/** Sizes and behaviour of one experiment. */
export interface DeliveryScenario {
  readonly seed: number;
  readonly vmCount: number;
  readonly targetCount: number;
  readonly slots: number;
  /** Share of the slots from which on a target is slower, and how much. */
  readonly kneeShare: number;
  readonly kneeFactor: number;
  readonly routes: readonly ModelRoute[];
  readonly requestsPerSecond: number;
  /** Relative swing of the rate, and its period. */
  readonly swing: number;
  readonly swingPeriodMs: number;
  readonly durationMs: number;
  readonly loadSource: LoadSource;
  readonly reportIntervalMs: number;
  /** Probes that all VMs together may ask of each target. */
  readonly probesPerTargetSecond: number;
  /** Share of the targets that are slow at any time, and how slow. */
  readonly slowShare: number;
  readonly slowFactor: number;
  readonly slowPeriodMs: number;
}

/** What callers got. */
export interface DeliveryFigures {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly probes: number;
  readonly brokenOff: number;
  /** Worth earned of all worth asked, 0 to 1. */
  readonly worthShare: number;
}

/** A caller's request with all its tries. */
interface Call {
  readonly route: ModelRoute;
  readonly firstMs: number;
  triesLeft: number;
}

/** One experiment. */
export class DeliveryModel {
  private readonly queue = new EventQueue();
  private readonly random: RandomSource;
  private readonly targets: NoisyTarget[] = [];
  private readonly known = new Map<string, KnownTarget>();
  private readonly vms: ModelVm[] = [];
  private requestCount = 0;
  private tryCount = 0;
  private readonly counts = {
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    probes: 0,
    brokenOff: 0,
  };
  private askedWorth = 0;
  private earnedWorth = 0;

  /** @param scenario - sizes and behaviour */
  constructor(readonly scenario: DeliveryScenario) {
    this.random = new SeededRandom({seed: scenario.seed});
    for (let index = 0; index < scenario.targetCount; index += 1) {
      this.targets.push(new NoisyTarget(this.queue, scenario));
      const targetId = `x${index}`;
      const {slots} = scenario;
      this.known.set(targetId, knownTarget(targetId, {slots}));
      const phaseMs = this.random.nextFloat() * scenario.slowPeriodMs;
      this.queue.add(phaseMs, nowMs => this.changeSpeed(index, nowMs));
    }
    for (let index = 0; index < scenario.vmCount; index += 1) {
      this.vms.push(new ModelVm(this, index, this.known));
    }
  }

  /** Runs the experiment and returns what callers got. */
  run(): DeliveryFigures {
    const {loadSource, durationMs} = this.scenario;
    this.queue.add(0, nowMs => this.arrive(nowMs));
    this.queue.add(0, nowMs => this.runTimers(nowMs));
    if (loadSource === 'reports' || loadSource === 'asked') {
      this.queue.add(0, nowMs => this.report(nowMs));
    }
    this.queue.runUntil(durationMs + DRAIN_MS);
    return {
      asked: this.requestCount,
      ...this.counts,
      worthShare: this.earnedWorth / this.askedWorth,
    };
  }

  /** Sends a request to a target; the signal follows after its work. */
  dispatch(
    targetId: string,
    meanWorkMs: number,
    onSignal: (signal: AttemptSignal, nowMs: number) => void,
    nowMs: number,
  ): void {
    const workMs = meanWorkMs * Math.exp(0.3 * this.nextNormal());
    this.queue.add(nowMs + ONE_WAY_MS, arrivedMs => {
      const finish = (): void => this.reply(targetId, onSignal);
      const target = this.targetOf(targetId);
      if (!target.accept(workMs, finish, arrivedMs)) {
        this.counts.brokenOff += 1;
        const lost = {type: 'lost', crashed: false} as const;
        this.queue.add(arrivedMs + ONE_WAY_MS, at => onSignal(lost, at));
      }
    });
  }

  /** Calls back after the time that a target takes to state its load. */
  probe(onLoad: (atMs: number) => void, nowMs: number): void {
    this.counts.probes += 1;
    this.queue.add(nowMs + 2 * ONE_WAY_MS, atMs => onLoad(atMs));
  }

  /** Reads the true load of a target. */
  loadOf(targetId: string): {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly slowness: number;
  } {
    const {running, waiting, slowness} = this.targetOf(targetId);
    return {
      running: running.length,
      waiting: waiting.length,
      slots: this.scenario.slots,
      slowness,
    };
  }

  private reply(
    targetId: string,
    onSignal: (signal: AttemptSignal, nowMs: number) => void,
  ): void {
    const figures = this.loadOf(targetId);
    const signal = {
      type: 'response',
      status: 200,
      refused: false,
      draining: false,
      inFlight: undefined,
      figures,
    } as const;
    this.queue.add(this.nowMs() + ONE_WAY_MS, at => onSignal(signal, at));
  }

  /** Instant of the event that runs now, kept by speed changes and arrivals. */
  private nowMs(): number {
    return this.currentMs;
  }

  private currentMs = 0;

  /** Notes the instant of the event that runs now. */
  at(nowMs: number): number {
    this.currentMs = nowMs;
    return nowMs;
  }

  private targetOf(targetId: string): NoisyTarget {
    const target = this.targets[Number(targetId.slice(1))];
    if (target === undefined) {
      throw new RangeError(`no target ${targetId}`);
    }
    return target;
  }

  private changeSpeed(index: number, nowMs: number): void {
    const {slowShare, slowFactor, slowPeriodMs} = this.scenario;
    const isSlow = this.random.nextFloat() < slowShare;
    this.targets[index]?.setSlowness(isSlow ? slowFactor : 1, nowMs);
    this.queue.add(nowMs + slowPeriodMs, at => this.changeSpeed(index, at));
  }

  private arrive(nowMs: number): void {
    const {durationMs, requestsPerSecond, routes} = this.scenario;
    if (nowMs > durationMs) {
      return;
    }
    this.requestCount += 1;
    const route = pickRoute(routes, this.random.nextFloat());
    this.askedWorth += route.worth;
    this.startTry({route, firstMs: nowMs, triesLeft: route.retries}, nowMs);
    const gapMs = -Math.log(1 - this.random.nextFloat()) * 1000;
    const rate = requestsPerSecond * this.swingAt(nowMs);
    this.queue.add(nowMs + gapMs / rate, at => this.arrive(at));
  }

  private swingAt(nowMs: number): number {
    const {swing, swingPeriodMs} = this.scenario;
    return 1 + swing * Math.sin((2 * Math.PI * nowMs) / swingPeriodMs);
  }

  private startTry(call: Call, nowMs: number): void {
    this.tryCount += 1;
    const vm = this.vms[this.random.nextInt(this.scenario.vmCount)];
    vm?.request(`r${this.tryCount}`, call, nowMs);
  }

  /** Notes what a caller gets; it tries again after a refusal. */
  finish(call: Call, outcome: DeliveryOutcome, nowMs: number): void {
    const {route, firstMs} = call;
    const leftMs = firstMs + route.deadlineMs - nowMs;
    if (outcome.type === 'response') {
      const isInTime = nowMs - firstMs <= route.objectiveMs;
      this.counts[isInTime ? 'inTime' : 'late'] += 1;
      this.earnedWorth += route.worth * (isInTime ? 1 : LATE_WORTH_SHARE);
      return;
    }
    const mayTryAgain = route.idempotent || outcome.verdict === 'not-run';
    const waitMs = Math.min(
      (outcome.retryAfterSeconds ?? 0) * 1000,
      leftMs * MAX_WAIT_SHARE,
    );
    if (mayTryAgain && call.triesLeft > 0 && leftMs > 0) {
      call.triesLeft -= 1;
      this.queue.add(nowMs + waitMs, at => this.startTry(call, at));
    } else {
      this.counts[outcome.verdict === 'not-run' ? 'refused' : 'failed'] += 1;
    }
  }

  private runTimers(nowMs: number): void {
    this.vms.forEach(vm => vm.onTimer(nowMs));
    if (nowMs < this.scenario.durationMs + DRAIN_MS) {
      this.queue.add(nowMs + TIMER_STEP_MS, at => this.runTimers(at));
    }
  }

  private report(nowMs: number): void {
    const {reportIntervalMs, durationMs} = this.scenario;
    for (const targetId of this.known.keys()) {
      const observation = {
        ...this.loadOf(targetId),
        targetId,
        ageMs: 0,
        failureShare: 0,
        isReachable: true,
      };
      this.counts.probes += 1;
      this.vms.forEach(vm => vm.board.onObservation(observation, nowMs));
    }
    this.vms.forEach(vm => vm.onNews(nowMs));
    if (nowMs < durationMs) {
      this.queue.add(nowMs + reportIntervalMs, at => this.report(at));
    }
  }

  private nextNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFloat()));
    return radius * Math.cos(2 * Math.PI * this.random.nextFloat());
  }
}

/** One VM of the model. */
class ModelVm {
  readonly board = new LoadBoard({failureDomain: 'a'});
  private readonly engine: DeliveryEngine;
  private readonly calls = new Map<string, Call>();
  private readonly probes = new ProbeAllowance();
  private readonly probesPerSecond: number;

  constructor(
    private readonly model: DeliveryModel,
    index: number,
    private readonly known: ReadonlyMap<string, KnownTarget>,
  ) {
    const {scenario} = model;
    this.board.syncTargets(known);
    this.probesPerSecond =
      (scenario.probesPerTargetSecond * scenario.targetCount) /
      scenario.vmCount;
    this.engine = new DeliveryEngine({
      board: this.board,
      quarantine: new FingerprintQuarantine({quarantineTargets: 3}),
      random: new SeededRandom({seed: scenario.seed + index + 1}),
      resendLimit: {ratio: 0.2, allowance: 75, windowMs: 10_000},
      fleetSize: () => scenario.vmCount,
      takeProbes: (count, nowMs) =>
        scenario.loadSource === 'asked' &&
        this.probes.tryTake(count, this.probesPerSecond, nowMs),
    });
    this.engine.applyRoutes(routesOf(scenario));
  }

  request(requestId: string, call: Call, nowMs: number): void {
    const {route, firstMs} = call;
    this.calls.set(requestId, call);
    const request: RoutedRequest = {
      requestId,
      callId: requestId,
      host: 'desk.example',
      method: 'GET',
      path: `/${route.name}/1`,
      fingerprint: requestId,
      bodySizeBytes: 0,
      arrivedMs: nowMs,
      deadlineMs: firstMs + route.deadlineMs,
    };
    this.perform(nowMs, () => this.engine.onRequest(request, nowMs));
  }

  onTimer(nowMs: number): void {
    if (this.engine.nextTimerMs() <= nowMs) {
      this.perform(nowMs, () => this.engine.onTimer(nowMs));
    }
  }

  onNews(nowMs: number): void {
    this.perform(nowMs, () => this.engine.onNews(nowMs));
  }

  private perform(nowMs: number, input: () => readonly DeliveryEffect[]): void {
    this.model.at(nowMs);
    if (this.model.scenario.loadSource === 'oracle') {
      for (const targetId of this.known.keys()) {
        this.sample(targetId, nowMs);
      }
    }
    for (const effect of input()) {
      this.carryOut(effect, nowMs);
    }
  }

  private carryOut(effect: DeliveryEffect, nowMs: number): void {
    if (effect.type === 'send') {
      const {token, targetId, requestId} = effect;
      const workMs = this.calls.get(requestId)?.route.workMs ?? 0;
      this.engine.onSignal(token, {type: 'sent'}, nowMs);
      const onSignal = (signal: AttemptSignal, atMs: number): void =>
        this.perform(atMs, () => this.engine.onSignal(token, signal, atMs));
      this.model.dispatch(targetId, workMs, onSignal, nowMs);
    } else if (effect.type === 'ask') {
      this.ask(effect.requestId, effect.targetIds, nowMs);
    } else if (effect.type === 'respond') {
      this.finish(effect, nowMs);
    }
  }

  private ask(
    requestId: string,
    targetIds: readonly string[],
    nowMs: number,
  ): void {
    let left = targetIds.length;
    for (const targetId of targetIds) {
      const onLoad = (atMs: number): void => {
        this.sample(targetId, atMs);
        left -= 1;
        if (left === 0) {
          this.perform(atMs, () => this.engine.onAsked(requestId, atMs));
        }
      };
      this.model.probe(onLoad, nowMs);
    }
  }

  private sample(targetId: string, nowMs: number): void {
    const load = this.model.loadOf(targetId);
    this.board.onSample(targetId, {...load, measuredMs: nowMs});
  }

  private finish(
    {requestId, outcome}: Extract<DeliveryEffect, {readonly type: 'respond'}>,
    nowMs: number,
  ): void {
    const call = this.calls.get(requestId);
    this.calls.delete(requestId);
    if (call !== undefined) {
      this.model.finish(call, outcome, nowMs);
    }
  }
}

function pickRoute(routes: readonly ModelRoute[], point: number): ModelRoute {
  let left = point;
  for (const route of routes) {
    left -= route.share;
    if (left < 0) {
      return route;
    }
  }
  throw new RangeError('shares of the routes sum to less than 1');
}

function routesOf({routes}: DeliveryScenario): RouteTable {
  return new RouteTable({
    version: 1,
    rules: routes.map(ruleOf),
    services: [{name: 's', healthPath: '/h', maxConnectionsPerTarget: 300}],
    bounds: {
      maxHeadBytes: 1,
      maxBodyBytes: 1,
      headTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

function ruleOf(route: ModelRoute): RouteRule {
  const {name, idempotent, rank, objectiveMs, timeoutMs} = route;
  return {
    name,
    host: 'desk.example',
    pathPrefix: `/${name}/`,
    idempotent,
    rank,
    objectiveMs,
    timeoutMs,
    maxAttempts: 2,
    services: [{service: 's', weight: 1}],
  };
}
