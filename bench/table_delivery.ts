/**
 * Prints the outcomes for callers by the source of target loads that VMs use.
 * Options: `--seeds=N` (3 by default), `--loads=asked,oracle` (all by default).
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

/** Sources in the order of the rows. */
const SOURCES: readonly LoadSource[] = ['none', 'reports', 'asked', 'oracle'];

/** Requests per second, for 29 targets of 3 slots and 83 ms of work. */
const RATES: readonly number[] = [150, 300, 450, 600];

/** Routes; callers always retry reads, but orders only if they have not run. */
const ROUTES: readonly ModelRoute[] = [
  {
    name: 'read',
    share: 0.7,
    idempotent: true,
    rank: 2,
    workMs: 76,
    objectiveMs: 250,
    timeoutMs: 1_000,
    deadlineMs: 2_000,
    retries: 2,
    worth: 1,
  },
  {
    name: 'order',
    share: 0.3,
    idempotent: false,
    rank: 1,
    workMs: 100,
    objectiveMs: 300,
    timeoutMs: 1_200,
    deadlineMs: 2_500,
    retries: 2,
    worth: 2,
  },
];

/** Seed of the first run; later seeds follow in steps of 1,000. */
const FIRST_SEED = 7_101;

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '3'},
    loads: {type: 'string', default: SOURCES.join(',')},
  },
});
const seedCount = Number(values.seeds);
const sources = SOURCES.filter(each => values.loads.split(',').includes(each));

function runAll(
  loadSource: LoadSource,
  requestsPerSecond: number,
): readonly DeliveryFigures[] {
  return Array.from({length: seedCount}, (_, index) =>
    new DeliveryModel({
      seed: FIRST_SEED + index * 1_000,
      vmCount: 24,
      targetCount: 29,
      slots: 3,
      kneeShare: 0.8,
      kneeFactor: 1.7,
      routes: ROUTES,
      requestsPerSecond,
      swing: 0.5,
      swingPeriodMs: 15_000,
      durationMs: 15_000,
      loadSource,
      reportIntervalMs: 200,
      probesPerTargetSecond: 50,
      slowShare: 0.35,
      slowFactor: 7,
      slowPeriodMs: 500,
    }).run(),
  );
}

function shareOf(
  runs: readonly DeliveryFigures[],
  read: (figures: DeliveryFigures) => number,
): string {
  const offered = runs.reduce((sum, figures) => sum + figures.offered, 0);
  return formatShare(runs.reduce((sum, each) => sum + read(each), 0) / offered);
}

console.log(
  `24 VMs, 29 targets of 3 slots, 1.7 times slower when full, 83 ms of work, 35 % of the targets 7 times slower for 500 ms, rate swings by half; seeds ${FIRST_SEED} to ${FIRST_SEED + (seedCount - 1) * 1_000}`,
);
const table = new BenchTable([
  'requests/s',
  'loads',
  'worth %',
  'in time %',
  'late %',
  'refused %',
  'failed %',
  'broken off %',
  'probes/request',
]);
for (const rate of RATES) {
  for (const source of sources) {
    const runs = runAll(source, rate);
    const probes = runs.reduce((sum, each) => sum + each.probes, 0);
    const offered = runs.reduce((sum, each) => sum + each.offered, 0);
    table.add(
      String(rate),
      source,
      formatShare(
        runs.reduce((sum, each) => sum + each.worthShare, 0) / runs.length,
      ),
      shareOf(runs, each => each.inTime),
      shareOf(runs, each => each.late),
      shareOf(runs, each => each.refused),
      shareOf(runs, each => each.failed),
      shareOf(runs, each => each.lostAttempts),
      (probes / offered).toFixed(1),
    );
  }
}
table.print();
