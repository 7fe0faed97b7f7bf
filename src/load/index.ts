/**
 * Load tracking and selection of targets.
 *
 * @packageDocumentation
 */
export {
  chooseTarget,
  costOf,
  rankTargets,
  type RequestNeeds,
  type TargetChoice,
} from './choose_target.js';
export {FailureShare} from './failure_share.js';
export {
  expectedDurationMs,
  SPEED_PERIOD_MS,
  type DurationInputs,
} from './forecast.js';
export {LoadBoard, type LoadBoardOptions} from './load_board.js';
export {SLOW_THRESHOLD, SpeedStatistics} from './speed_statistics.js';
export {TargetRecord} from './target_record.js';
export type {
  AvoidedTarget,
  LoadReport,
  TargetForecast,
  TargetOutcome,
} from './types.js';
export {WorkEstimate} from './work_estimate.js';
