/**
 * Measures the longest single call of an engine in a deep overload: five times
 * the capacity of one VM's share, targets that refuse part of the requests, and
 * the real pool. One call blocks the event loop, and with it every other
 * request of the VM.
 *
 * The number of choices in one call depends on the seed only. Times are
 * wall-clock times and include garbage collection; compare them only on the
 * same machine. The input `sent` does next to nothing and shows the noise.
 *
 * Run: `npm run build && node dist/bench/engine_pause.js [seed] [queue] [refused]`,
 * where `queue` is the queue capacity and `refused` the share of attempts that
 * targets refuse.
 *
 * @packageDocumentation
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {SeededRandom, SystemClock} from '../src/core/index.js';
import {type Effect, RequestEngine} from '../src/engine/index.js';
import {chooseRejected} from '../src/limits/index.js';
import {BudgetedProbeScheduler} from '../src/probing/index.js';
import {FingerprintQuarantine} from '../src/recovery/index.js';
import {
  type ChooseOptions,
  ServiceTargetPool,
  type TargetChoice,
} from '../src/routing/index.js';
import {Demand} from './demand.js';
import {EventQueue} from './event_queue.js';
import {DEPLOYMENTS, loadPreset, type Scenario} from './fleet_scenario.js';

const DEFAULT_SEED = 1;
const DEFAULT_QUEUE_CAPACITY = 256;
const DEFAULT_REFUSED_SHARE = 0.3;
const OVERLOAD_FACTOR = 5;
/** Share of the demand that one of 24 VMs receives. */
const VM_SHARE = 1 / 24;
/** Calls before this instant warm up the compiler and are not counted. */
const WARM_UP_MS = 10_000;
const END_MS = 30_000;
const TICK_MS = 10;
const REJECTION_ROUNDS = 51;

const clock = new SystemClock();
const seed = Number(process.argv[2] ?? DEFAULT_SEED);
const queueCapacity = Number(process.argv[3] ?? DEFAULT_QUEUE_CAPACITY);
const refusedShare = Number(process.argv[4] ?? DEFAULT_REFUSED_SHARE);

/** Target pool that counts its choices. */
class CountingPool extends ServiceTargetPool {
  static choiceCount = 0;

  override choose(options: ChooseOptions): TargetChoice {
    CountingPool.choiceCount += 1;
    return super.choose(options);
  }
}

/** Durations and choices of the calls for one type of input. */
interface InputFigures {
  readonly durationsUs: Histogram;
  maxChoiceCount: number;
}

for (const size of [256, 512, 2_048]) {
  measureRejection(size);
}
for (const deployment of DEPLOYMENTS) {
  const preset = loadPreset(deployment, 'ordinary', {queueCapacity});
  const scenario: Scenario = {
    deployment,
    preset,
    seed,
    warmUpMs: WARM_UP_MS,
    endMs: END_MS,
    loadAt: () => OVERLOAD_FACTOR * VM_SHARE,
    longFactor: 35,
    maxCopies: 1,
    targetQueueLimit: 0,
    sharesReports: false,
    reportsOnResponses: true,
    quarantines: true,
    incidents: [],
  };
  measureCalls(scenario);
}

/** Serves the demand and prints the durations of the calls by input. */
function measureCalls(scenario: Scenario): void {
  const {deployment, preset} = scenario;
  const events = new EventQueue();
  const demand = new Demand(scenario, new SeededRandom({seed}));
  const engine = new RequestEngine({
    vmId: 'e-00',
    incarnationId: 'e-00/b0',
    failureDomain: 'a',
    random: new SeededRandom({seed: seed + 1}),
    createPool: options => new CountingPool(options),
    createScheduler: options => new BudgetedProbeScheduler(options),
    quarantine: new FingerprintQuarantine(),
  });
  const refusals = new SeededRandom({seed: seed + 2});
  const inputs = new Map<string, InputFigures>();
  const workMsByRequest = new Map<string, number>();

  const measureCall = (
    input: string,
    nowMs: number,
    run: () => readonly Effect[],
  ): void => {
    const choicesBefore = CountingPool.choiceCount;
    const startMs = clock.nowMs();
    const effects = run();
    const elapsedUs = (clock.nowMs() - startMs) * 1_000;
    if (nowMs >= WARM_UP_MS) {
      const figures = inputs.get(input) ?? {
        durationsUs: build(),
        maxChoiceCount: 0,
      };
      const choiceCount = CountingPool.choiceCount - choicesBefore;
      figures.durationsUs.recordValue(Math.round(elapsedUs));
      figures.maxChoiceCount = Math.max(figures.maxChoiceCount, choiceCount);
      inputs.set(input, figures);
    }
    effects.forEach(effect => perform(effect, nowMs));
  };
  const perform = (effect: Effect, nowMs: number): void => {
    if (effect.type === 'claim') {
      const {token} = effect.claim;
      const answer = {type: 'granted'} as const;
      events.add(nowMs + 2, atMs =>
        measureCall('claim', atMs, () =>
          engine.onClaimReply({token, answer}, atMs),
        ),
      );
    } else if (effect.type === 'send') {
      const {token, requestId} = effect;
      const refused = refusals.nextFloat() < refusedShare;
      const endMs =
        nowMs + (refused ? 2 : (workMsByRequest.get(requestId) ?? 0));
      measureCall('sent', nowMs, () =>
        engine.onAttemptSignal(token, {type: 'sent'}, nowMs),
      );
      const answer = {
        type: 'response',
        status: refused ? 503 : 200,
        refused,
        draining: false,
        inFlight: 24,
      } as const;
      events.add(endMs, atMs =>
        measureCall('response', atMs, () =>
          engine.onAttemptSignal(token, answer, atMs),
        ),
      );
    }
  };
  const arrive = (nowMs: number): void => {
    const job = demand.draw(nowMs);
    const {request} = demand.createCopy(job, nowMs);
    workMsByRequest.set(request.requestId, job.workMs);
    measureCall('request', nowMs, () => engine.onRequest(request, nowMs));
    const atMs = demand.nextArrivalMs(nowMs);
    if (atMs < END_MS) {
      events.add(atMs, arrive);
    }
  };
  const tick = (nowMs: number): void => {
    measureCall('tick', nowMs, () => engine.onTick(nowMs));
    events.add(nowMs + TICK_MS, tick);
  };

  const vms = Array.from({length: deployment.targetCount}, (_, index) => ({
    id: `t-${index}`,
    role: 'target' as const,
    service: deployment.service,
    host: '10.0.1.1',
    port: 9_000 + index,
    failureDomain: 'a',
    state: 'live' as const,
  }));
  const ids = Array.from({length: 24}, (_, index) => `e-${index + 10}`);
  engine.applyPreset(preset, 0);
  engine.applyVmList({vms}, 0);
  engine.applyMembership({readyVmIds: ['e-00'], liveVmIds: ids}, 0);
  events.add(0, arrive);
  events.add(0, tick);
  events.runUntil(END_MS);
  for (const [input, {durationsUs, maxChoiceCount}] of inputs) {
    const [p50, p99, p999] = [50, 99, 99.9].map(percentile =>
      durationsUs.getValueAtPercentile(percentile),
    );
    console.log(
      `${deployment.name} ${input}: ${durationsUs.totalCount} calls, ` +
        `p50/p99/p99.9/max ${p50}/${p99}/${p999}/${durationsUs.maxValue} us, ` +
        `at most ${maxChoiceCount} choices`,
    );
  }
}

/** Measures rejecting half of a queue at once, as after a drop in capacity. */
function measureRejection(size: number): void {
  const random = new SeededRandom({seed});
  const waiting = Array.from({length: size}, () => ({
    urgent: false,
    worth: random.nextInt(4),
    deadlineMs: 5 * size + random.nextInt(40),
    queuedMs: 0,
    estimatedMs: 20,
  }));
  const options = {nowMs: 0, concurrency: 2, capacity: size, byDeadline: true};
  const durationsUs = build();
  for (let round = 0; round < REJECTION_ROUNDS; round += 1) {
    const startMs = clock.nowMs();
    chooseRejected(waiting, options);
    durationsUs.recordValue(Math.round((clock.nowMs() - startMs) * 1_000));
  }
  console.log(
    `rejection of half of ${size} waiting requests: ` +
      `p50 ${durationsUs.getValueAtPercentile(50)} us`,
  );
}
