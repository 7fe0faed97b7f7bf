/**
 * Prints the outcomes for callers and the cost of knowing loads by the size of
 * the fleet, at the same load of each target. Options: `--seeds=N` (2 by
 * default), `--vms=20,300` and `--loads=none,asked` (all by default).
 *
 * @packageDocumentation
 */
import {parseArgs} from 'node:util';
import {BenchTable, formatShare} from './bench_table.js';
import {
  DeliveryModel,
  type DeliveryFigures,
  type LoadSource,
  type ModelRoute,
} from './delivery_model.js';

/** Sources of loads: no messages, probes before a send, the truth. */
const SOURCES: readonly LoadSource[] = ['none', 'asked', 'oracle'];

const VM_COUNTS: readonly number[] = [20, 60, 150, 300, 1_000];

const TARGETS_PER_VM = 1.5;
const SLOTS = 6;

/** Requests per second and slot: a quarter of what a slot can do. */
const REQUESTS_PER_SLOT_SECOND = 0.19;

const DURATION_MS = 10_000;

/** Targets from which on members get no full load tables. */
const MAX_TABLE_TARGETS = 46;

const ROUTES: readonly ModelRoute[] = [
  {
    name: 'read',
    share: 0.7,
    idempotent: true,
    rank: 2,
    workMs: 940,
    objectiveMs: 2_500,
    timeoutMs: 5_000,
    deadlineMs: 8_000,
    retries: 1,
    worth: 1,
  },
  {
    name: 'order',
    share: 0.3,
    idempotent: false,
    rank: 1,
    workMs: 1_200,
    objectiveMs: 3_000,
    timeoutMs: 6_000,
    deadlineMs: 10_000,
    retries: 1,
    worth: 2,
  },
];

/** Seed of the first run; later seeds follow in steps of 1,000. */
const FIRST_SEED = 8_101;

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '2'},
    vms: {type: 'string', default: VM_COUNTS.join(',')},
    loads: {type: 'string', default: SOURCES.join(',')},
  },
});
const seedCount = Number(values.seeds);
const sources = SOURCES.filter(each => values.loads.split(',').includes(each));
const vmCounts = values.vms.split(',').map(Number);

function run(
  vmCount: number,
  loadSource: LoadSource,
  seed: number,
): DeliveryFigures {
  const targetCount = Math.round(vmCount * TARGETS_PER_VM);
  return new DeliveryModel({
    seed,
    vmCount,
    targetCount,
    slots: SLOTS,
    kneeShare: 0.8,
    kneeFactor: 1.7,
    routes: ROUTES,
    requestsPerSecond: targetCount * SLOTS * REQUESTS_PER_SLOT_SECOND,
    swing: 0.55,
    swingPeriodMs: 17_000,
    durationMs: DURATION_MS,
    loadSource,
    reportIntervalMs: targetCount <= MAX_TABLE_TARGETS ? 200 : 2 * DURATION_MS,
    probesPerTargetSecond: 36,
    slowShare: 0.25,
    slowFactor: 7,
    slowPeriodMs: 500,
  }).run();
}

function sumOf(
  runs: readonly DeliveryFigures[],
  read: (figures: DeliveryFigures) => number,
): number {
  return runs.reduce((sum, figures) => sum + read(figures), 0);
}

console.log(
  `${TARGETS_PER_VM} targets of ${SLOTS} slots a VM, ${REQUESTS_PER_SLOT_SECOND} requests/s a slot, a quarter of the targets 7 times slower for 500 ms; seeds ${FIRST_SEED} to ${FIRST_SEED + (seedCount - 1) * 1_000}`,
);
const table = new BenchTable([
  'VMs',
  'targets',
  'loads',
  'worth %',
  'in time %',
  'failed %',
  'busiest/mean',
  'connections/request',
  'probes/request',
]);
for (const vmCount of vmCounts) {
  for (const source of sources) {
    const runs = Array.from({length: seedCount}, (_, index) =>
      run(vmCount, source, FIRST_SEED + index * 1_000),
    );
    const offered = sumOf(runs, each => each.offered);
    table.add(
      String(vmCount),
      String(Math.round(vmCount * TARGETS_PER_VM)),
      source,
      formatShare(sumOf(runs, each => each.worthShare) / runs.length),
      formatShare(sumOf(runs, each => each.inTime) / offered),
      formatShare(sumOf(runs, each => each.failed) / offered),
      (sumOf(runs, each => each.busiestFactor) / runs.length).toFixed(1),
      (sumOf(runs, each => each.connections) / offered).toFixed(2),
      (sumOf(runs, each => each.probes) / offered).toFixed(1),
    );
  }
}
table.print();
