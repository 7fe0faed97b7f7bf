/**
 * Prints the table of head-of-line blocking: short requests behind long ones.
 *
 * @packageDocumentation
 */
import {
  BenchTable,
  formatPercentiles,
  formatRatio,
  formatShare,
  percentileMs,
} from './bench_table.js';
import {type FleetFigures, worthShare} from './fleet_figures.js';
import {loadPreset, type PresetOverrides} from './fleet_scenario.js';
import {runScenario, type TableOptions} from './policy_run.js';

const END_MS = 9_000;

/** Policies by name; the first is the preset as documented. */
export const HEAD_OF_LINE_POLICIES: ReadonlyMap<string, PresetOverrides> =
  new Map([
    ['preset', {}],
    ['no-lane', {longLaneShare: 1}],
    ['no-urgency', {urgency: false}],
    ['no-priority', {urgency: false, worth: false}],
  ]);

/** Options of {@link printHeadOfLine}. */
export interface HeadOfLineOptions extends TableOptions {
  readonly longFactors: readonly number[];
  readonly loads: readonly number[];
  /** Names of the policies to run. */
  readonly policies: readonly string[];
}

/**
 * Prints latency and worth by kind for each load and factor.
 *
 * @param options - deployments, seeds, loads in percent and factors
 */
export function printHeadOfLine(options: HeadOfLineOptions): void {
  console.log('\na. head-of-line blocking, preset ordinary');
  console.log('p50/p99/p99.9 ms; % = worth in time of the worth offered');
  for (const deployment of options.deployments) {
    const kinds = deployment.mix.map(({kind}) => kind);
    const table = new BenchTable([
      'deployment',
      'long',
      'load%',
      'policy',
      ...kinds.flatMap(kind => [kind, '%']),
      'all%',
      `${kinds[1]} p99.9 ratio`,
    ]);
    for (const longFactor of options.longFactors) {
      for (const load of options.loads) {
        let baseline: number | undefined;
        for (const [name, overrides] of HEAD_OF_LINE_POLICIES) {
          const preset = loadPreset(deployment, 'ordinary', overrides);
          const isDuplicate =
            name === 'no-urgency' && deployment.urgentKind === undefined;
          if (isDuplicate || !options.policies.includes(name)) {
            continue;
          }
          const {merged} = runScenario(
            {
              deployment,
              preset,
              longFactor,
              endMs: END_MS,
              loadAt: () => load / 100,
            },
            options,
          );
          const tailMs = secondTailMs(merged, kinds);
          baseline ??= tailMs;
          table.add(
            deployment.name,
            `x${longFactor}`,
            String(load),
            name,
            ...kinds.flatMap(kind => kindCells(merged, kind)),
            formatShare(worthShare(merged)),
            formatRatio(tailMs, baseline),
          );
        }
      }
    }
    table.print();
  }
}

/** Returns p99.9 of the second kind: `kiln-check` or `stock-check`. */
function secondTailMs(figures: FleetFigures, kinds: readonly string[]): number {
  const second = figures.kinds.get(kinds[1] ?? '');
  return second === undefined ? 0 : percentileMs(second.latency, 99.9);
}

function kindCells(figures: FleetFigures, name: string): readonly string[] {
  const kind = figures.kinds.get(name);
  return kind === undefined
    ? ['-', '-']
    : [
        formatPercentiles(kind.latency),
        formatShare(kind.inTime / kind.offered),
      ];
}
