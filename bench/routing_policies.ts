/**
 * Compares the routing policies at the `TargetPool` interface: 24 VMs choose
 * among simulated targets in one seeded, event-driven run.
 *
 * Model: open-loop Poisson arrivals, spread evenly over the VMs; lognormal
 * service times; targets with slots and a FIFO queue; neighbours that slow a
 * target down for tens of milliseconds; probe results that reach peers with the
 * delay of gossip; loads carried on responses. Latency counts from the arrival
 * of a request at its VM, so waiting is included and there is no coordinated
 * omission. A request that finds the VM's queue full, or has waited in it
 * beyond its timeout, counts as lost.
 *
 * Usage: `node dist/bench/routing_policies.js [options]`; see `main` for the
 * options.
 *
 * @packageDocumentation
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {parseArgs} from 'node:util';
import {SeededRandom, type RandomSource} from '../src/core/index.js';
import type {
  KindPreset,
  ListedVm,
  RoutingPolicyName,
  ServicePreset,
} from '../src/preset/index.js';
import {BudgetedProbeScheduler} from '../src/probing/index.js';
import {ServiceTargetPool, type RoutingTuning} from '../src/routing/index.js';
import {EventQueue} from './event_queue.js';

const VM_COUNT = 24;
const VM_CEILING = 30;
/** Standard deviation of the logarithm; p99 of the work alone is then 56 ms. */
const SERVICE_SIGMA = 0.5;
/** A neighbour slows a target by this factor, on average 8 % of the time. */
const NEIGHBOUR_FACTOR = 4;
const NEIGHBOUR_GAP_MS = 575;
const NEIGHBOUR_MIN_MS = 20;
const NEIGHBOUR_SPREAD_MS = 60;
/** Factor by which requests of the long kind run longer. */
const LONG_MIN_FACTOR = 20;
const LONG_SPREAD_FACTOR = 30;
const GOSSIP_MS = 250;
const TICK_MS = 10;
const TIMEOUT_MS = 2_000;
const WARM_UP_MS = 2_000;
const LOCAL_LATENCY_MS = 0.1;

interface Deployment {
  readonly name: string;
  readonly targetCount: number;
  readonly slots: number;
  readonly connections: number;
  readonly failureDomains: readonly string[];
  readonly latencyMs: number;
}

const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'himali',
    targetCount: 20,
    slots: 6,
    connections: 280,
    failureDomains: ['a', 'b', 'c'],
    latencyMs: 0.5,
  },
  {
    name: 'society',
    targetCount: 30,
    slots: 3,
    connections: 350,
    failureDomains: ['kalutara', 'panadura', 'beruwala'],
    latencyMs: 1,
  },
];

const POLICIES: readonly RoutingPolicyName[] = [
  'estimated-load',
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
];

const SHORT_KIND: KindPreset = {
  name: 'check',
  method: 'GET',
  pathPrefix: '/check',
  idempotent: true,
  urgent: false,
  long: false,
  worth: 1,
  timeoutMs: TIMEOUT_MS,
};
const LONG_KIND: KindPreset = {...SHORT_KIND, name: 'batch', long: true};

/** Options of one run. */
interface RunOptions {
  readonly deployment: Deployment;
  readonly policy: RoutingPolicyName;
  readonly loadPercent: number;
  readonly seed: number;
  readonly durationMs: number;
  readonly longLaneShare: number;
  readonly longShare: number;
  /** Mean service time of a short request, without slow phases. */
  readonly serviceMs: number;
  readonly responseLoad: boolean;
  readonly tuning: Partial<RoutingTuning>;
}

interface Request {
  readonly arrivedMs: number;
  readonly workMs: number;
  readonly kind: KindPreset;
}

/** A request at a target. */
interface Job {
  readonly request: Request;
  readonly vm: EntryVm;
}

/** Interval in which a neighbour slows a target down. */
interface SlowPhase {
  readonly startMs: number;
  readonly endMs: number;
}

/** Simulated target with slots and a FIFO queue. */
class FakeTarget {
  running = 0;
  readonly waiting: Job[] = [];
  constructor(
    readonly listed: ListedVm,
    readonly slowPhases: readonly SlowPhase[],
  ) {}

  get inFlight(): number {
    return this.running + this.waiting.length;
  }
}

/** Simulated entry VM: a pool, a queue per kind and a probe schedule. */
interface EntryVm {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly pool: ServiceTargetPool;
  readonly prober: BudgetedProbeScheduler;
  readonly queues: readonly [Request[], Request[]];
}

/** Result of one run. */
interface RunResult {
  readonly histogram: Histogram;
  readonly lost: number;
  readonly offered: number;
}

/** Simulates one deployment under one policy. */
class Simulation {
  private readonly events = new EventQueue();
  private readonly histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private readonly targets = new Map<string, FakeTarget>();
  private readonly vms: readonly EntryVm[];
  /** Separate random sources, so that all policies get the same demand. */
  private readonly demandRandom: RandomSource;
  private readonly neighbourRandom: RandomSource;
  private readonly choiceRandom: RandomSource;
  private lost = 0;
  private offered = 0;

  constructor(private readonly options: RunOptions) {
    this.demandRandom = new SeededRandom({seed: options.seed});
    this.neighbourRandom = new SeededRandom({seed: options.seed + 1});
    this.choiceRandom = new SeededRandom({seed: options.seed + 2});
    for (const listed of listTargets(options.deployment)) {
      const phases = drawSlowPhases(this.neighbourRandom, options.durationMs);
      this.targets.set(listed.id, new FakeTarget(listed, phases));
    }
    this.vms = Array.from({length: VM_COUNT}, (_, index) =>
      this.createVm(index),
    );
  }

  /** Runs the simulation and returns the latencies in microseconds. */
  run(): RunResult {
    this.scheduleArrival(0);
    for (const vm of this.vms) {
      const offsetMs = this.choiceRandom.nextFloat();
      this.events.add(TICK_MS * offsetMs, nowMs => this.tick(vm, nowMs));
    }
    this.events.runUntil(this.options.durationMs + 5_000);
    return {
      histogram: this.histogram,
      lost: this.lost,
      offered: this.offered,
    };
  }

  private createVm(index: number): EntryVm {
    const {deployment, policy, longLaneShare, tuning} = this.options;
    const vmId = `e-${index}`;
    const failureDomain = pick(deployment.failureDomains, index);
    const pool = new ServiceTargetPool({
      service: deployment.name,
      failureDomain,
      vmId,
      tuning,
    });
    pool.applyPreset(presetOf(deployment, policy, longLaneShare), VM_CEILING);
    pool.syncTargets(listTargets(deployment), 0);
    pool.setLiveVmCount(VM_COUNT);
    const prober = new BudgetedProbeScheduler({vmId, startMs: 0});
    prober.setBudget(200, VM_CEILING, 0);
    prober.setLiveVms(Array.from({length: VM_COUNT}, (_, vm) => `e-${vm}`));
    return {vmId, failureDomain, pool, prober, queues: [[], []]};
  }

  /** Schedules the next arrival over all VMs. */
  private scheduleArrival(nowMs: number): void {
    const {deployment, loadPercent, durationMs} = this.options;
    const capacityPerMs =
      (deployment.targetCount * deployment.slots) / meanWorkMs(this.options);
    const ratePerMs = (capacityPerMs * loadPercent) / 100;
    const atMs =
      nowMs - Math.log(1 - this.demandRandom.nextFloat()) / ratePerMs;
    if (atMs < durationMs) {
      this.events.add(atMs, () => {
        this.arrive(atMs);
        this.scheduleArrival(atMs);
      });
    }
  }

  private arrive(nowMs: number): void {
    const vm = pick(this.vms, this.demandRandom.nextInt(VM_COUNT));
    const isLong = this.demandRandom.nextFloat() < this.options.longShare;
    const factor = isLong
      ? LONG_MIN_FACTOR + LONG_SPREAD_FACTOR * this.demandRandom.nextFloat()
      : 1;
    const request: Request = {
      arrivedMs: nowMs,
      workMs: factor * lognormal(this.options.serviceMs, this.demandRandom),
      kind: isLong ? LONG_KIND : SHORT_KIND,
    };
    this.offered += nowMs >= WARM_UP_MS ? 1 : 0;
    const queue = vm.queues[isLong ? 1 : 0];
    if (queue.length >= 256) {
      this.countLost(request);
      return;
    }
    queue.push(request);
    this.dispatch(vm, nowMs);
  }

  private countLost(request: Request): void {
    this.lost += request.arrivedMs >= WARM_UP_MS ? 1 : 0;
  }

  /** Sends waiting requests while the pool returns a target. */
  private dispatch(vm: EntryVm, nowMs: number): void {
    for (const queue of vm.queues) {
      for (let request = queue[0]; request !== undefined; request = queue[0]) {
        if (nowMs - request.arrivedMs > TIMEOUT_MS) {
          queue.shift();
          this.countLost(request);
          continue;
        }
        const choice = vm.pool.choose({
          kind: request.kind,
          excludedTargetIds: [],
          nowMs,
          random: this.choiceRandom,
        });
        if (choice.type !== 'target') {
          break;
        }
        queue.shift();
        this.send(vm, request, choice.targetId, nowMs);
      }
    }
  }

  private send(
    vm: EntryVm,
    request: Request,
    targetId: string,
    nowMs: number,
  ): void {
    const target = this.targetOf(targetId);
    vm.pool.onSent(targetId, nowMs);
    this.events.add(nowMs + this.latencyMs(vm, target), atMs => {
      target.waiting.push({request, vm});
      this.startJobs(target, atMs);
    });
  }

  /** Starts waiting jobs while the target has free slots. */
  private startJobs(target: FakeTarget, nowMs: number): void {
    while (target.running < this.options.deployment.slots) {
      const job = target.waiting.shift();
      if (job === undefined) {
        return;
      }
      target.running += 1;
      const endMs = endOfWorkMs(target, job.request.workMs, nowMs);
      this.events.add(endMs, atMs => this.finish(target, job, atMs));
    }
  }

  private finish(target: FakeTarget, job: Job, nowMs: number): void {
    target.running -= 1;
    this.startJobs(target, nowMs);
    const inFlight = target.inFlight;
    const {vm, request} = job;
    const targetId = target.listed.id;
    this.events.add(nowMs + this.latencyMs(vm, target), atMs => {
      vm.pool.onFinished(targetId, 'answered', atMs);
      if (this.options.responseLoad) {
        this.report(vm, targetId, inFlight, atMs, atMs);
      }
      if (request.arrivedMs >= WARM_UP_MS) {
        this.histogram.recordValue(
          Math.round((atMs - request.arrivedMs) * 1_000),
        );
      }
      this.dispatch(vm, atMs);
    });
  }

  private report(
    vm: EntryVm,
    targetId: string,
    inFlight: number,
    measuredMs: number,
    nowMs: number,
  ): void {
    const source = measuredMs === nowMs ? 'response' : 'probe';
    vm.pool.onReport(
      {targetId, source, inFlight, draining: false, measuredMs},
      nowMs,
    );
  }

  /** Sends a due probe and dispatches the queue, as the daemon's tick does. */
  private tick(vm: EntryVm, nowMs: number): void {
    const candidates = vm.pool.statuses(nowMs);
    const targetId = vm.prober.next(candidates, nowMs);
    if (targetId !== undefined) {
      this.probe(vm, this.targetOf(targetId), nowMs);
    }
    this.dispatch(vm, nowMs);
    if (nowMs < this.options.durationMs + 4_000) {
      this.events.add(nowMs + TICK_MS, atMs => this.tick(vm, atMs));
    }
  }

  /** Probes a target; peers receive the result within a few gossip rounds. */
  private probe(vm: EntryVm, target: FakeTarget, nowMs: number): void {
    const latencyMs = this.latencyMs(vm, target);
    this.events.add(nowMs + latencyMs, measuredMs => {
      const inFlight = target.inFlight;
      for (const other of this.vms) {
        const rounds = 1 + this.choiceRandom.nextInt(4);
        const lagMs =
          other === vm
            ? latencyMs
            : rounds * GOSSIP_MS * this.choiceRandom.nextFloat();
        this.events.add(measuredMs + lagMs, atMs =>
          this.report(other, target.listed.id, inFlight, measuredMs, atMs),
        );
      }
    });
  }

  private targetOf(targetId: string): FakeTarget {
    const target = this.targets.get(targetId);
    if (target === undefined) {
      throw new RangeError(`the pool chose unknown target ${targetId}`);
    }
    return target;
  }

  private latencyMs(vm: EntryVm, target: FakeTarget): number {
    return target.listed.failureDomain === vm.failureDomain
      ? LOCAL_LATENCY_MS
      : this.options.deployment.latencyMs;
  }
}

/** Draws the slow phases of one target. */
function drawSlowPhases(
  random: RandomSource,
  durationMs: number,
): readonly SlowPhase[] {
  const phases: SlowPhase[] = [];
  let nowMs = 0;
  while (nowMs < durationMs) {
    const startMs = nowMs - Math.log(1 - random.nextFloat()) * NEIGHBOUR_GAP_MS;
    nowMs =
      startMs + NEIGHBOUR_MIN_MS + NEIGHBOUR_SPREAD_MS * random.nextFloat();
    phases.push({startMs, endMs: nowMs});
  }
  return phases;
}

/** Returns the instant at which work ends, given the slow phases. */
function endOfWorkMs(
  target: FakeTarget,
  workMs: number,
  startMs: number,
): number {
  let nowMs = startMs;
  let leftMs = workMs;
  for (const phase of target.slowPhases) {
    if (phase.endMs <= nowMs) {
      continue;
    }
    const untilPhaseMs = Math.max(phase.startMs - nowMs, 0);
    if (leftMs <= untilPhaseMs) {
      break;
    }
    nowMs += untilPhaseMs;
    leftMs -= untilPhaseMs;
    const doneMs = Math.min(leftMs, (phase.endMs - nowMs) / NEIGHBOUR_FACTOR);
    nowMs += doneMs * NEIGHBOUR_FACTOR;
    leftMs -= doneMs;
  }
  return nowMs + leftMs;
}

/** Returns the mean service time of all requests, without slow phases. */
function meanWorkMs({longShare, serviceMs}: RunOptions): number {
  const longFactor = LONG_MIN_FACTOR + LONG_SPREAD_FACTOR / 2;
  return serviceMs * (1 - longShare + longShare * longFactor);
}

/** Draws the service time of a short request. */
function lognormal(meanMs: number, random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  const normal = radius * Math.cos(2 * Math.PI * random.nextFloat());
  const mu = Math.log(meanMs) - SERVICE_SIGMA ** 2 / 2;
  return Math.exp(mu + SERVICE_SIGMA * normal);
}

/** Returns the element at an index modulo the length. */
function pick<T>(values: readonly T[], index: number): T {
  const value = values[index % values.length];
  if (value === undefined) {
    throw new RangeError('cannot pick from an empty array');
  }
  return value;
}

/** Lists the targets of a deployment. */
function listTargets(deployment: Deployment): readonly ListedVm[] {
  return Array.from({length: deployment.targetCount}, (_, index) => ({
    id: `t-${String(index).padStart(2, '0')}`,
    role: 'target',
    service: deployment.name,
    host: '127.0.0.1',
    port: 9_000 + index,
    failureDomain: pick(deployment.failureDomains, index),
    state: 'live',
  }));
}

/** Builds the preset of the simulated service. */
function presetOf(
  deployment: Deployment,
  routing: RoutingPolicyName,
  longLaneShare: number,
): ServicePreset {
  return {
    name: deployment.name,
    slotsPerTarget: deployment.slots,
    connectionsPerTarget: deployment.connections,
    probeBudgetPerSecond: 200,
    routing,
    longLaneShare,
    maxEjectedShare: 0.3,
    retryBudgetShare: 0.1,
    queueCapacity: 256,
    slowStartMs: 5_000,
    admission: true,
    kinds: [SHORT_KIND, LONG_KIND],
  };
}

/** Formats microseconds as milliseconds. */
function formatMs(micros: number): string {
  return (micros / 1_000).toFixed(1).padStart(8);
}

/** Runs all policies at all loads and prints a table. */
function main(): void {
  const {values} = parseArgs({
    options: {
      seed: {type: 'string', default: '20251'},
      seeds: {type: 'string', default: '1'},
      seconds: {type: 'string', default: '10'},
      loads: {type: 'string', default: '50,70,80,90,100,110'},
      policies: {type: 'string', default: POLICIES.join(',')},
      deployments: {type: 'string', default: 'himali,society'},
      long: {type: 'string', default: '0'},
      lane: {type: 'string', default: '1'},
      'response-load': {type: 'string', default: 'yes'},
      tuning: {type: 'string', default: '{}'},
      'service-ms': {type: 'string', default: '20'},
    },
  });
  const seed = Number(values.seed);
  console.log(
    `routing policies: seed ${seed}, ${values.seeds} seed(s), ` +
      `${values.seconds} s each, long share ${values.long}, lane ${values.lane}, ` +
      `service ${values['service-ms']} ms, ` +
      `load on responses ${values['response-load']}, tuning ${values.tuning}`,
  );
  console.log(
    'deployment load% policy            p50 ms   p99 ms p99.9 ms   lost%',
  );
  const tuning = JSON.parse(values.tuning) as Partial<RoutingTuning>;
  for (const deployment of DEPLOYMENTS) {
    if (!values.deployments.includes(deployment.name)) {
      continue;
    }
    for (const load of values.loads.split(',')) {
      for (const policy of POLICIES) {
        if (!values.policies.split(',').includes(policy)) {
          continue;
        }
        const results = Array.from({length: Number(values.seeds)}, (_, run) =>
          new Simulation({
            deployment,
            policy,
            loadPercent: Number(load),
            seed: seed + 10 * run,
            durationMs: WARM_UP_MS + Number(values.seconds) * 1_000,
            longLaneShare: Number(values.lane),
            longShare: Number(values.long),
            serviceMs: Number(values['service-ms']),
            responseLoad: values['response-load'] === 'yes',
            tuning,
          }).run(),
        );
        printRow(deployment.name, load, policy, results);
      }
    }
  }
}

/** Prints the merged results of several seeds. */
function printRow(
  deployment: string,
  load: string,
  policy: string,
  results: readonly RunResult[],
): void {
  const merged = build({highestTrackableValue: 600_000_000});
  results.forEach(result => merged.add(result.histogram));
  const lost = results.reduce((sum, result) => sum + result.lost, 0);
  const offered = results.reduce((sum, result) => sum + result.offered, 0);
  const percentiles = [50, 99, 99.9].map(percentile =>
    formatMs(merged.getValueAtPercentile(percentile)),
  );
  console.log(
    `${deployment.padEnd(10)} ${load.padStart(5)} ${policy.padEnd(15)} ` +
      `${percentiles.join(' ')} ${((100 * lost) / offered).toFixed(2).padStart(7)}`,
  );
}

main();
