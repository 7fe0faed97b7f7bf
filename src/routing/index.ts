/**
 * Load estimation and target selection.
 *
 * @packageDocumentation
 */
export {
  createRoutingPolicy,
  EstimatedLoadPolicy,
  LeastInFlightPolicy,
  RandomPolicy,
  RoundRobinPolicy,
  RoutingPolicy,
  TwoChoicesPolicy,
  type TargetCandidate,
} from './routing_policy.js';
export {
  DEFAULT_ROUTING_TUNING,
  ServiceTargetPool,
  type RoutingTuning,
  type ServiceTargetPoolOptions,
} from './service_target_pool.js';
export * from './types.js';
