/**
 * Runs scenarios for the policy tables with shared options, defaults and
 * checks.
 *
 * @packageDocumentation
 */
import {type FleetFigures, mergeFigures} from './fleet_figures.js';
import type {Deployment, Scenario} from './fleet_scenario.js';
import {simulateFleet} from './fleet_simulation.js';

/** Difference between the seeds of two runs; each run uses four seeds. */
const SEED_STEP = 10;

/** Options that all tables share. */
export interface TableOptions {
  readonly deployments: readonly Deployment[];
  readonly firstSeed: number;
  readonly seedCount: number;
  readonly audit: RunAudit;
}

/** Counts violations of at-most-once execution over all runs. */
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

/** Fields of a scenario that {@link runScenario} does not fill in. */
export type ScenarioFields = Pick<
  Scenario,
  'deployment' | 'preset' | 'endMs' | 'loadAt'
> &
  Partial<Scenario>;

const DEFAULTS = {
  warmUpMs: 4_000,
  longFactor: 35,
  maxCopies: 1,
  targetQueueLimit: 4,
  sharesReports: true,
  reportsOnResponses: true,
  quarantines: true,
  incidents: [],
};

/**
 * Simulates a scenario with each seed.
 *
 * @param fields - the scenario; defaults apply to omitted fields
 * @param options - seeds and audit
 * @returns figures of each run and their merged figures
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
