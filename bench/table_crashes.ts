/**
 * Prints the table of requests that crash each target that starts them.
 *
 * @packageDocumentation
 */
import {BenchTable, formatShare} from './bench_table.js';
import {worthShare} from './fleet_figures.js';
import {type Incident, loadPreset} from './fleet_scenario.js';
import {runScenario, type TableOptions} from './policy_run.js';

const END_MS = 10_000;
const LOAD = 0.4;

/** Poisoned request, two draining targets and the replacement of a VM. */
const INCIDENTS: readonly Incident[] = [
  {type: 'poison', atMs: 4_500},
  {type: 'drain', atMs: 5_000, target: 3},
  {type: 'drain', atMs: 5_500, target: 11},
  {type: 'replace-vm', atMs: 6_000, vm: 5},
];

/**
 * Prints the number of targets that one poisoned request crashes before all VMs
 * refuse it.
 *
 * @param options - deployments and seeds
 */
export function printCrashes(options: TableOptions): void {
  console.log(
    `\nd. one request that crashes targets, its caller sends up to 40 copies, ` +
      `load ${LOAD}; two targets drain, one VM is replaced`,
  );
  const table = new BenchTable([
    'deployment',
    'policy',
    'targets taken down, by seed',
    'worth%',
    'double runs',
  ]);
  for (const deployment of options.deployments) {
    for (const quarantines of [true, false]) {
      const {runs, merged} = runScenario(
        {
          deployment,
          preset: loadPreset(deployment, 'ordinary'),
          endMs: END_MS,
          loadAt: () => LOAD,
          maxCopies: 3,
          incidents: INCIDENTS,
          quarantines,
        },
        options,
      );
      table.add(
        deployment.name,
        quarantines ? 'quarantine' : 'no quarantine',
        runs.map(run => run.crashes).join(' '),
        formatShare(worthShare(merged)),
        String(merged.doubleRuns),
      );
    }
  }
  table.print();
}
