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
export {ProbeTokenBucket} from './probe_token_bucket.js';
