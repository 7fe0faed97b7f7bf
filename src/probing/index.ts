/**
 * Load probes of targets within a budget.
 *
 * @packageDocumentation
 */
export {
  BudgetedProbeScheduler,
  type BudgetedProbeSchedulerOptions,
} from './budgeted_probe_scheduler.js';
export * from './types.js';
export {ProbeAllowance} from './probe_allowance.js';
