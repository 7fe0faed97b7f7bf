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
  type RoutedRequest,
} from '../src/delivery/index.js';
import type {AttemptSignal} from '../src/engine/index.js';
import {LoadBoard} from '../src/load/index.js';
import {FingerprintQuarantine} from '../src/recovery/index.js';
import type {KnownTarget} from '../src/registry/index.js';
import {RouteTable, type RouteRule} from '../src/routes/index.js';
import {EventQueue} from './event_queue.js';

/** One way between a VM and a target, in milliseconds. */
const ONE_WAY_MS = 0.3;

/** Requests that a target queues; it breaks off those beyond. */
const TARGET_QUEUE = 6;

/** Interval at which VMs let due timers run. */
const TIMER_STEP_MS = 5;

/** How a VM learns the loads of targets. */
export type LoadSource =
  /** Only what the VM has in flight itself. */
  | 'none'
  /** Reports of all targets at an interval. */
  | 'reports'
  /** Reports, and three targets asked before each send. */
  | 'asked'
  /** The true loads at each decision. */
  | 'oracle';

/** Sizes and behaviour of one experiment. */
export interface DeliveryScenario {
  readonly seed: number;
  readonly vmCount: number;
  readonly targetCount: number;
  readonly slots: number;
  /** Mean time of a request on an undisturbed target. */
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly loadSource: LoadSource;
  readonly reportIntervalMs: number;
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
  readonly durationsMs: readonly number[];
  readonly probes: number;
  readonly brokenOff: number;
}

interface Running {
  readonly finish: () => void;
  leftMs: number;
}

/** Processor of slots whose speed changes; work goes on at the new speed. */
class NoisyTarget {
  slowness = 1;
  readonly running: Running[] = [];
  readonly waiting: Running[] = [];
  private updatedMs = 0;
  private version = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly slots: number,
  ) {}

  setSlowness(slowness: number, nowMs: number): void {
    this.advance(nowMs);
    this.slowness = slowness;
    this.schedule(nowMs);
  }

  /** Returns false if the target is full. */
  accept(workMs: number, finish: () => void, nowMs: number): boolean {
    this.advance(nowMs);
    const request = {leftMs: workMs, finish};
    if (this.running.length < this.slots) {
      this.running.push(request);
    } else if (this.waiting.length < TARGET_QUEUE) {
      this.waiting.push(request);
    } else {
      return false;
    }
    this.schedule(nowMs);
    return true;
  }

  private advance(nowMs: number): void {
    const doneMs = (nowMs - this.updatedMs) / this.slowness;
    this.running.forEach(request => (request.leftMs -= doneMs));
    this.updatedMs = nowMs;
  }

  private schedule(nowMs: number): void {
    this.version += 1;
    const {version} = this;
    const leftMs = Math.min(...this.running.map(request => request.leftMs));
    if (Number.isFinite(leftMs)) {
      const atMs = nowMs + Math.max(0, leftMs) * this.slowness;
      this.queue.add(atMs, at => this.finishDue(version, at));
    }
  }

  private finishDue(version: number, nowMs: number): void {
    if (version !== this.version) {
      return;
    }
    this.advance(nowMs);
    const due = this.running.filter(({leftMs}) => leftMs <= 1e-6);
    for (const request of due) {
      this.running.splice(this.running.indexOf(request), 1);
      request.finish();
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.running.push(next);
      }
    }
    this.schedule(nowMs);
  }
}

/** One experiment. */
export class DeliveryModel {
  private readonly queue = new EventQueue();
  private readonly random: RandomSource;
  private readonly targets: NoisyTarget[] = [];
  private readonly known = new Map<string, KnownTarget>();
  private readonly vms: ModelVm[] = [];
  private requestCount = 0;
  readonly durationsMs: number[] = [];
  readonly counts = {late: 0, refused: 0, failed: 0, probes: 0, brokenOff: 0};

  /** @param scenario - sizes and behaviour */
  constructor(readonly scenario: DeliveryScenario) {
    this.random = new SeededRandom({seed: scenario.seed});
    for (let index = 0; index < scenario.targetCount; index += 1) {
      this.targets.push(new NoisyTarget(this.queue, scenario.slots));
      this.known.set(`x${index}`, knownTarget(index, scenario.slots));
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
    this.queue.runUntil(durationMs + 10 * this.scenario.objectiveMs);
    const {objectiveMs} = this.scenario;
    const inTime = this.durationsMs.filter(each => each <= objectiveMs).length;
    return {
      asked: this.requestCount,
      inTime,
      ...this.counts,
      late: this.durationsMs.length - inTime,
      durationsMs: this.durationsMs,
    };
  }

  /** Sends a request to a target; the signal follows after its work. */
  dispatch(
    targetId: string,
    onSignal: (signal: AttemptSignal, nowMs: number) => void,
    nowMs: number,
  ): void {
    const workMs = this.scenario.workMs * Math.exp(0.3 * this.nextNormal());
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
    const {durationMs, requestsPerSecond, vmCount} = this.scenario;
    if (nowMs > durationMs) {
      return;
    }
    this.requestCount += 1;
    const vm = this.vms[this.random.nextInt(vmCount)];
    vm?.request(`r${this.requestCount}`, nowMs);
    const gapMs = -Math.log(1 - this.random.nextFloat()) * 1000;
    this.queue.add(nowMs + gapMs / requestsPerSecond, at => this.arrive(at));
  }

  private runTimers(nowMs: number): void {
    this.vms.forEach(vm => vm.onTimer(nowMs));
    if (nowMs < this.scenario.durationMs + 5 * this.scenario.objectiveMs) {
      this.queue.add(nowMs + TIMER_STEP_MS, at => this.runTimers(at));
    }
  }

  private report(nowMs: number): void {
    const {reportIntervalMs, durationMs} = this.scenario;
    for (const targetId of this.known.keys()) {
      const load = {...this.loadOf(targetId), measuredMs: nowMs};
      this.counts.probes += 1;
      this.vms.forEach(vm => vm.board.onSample(targetId, load));
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
  private readonly arrivedMs = new Map<string, number>();

  constructor(
    private readonly model: DeliveryModel,
    index: number,
    private readonly known: ReadonlyMap<string, KnownTarget>,
  ) {
    const {scenario} = model;
    this.board.syncTargets(known);
    this.engine = new DeliveryEngine({
      board: this.board,
      quarantine: new FingerprintQuarantine({quarantineTargets: 3}),
      random: new SeededRandom({seed: scenario.seed + index + 1}),
      resendLimit: {ratio: 0.2, allowance: 75, windowMs: 10_000},
      fleetSize: () => scenario.vmCount,
      takeProbes: () => scenario.loadSource === 'asked',
    });
    this.engine.applyRoutes(routesOf(scenario));
  }

  request(requestId: string, nowMs: number): void {
    this.arrivedMs.set(requestId, nowMs);
    const request: RoutedRequest = {
      requestId,
      callId: requestId,
      host: 'desk.example',
      method: 'GET',
      path: '/read/1',
      fingerprint: requestId,
      bodySizeBytes: 0,
      arrivedMs: nowMs,
      deadlineMs: undefined,
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
      const {token, targetId} = effect;
      this.engine.onSignal(token, {type: 'sent'}, nowMs);
      const onSignal = (signal: AttemptSignal, atMs: number): void =>
        this.perform(atMs, () => this.engine.onSignal(token, signal, atMs));
      this.model.dispatch(targetId, onSignal, nowMs);
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
    const {counts, durationsMs} = this.model;
    const arrivedMs = this.arrivedMs.get(requestId) ?? nowMs;
    this.arrivedMs.delete(requestId);
    if (outcome.type === 'response') {
      durationsMs.push(nowMs - arrivedMs);
    } else if (outcome.verdict === 'not-run') {
      counts.refused += 1;
    } else {
      counts.failed += 1;
    }
  }
}

function knownTarget(index: number, slots: number): KnownTarget {
  return {
    targetId: `x${index}`,
    service: 's',
    host: '127.0.0.1',
    port: 80,
    failureDomain: 'a',
    slots,
    draining: false,
    warmupRemainingMs: 0,
    bornMs: 1,
    coldUntilMs: -Infinity,
  };
}

function routesOf({objectiveMs}: DeliveryScenario): RouteTable {
  const rule: RouteRule = {
    name: 'read',
    host: 'desk.example',
    pathPrefix: '/read/',
    idempotent: true,
    rank: 1,
    objectiveMs,
    timeoutMs: objectiveMs * 3,
    maxAttempts: 2,
    services: [{service: 's', weight: 1}],
  };
  return new RouteTable({
    version: 1,
    rules: [rule],
    services: [{name: 's', healthPath: '/h', maxConnectionsPerTarget: 300}],
    bounds: {
      maxHeadBytes: 1,
      maxBodyBytes: 1,
      headTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}
