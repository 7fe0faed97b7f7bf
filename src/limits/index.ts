/**
 * Limits of one VM: queue, admission, concurrency, connections.
 *
 * @packageDocumentation
 */
export {canFinish, chooseRejected, type AdmissionOptions} from './admission.js';
export {connectionShare} from './connection_share.js';
export {FleetShare, type ServiceLoad} from './fleet_share.js';
export {
  GRANT_VALIDITY_MS,
  GrantDivider,
  type LimitDemand,
  type ReporterPeak,
  type RequestGrant,
} from './grant_divider.js';
export {longLaneTargets} from './long_lane.js';
export {RequestGrants} from './request_grants.js';
export {
  RequestQueue,
  STARVATION_INTERVAL,
  type QueuedRequest,
} from './request_queue.js';
export {ServiceTimeEstimator} from './service_time.js';
export {
  MIN_LIMIT_PER_SECOND,
  readLimit,
  TargetLimits,
  type KnownLimit,
  type LimitChange,
  type LimitStatement,
} from './target_limits.js';
export {ColdAllowance, type ColdTarget} from './cold_allowance.js';
