/**
 * Measures the time per request of choosing a target and recording the attempt
 * (choose, onSent, onReport, onFinished) in a pool of 30 targets, the size of
 * the largest service in use, without the engine and without sockets.
 *
 * Run: `npm run build && node dist/bench/choose_cost.js [seed]`
 *
 * @packageDocumentation
 */
import {performance} from 'node:perf_hooks';
import {hashText, SeededRandom} from '../src/core/index.js';
import type {KindPreset, ListedVm, ServicePreset} from '../src/preset/index.js';
import {ServiceTargetPool} from '../src/routing/index.js';

const ROUNDS = 9;
const REQUESTS_PER_ROUND = 50_000;
const TARGET_COUNT = 30;
const MAX_OPEN_REQUESTS = 40;
const MICROSECONDS_PER_MS = 1_000;

const kind = {name: 'lookup', long: false, urgent: false} as KindPreset;
const preset = {
  slotsPerTarget: 3,
  connectionsPerTarget: 350,
  routing: 'estimated-load',
  longLaneShare: 0.5,
  maxEjectedShare: 0.3,
  slowStartMs: 5_000,
} as ServicePreset;

function createPool(): ServiceTargetPool {
  const pool = new ServiceTargetPool({
    service: 'orders-desk',
    failureDomain: 'a',
    vmId: 'e-01',
  });
  const targets = Array.from({length: TARGET_COUNT}, (_, i): ListedVm => {
    const id = `t-${String(i).padStart(2, '0')}`;
    const failureDomain = 'abc'[i % 3] ?? 'a';
    return {
      id,
      role: 'target',
      service: 'orders-desk',
      host: '127.0.0.1',
      port: 1,
      failureDomain,
      state: 'live',
    };
  });
  pool.applyPreset(preset, 30);
  pool.setLiveVmCount(1);
  pool.syncTargets(targets, 0);
  return pool;
}

const seed = Number(process.argv[2] ?? 42);
const random = new SeededRandom({seed});
const pool = createPool();
const openTargetIds: string[] = [];
const choices: string[] = [];
const roundCostsUs: number[] = [];
let nowMs = 0;
for (let round = 0; round < ROUNDS; round++) {
  const startMs = performance.now();
  for (let i = 0; i < REQUESTS_PER_ROUND; i++) {
    nowMs += 1;
    const choice = pool.choose({kind, excludedTargetIds: [], nowMs, random});
    if (choice.type === 'target') {
      pool.onSent(choice.targetId, nowMs);
      openTargetIds.push(choice.targetId);
    }
    if (round === 0) {
      choices.push(choice.type === 'target' ? choice.targetId : choice.type);
    }
    if (openTargetIds.length > MAX_OPEN_REQUESTS) {
      const targetId = openTargetIds.shift() ?? '';
      const inFlight = random.nextInt(3);
      pool.onReport(
        {
          targetId,
          source: 'response',
          inFlight,
          draining: false,
          measuredMs: nowMs,
        },
        nowMs,
      );
      pool.onFinished(targetId, 'answered', nowMs);
    }
  }
  const elapsedMs = performance.now() - startMs;
  roundCostsUs.push((elapsedMs * MICROSECONDS_PER_MS) / REQUESTS_PER_ROUND);
}
const sorted = [...roundCostsUs].sort((a, b) => a - b);
const rounds = roundCostsUs.map(us => us.toFixed(2)).join(' ');
process.stdout.write(
  `seed ${seed}, ${TARGET_COUNT} targets, ${ROUNDS} rounds of ${REQUESTS_PER_ROUND} requests\n` +
    `rounds: ${rounds} us\nmedian: ${sorted[sorted.length >> 1]?.toFixed(2)} us per request\n` +
    `hash of the choices in the first round: ${hashText(choices.join(' '))}\n`,
);
