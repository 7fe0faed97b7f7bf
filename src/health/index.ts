/**
 * Target health: state chart, bounded ejection, slow start and drain flags.
 *
 * @packageDocumentation
 */
export {DrainFlags, type DrainRecord} from './drain_flags.js';
export {
  DrainNotices,
  type DrainNotice,
  type TargetStart,
} from './drain_notices.js';
export {HealthTable, type HealthSettings} from './health_table.js';
export type {HealthEvent, HealthState} from './target_chart.js';
