/**
 * Runs of the policy tables: options, defaults and checks that all share.
 *
 * @packageDocumentation
 */
import {type FleetFigures, mergeFigures} from './fleet_figures.js';
import type {Deployment, Scenario} from './fleet_scenario.js';
import {simulateFleet} from './fleet_simulation.js';

/** Distance between the seeds of two runs; each run uses four. */
const SEED_STEP = 10;

/** Options of all tables. */
export interface TableOptions {
  readonly deployments: readonly Deployment[];
  readonly firstSeed: number;
  readonly seedCount: number;
  readonly audit: RunAudit;
}

/** Counts violations of at-most-once over all runs of a program. */
export class RunAudit {
  runCount = 0;
  sendCount = 0;
  doubleRuns = 0;
  notRunThatRan = 0;

  /** Adds the counts of a run. */
  add(figures: FleetFigures): void {
    this.runCount += 1;
    this.sendCount += figures.sends;
    this.doubleRuns += figures.doubleRuns;
    this.notRunThatRan += figures.notRunThatRan;
  }
}

/** Scenario without what {@link runScenario} fills in. */
export type ScenarioFields = Pick<
  Scenario,
  'deployment' | 'preset' | 'endMs' | 'loadAt'
> &
  Partial<Scenario>;

const DEFAULTS = {
  warmUpMs: 4_000,
  longFactor: 35,
  maxCopies: 1,
  targetQueue: 4,
  sharesReports: true,
  reportsOnResponses: true,
  quarantines: true,
  incidents: [],
};

/**
 * Runs a scenario with each seed.
 *
 * @param fields - the scenario
 * @param options - seeds and audit
 * @returns figures of each run, and merged
 */
export function runScenario(
  fields: ScenarioFields,
  options: TableOptions,
): {readonly runs: readonly FleetFigures[]; readonly merged: FleetFigures} {
  const runs = Array.from({length: options.seedCount}, (_, index) => {
    const seed = options.firstSeed + index * SEED_STEP;
    const figures = simulateFleet({...DEFAULTS, ...fields, seed});
    options.audit.add(figures);
    return figures;
  });
  return {runs, merged: mergeFigures(runs)};
}
