/**
 * Compares policies under load: 24 request engines with their real pools,
 * schedulers, quarantines, claim tables and membership run against simulated
 * targets in simulated time. The figures depend on the seed only, not on the
 * load of the machine.
 *
 * Arrivals are open-loop (Poisson), and a request without a response counts
 * with its timeout, so there is no coordinated omission. Load 1 is the capacity
 * of all slots for the mix of kinds, less what neighbours take. Service times
 * are lognormal.
 *
 * Usage: `node dist/bench/engine_policies.js [options]`; see `main` for the
 * options and their defaults.
 *
 * @packageDocumentation
 */
import {parseArgs} from 'node:util';
import {DEPLOYMENTS} from './fleet_scenario.js';
import {RunAudit} from './policy_run.js';
import {printCrashes} from './table_crashes.js';
import {CREST_POLICIES, printCrest} from './table_crest.js';
import {HEAD_OF_LINE_POLICIES, printHeadOfLine} from './table_head_of_line.js';
import {printProbes} from './table_probes.js';

function main(): void {
  const {values} = parseArgs({
    options: {
      tables: {type: 'string', default: 'abcd'},
      seed: {type: 'string', default: '1'},
      seeds: {type: 'string', default: '1'},
      deployments: {type: 'string', default: 'himali,society'},
      loads: {type: 'string', default: '70,85,95'},
      long: {type: 'string', default: '20,35,50'},
      policies: {
        type: 'string',
        default: [
          ...HEAD_OF_LINE_POLICIES.keys(),
          ...CREST_POLICIES.keys(),
        ].join(','),
      },
    },
  });
  const audit = new RunAudit();
  const names = values.deployments.split(',');
  const options = {
    deployments: DEPLOYMENTS.filter(({name}) => names.includes(name)),
    firstSeed: Number(values.seed),
    seedCount: Number(values.seeds),
    audit,
  };
  console.log(`engine policies: seed ${values.seed}, ${values.seeds} seed(s)`);
  if (values.tables.includes('a')) {
    printHeadOfLine({
      ...options,
      loads: values.loads.split(',').map(Number),
      policies: values.policies.split(','),
      longFactors: values.long.split(',').map(Number),
    });
  }
  if (values.tables.includes('b')) {
    printCrest({...options, policies: values.policies.split(',')});
  }
  if (values.tables.includes('c')) {
    printProbes(options);
  }
  if (values.tables.includes('d')) {
    printCrashes(options);
  }
  console.log(
    `\ne. at most once, all ${audit.runCount} runs, ${audit.sendCount} attempts: ` +
      `${audit.doubleRuns} double runs, ` +
      `${audit.notRunThatRan} requests reported not-run that ran`,
  );
}

main();
