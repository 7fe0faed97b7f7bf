/**
 * Prints the table of the probe budget and the freshness of load reports.
 *
 * @packageDocumentation
 */
import {BenchTable, formatPercentiles, formatRatio} from './bench_table.js';
import {
  crest,
  type Incident,
  loadPreset,
  type Scenario,
} from './fleet_scenario.js';
import {runScenario, type TableOptions} from './policy_run.js';

const END_MS = 18_000;
const CALM_LOAD = 0.25;

/** Length of the window to which the probe budget applies. */
const WINDOW_MS = 10_000;

/** Replaces half of the VMs, one after another. */
const REPLACEMENTS: readonly Incident[] = Array.from({length: 12}, (_, vm) => ({
  type: 'replace-vm',
  atMs: 5_000 + 1_000 * vm,
  vm,
}));

const SPLIT: Incident = {type: 'split', atMs: 5_000, untilMs: 16_000};

/** Overrides of the scenario by name of the situation. */
const SITUATIONS: ReadonlyMap<string, Partial<Scenario>> = new Map([
  ['calm', {}],
  ['calm, no response loads', {reportsOnResponses: false}],
  [
    'crest',
    {
      loadAt: crest({
        base: CALM_LOAD,
        factor: 6,
        startMs: 8_000,
        endMs: 11_000,
      }),
    },
  ],
  ['VMs replaced', {incidents: REPLACEMENTS}],
  ['fleet split', {incidents: [SPLIT]}],
]);

/**
 * Prints the number of probes and the budget, and the age of the chosen
 * target's newest report at the time of the choice.
 *
 * @param options - deployments and seeds
 */
export function printProbes(options: TableOptions): void {
  console.log(
    `\nc. probes at the targets, load ${CALM_LOAD}, preset ordinary; ` +
      'maximum in 10 s over seeds; report age p50/p99 ms',
  );
  const table = new BenchTable([
    'deployment',
    'situation',
    'reports',
    'probes in 10 s',
    'budget',
    'use',
    'age p50/p99',
    'p99 ratio',
  ]);
  for (const deployment of options.deployments) {
    const preset = loadPreset(deployment, 'ordinary');
    const service = preset.services.get(deployment.service);
    const budget = ((service?.probeBudgetPerSecond ?? 0) * WINDOW_MS) / 1_000;
    for (const [name, fields] of SITUATIONS) {
      let baseline: number | undefined;
      const isCompared = name.startsWith('calm') || name === 'crest';
      for (const sharesReports of isCompared ? [true, false] : [true]) {
        const {runs, merged} = runScenario(
          {
            deployment,
            preset,
            endMs: END_MS,
            loadAt: () => CALM_LOAD,
            maxCopies: 2,
            sharesReports,
            ...fields,
          },
          options,
        );
        const probes = Math.max(
          ...runs.map(run => maxCountInWindow(run.probedMs)),
        );
        const ageP99 = merged.reportAge.getValueAtPercentile(99);
        baseline ??= ageP99;
        table.add(
          deployment.name,
          name,
          sharesReports ? 'shared' : 'not shared',
          String(probes),
          String(budget),
          formatRatio(probes, budget),
          formatPercentiles(merged.reportAge, [50, 99]),
          formatRatio(ageP99, baseline),
        );
      }
    }
  }
  table.print();
}

/** Returns the maximum number of instants in any window of 10 s. */
function maxCountInWindow(instantsMs: readonly number[]): number {
  let maxCount = 0;
  let start = 0;
  instantsMs.forEach((instantMs, end) => {
    while ((instantsMs[start] ?? instantMs) <= instantMs - WINDOW_MS) {
      start += 1;
    }
    maxCount = Math.max(maxCount, end - start + 1);
  });
  return maxCount;
}
