/**
 * Table: what callers get by the way in which VMs learn the loads of targets.
 * Arguments: `--seeds=N` (3 by default).
 *
 * @packageDocumentation
 */
import {parseArgs} from 'node:util';
import {BenchTable, formatShare} from './bench_table.js';
import {
  DeliveryModel,
  type DeliveryFigures,
  type LoadSource,
} from './delivery_model.js';

/** Ways in the order of the rows. */
const SOURCES: readonly LoadSource[] = ['none', 'reports', 'asked', 'oracle'];

/** Requests a second, for 29 targets of 3 slots and 83 ms of work. */
const RATES: readonly number[] = [150, 300, 450, 600];

/** First seed; the others follow. */
const FIRST_SEED = 7_101;

const {values} = parseArgs({options: {seeds: {type: 'string', default: '3'}}});
const seedCount = Number(values.seeds);

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
      workMs: 83,
      objectiveMs: 250,
      requestsPerSecond,
      durationMs: 15_000,
      loadSource,
      reportIntervalMs: 200,
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
  const asked = runs.reduce((sum, figures) => sum + figures.asked, 0);
  return formatShare(runs.reduce((sum, each) => sum + read(each), 0) / asked);
}

console.log(
  `24 VMs, 29 targets of 3 slots, 83 ms of work, 35 % of the targets 7 times slower for 500 ms; seeds ${FIRST_SEED} to ${FIRST_SEED + (seedCount - 1) * 1_000}`,
);
const table = new BenchTable([
  'requests/s',
  'loads',
  'in time %',
  'late %',
  'refused %',
  'failed %',
  'broken off %',
  'probes/request',
]);
for (const rate of RATES) {
  for (const source of SOURCES) {
    const runs = runAll(source, rate);
    const probes = runs.reduce((sum, each) => sum + each.probes, 0);
    const asked = runs.reduce((sum, each) => sum + each.asked, 0);
    table.add(
      String(rate),
      source,
      shareOf(runs, each => each.inTime),
      shareOf(runs, each => each.late),
      shareOf(runs, each => each.refused),
      shareOf(runs, each => each.failed),
      shareOf(runs, each => each.brokenOff),
      (probes / asked).toFixed(1),
    );
  }
}
table.print();
