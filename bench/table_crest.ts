/**
 * Table of the crest: a threefold swing of the load within one second.
 *
 * @packageDocumentation
 */
import {
  BenchTable,
  formatRatio,
  formatShare,
  percentileMs,
} from './bench_table.js';
import {type FleetFigures, SLICE_MS, type Slice} from './fleet_figures.js';
import {crest, loadPreset, type PresetChange} from './fleet_scenario.js';
import {runScenario, type TableOptions} from './policy_run.js';

const WARM_UP_MS = 4_000;
const RISE_MS = 6_000;
const FALL_MS = 10_000;
/** Instant at which the load is back at its former level. */
const BACK_MS = FALL_MS + 1_000;
const END_MS = 15_000;
const BASE_LOAD = 0.5;
const SWING = 3;
/** The last part of the run, in which goodput must be back. */
const AFTER_MS = 12_500;

/** Tolerance for the return to the level before. */
const BACK_FACTOR = 1.25;
/** Waiting requests of the whole fleet that count as no queue. */
const EMPTY_QUEUE = 24;

export const CREST_POLICIES: ReadonlyMap<string, PresetChange> = new Map([
  ['preset', {}],
  ['no-admission', {admission: false}],
  ['retry-share-1', {retryBudgetShare: 1}],
  ['neither', {admission: false, retryBudgetShare: 1}],
]);

/** Requests that a target queues before it refuses. */
const TARGET_QUEUES: readonly number[] = [0, 4];

/** Options of {@link printCrest}. */
export interface CrestOptions extends TableOptions {
  /** Names of the policies to run. */
  readonly policies: readonly string[];
}

/**
 * Prints goodput and recovery for each policy and kind of target.
 *
 * @param options - deployments and seeds
 */
export function printCrest(options: CrestOptions): void {
  console.log(
    `\nb. crest, preset lunch: load ${BASE_LOAD} x ${SWING} within 1 s, ` +
      `${(FALL_MS - RISE_MS - 1_000) / 1_000} s held; callers send up to 3 copies`,
  );
  console.log(
    'answers in time per second; worth% of the worth offered in the crest; ' +
      'time until p99 and queue of the kinds that are not long are back, ' +
      'from the end of the fall; mean over seeds, worst time',
  );
  const table = new BenchTable([
    'deployment',
    'target queue',
    'policy',
    'before/s',
    'crest/s',
    'after/s',
    'after/before',
    'worth%',
    'worth ratio',
    'retries',
    'refused early/late',
    'p99 back ms',
    'queue back ms',
  ]);
  for (const deployment of options.deployments) {
    for (const targetQueue of TARGET_QUEUES) {
      let first: number | undefined;
      for (const [name, change] of CREST_POLICIES) {
        if (!options.policies.includes(name)) {
          continue;
        }
        const preset = loadPreset(deployment, 'lunch', change);
        const loadAt = crest({
          base: BASE_LOAD,
          factor: SWING,
          startMs: RISE_MS,
          endMs: FALL_MS,
        });
        const {runs, merged} = runScenario(
          {
            deployment,
            preset,
            targetQueue,
            loadAt,
            warmUpMs: WARM_UP_MS,
            endMs: END_MS,
            maxCopies: 3,
          },
          options,
        );
        const before = meanOf(runs, run => goodput(run, WARM_UP_MS, RISE_MS));
        const after = meanOf(runs, run => goodput(run, AFTER_MS, END_MS));
        const worth = meanOf(runs, crestWorth);
        first ??= worth;
        table.add(
          deployment.name,
          String(targetQueue),
          name,
          before.toFixed(0),
          meanOf(runs, run => goodput(run, RISE_MS, BACK_MS)).toFixed(0),
          after.toFixed(0),
          formatRatio(after, before),
          formatShare(worth),
          formatRatio(worth, first),
          String(merged.retries),
          formatRefusals(merged),
          formatBack(runs, slice => percentileMs(slice.latency, 99)),
          formatBack(runs, slice => Math.max(slice.waiting, EMPTY_QUEUE)),
        );
      }
    }
  }
  table.print();
}

/** Copies refused without an attempt, and those whose deadline passed. */
function formatRefusals({refusals}: FleetFigures): string {
  const early = refusals.get('overloaded') ?? 0;
  const late = refusals.get('deadline') ?? 0;
  return `${early}/${late}`;
}

function slicesOf(
  figures: FleetFigures,
  fromMs: number,
  untilMs: number,
): readonly Slice[] {
  return figures.slices.slice(fromMs / SLICE_MS, untilMs / SLICE_MS);
}

/** Answers in time per second. */
function goodput(
  figures: FleetFigures,
  fromMs: number,
  untilMs: number,
): number {
  const slices = slicesOf(figures, fromMs, untilMs);
  const answered = slices.reduce((sum, slice) => sum + slice.answered, 0);
  return (answered * 1_000) / (untilMs - fromMs);
}

/** Worth answered in the crest as a share of the worth that arrived in it. */
function crestWorth(figures: FleetFigures): number {
  const slices = slicesOf(figures, RISE_MS, BACK_MS);
  const served = slices.reduce((sum, slice) => sum + slice.worth, 0);
  const offered = slices.reduce((sum, slice) => sum + slice.worthOffered, 0);
  return served / offered;
}

function meanOf(
  runs: readonly FleetFigures[],
  read: (run: FleetFigures) => number,
): number {
  return runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
}

/** Greatest time over the runs until a figure is back at its former level. */
function formatBack(
  runs: readonly FleetFigures[],
  read: (slice: Slice) => number,
): string {
  const times = runs.map(run => timeUntilBack(run, read));
  return times.includes(undefined)
    ? 'never'
    : String(Math.max(...times.map(time => time ?? 0)));
}

/** Start of the first two slices in a row that are at the level before. */
function timeUntilBack(
  figures: FleetFigures,
  read: (slice: Slice) => number,
): number | undefined {
  const before = slicesOf(figures, WARM_UP_MS, RISE_MS).map(read);
  const bound = Math.max(...before) * BACK_FACTOR;
  const after = slicesOf(figures, BACK_MS, END_MS).map(read);
  const index = after.findIndex(
    (value, at) => value <= bound && (after[at + 1] ?? Infinity) <= bound,
  );
  return index < 0 ? undefined : index * SLICE_MS;
}
