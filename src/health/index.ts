/**
 * Target health: state chart, bounded ejection, slow start and drain flags.
 *
 * @packageDocumentation
 */
export {DrainFlags, type DrainRecord} from './drain_flags.js';
export {HealthTable, type HealthSettings} from './health_table.js';
export type {HealthEvent, HealthState} from './target_chart.js';
