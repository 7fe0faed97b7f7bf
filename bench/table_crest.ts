/**
 * Prints the table of the crest: a load peak of three times the base load,
 * reached within one second.
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
import {crest, loadPreset, type PresetOverrides} from './fleet_scenario.js';
import {runScenario, type TableOptions} from './policy_run.js';

const WARM_UP_MS = 4_000;
const RISE_MS = 6_000;
const FALL_MS = 10_000;
/** Instant at which the load is back at the base level. */
const BACK_MS = FALL_MS + 1_000;
const END_MS = 15_000;
const BASE_LOAD = 0.5;
const PEAK_FACTOR = 3;
/** Start of the last part of the run, whose goodput must have recovered. */
const AFTER_MS = 12_500;

/** Factor of the level before the crest up to which a value is recovered. */
const RECOVERY_TOLERANCE_FACTOR = 1.25;
/** Queue length of the whole fleet that counts as empty. */
const NEGLIGIBLE_QUEUE_LENGTH = 24;

/** Policies by name; the first is the preset as documented. */
export const CREST_POLICIES: ReadonlyMap<string, PresetOverrides> = new Map([
  ['preset', {}],
  ['no-admission', {admission: false}],
  ['retry-share-1', {retryBudgetShare: 1}],
  ['neither', {admission: false, retryBudgetShare: 1}],
]);

/** Requests that a target queues before it refuses. */
const TARGET_QUEUE_LIMITS: readonly number[] = [0, 4];

/** Options of {@link printCrest}. */
export interface CrestOptions extends TableOptions {
  /** Names of the policies to run. */
  readonly policies: readonly string[];
}

/**
 * Prints goodput and recovery time for each policy and target queue.
 *
 * @param options - deployments and seeds
 */
export function printCrest(options: CrestOptions): void {
  console.log(
    `\nb. crest, preset lunch: load ${BASE_LOAD} x ${PEAK_FACTOR} within 1 s, ` +
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
    for (const targetQueueLimit of TARGET_QUEUE_LIMITS) {
      let baseline: number | undefined;
      for (const [name, overrides] of CREST_POLICIES) {
        if (!options.policies.includes(name)) {
          continue;
        }
        const preset = loadPreset(deployment, 'lunch', overrides);
        const loadAt = crest({
          base: BASE_LOAD,
          factor: PEAK_FACTOR,
          startMs: RISE_MS,
          endMs: FALL_MS,
        });
        const {runs, merged} = runScenario(
          {
            deployment,
            preset,
            targetQueueLimit,
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
        baseline ??= worth;
        table.add(
          deployment.name,
          String(targetQueueLimit),
          name,
          before.toFixed(0),
          meanOf(runs, run => goodput(run, RISE_MS, BACK_MS)).toFixed(0),
          after.toFixed(0),
          formatRatio(after, before),
          formatShare(worth),
          formatRatio(worth, baseline),
          String(merged.retries),
          formatRefusals(merged),
          formatRecovery(runs, slice => percentileMs(slice.latency, 99)),
          formatRecovery(runs, slice =>
            Math.max(slice.waiting, NEGLIGIBLE_QUEUE_LENGTH),
          ),
        );
      }
    }
  }
  table.print();
}

/**
 * Formats the counts of copies refused before an attempt and at the deadline.
 */
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

/** Returns the responses in time per second. */
function goodput(
  figures: FleetFigures,
  fromMs: number,
  untilMs: number,
): number {
  const slices = slicesOf(figures, fromMs, untilMs);
  const answered = slices.reduce((sum, slice) => sum + slice.answered, 0);
  return (answered * 1_000) / (untilMs - fromMs);
}

/** Returns worth answered as a share of worth offered during the crest. */
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

/** Formats the maximum recovery time of a value over the runs. */
function formatRecovery(
  runs: readonly FleetFigures[],
  read: (slice: Slice) => number,
): string {
  const times = runs.map(run => recoveryTimeMs(run, read));
  return times.includes(undefined)
    ? 'never'
    : String(Math.max(...times.map(time => time ?? 0)));
}

/** Returns the time until two slices in a row are at the earlier level. */
function recoveryTimeMs(
  figures: FleetFigures,
  read: (slice: Slice) => number,
): number | undefined {
  const before = slicesOf(figures, WARM_UP_MS, RISE_MS).map(read);
  const bound = Math.max(...before) * RECOVERY_TOLERANCE_FACTOR;
  const after = slicesOf(figures, BACK_MS, END_MS).map(read);
  const index = after.findIndex(
    (value, at) => value <= bound && (after[at + 1] ?? Infinity) <= bound,
  );
  return index < 0 ? undefined : index * SLICE_MS;
}
