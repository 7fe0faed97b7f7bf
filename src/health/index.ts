/**
 * Health of targets: chart, bounded ejection, slow start, drain flags.
 *
 * @packageDocumentation
 */
export {DrainFlags, type DrainRecord} from './drain_flags.js';
export {HealthTable, type HealthSettings} from './health_table.js';
export type {HealthEvent, HealthState} from './target_chart.js';
