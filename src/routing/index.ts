/**
 * Load estimate and choice of a target.
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
  type TargetView,
} from './routing_policy.js';
export {
  DEFAULT_ROUTING_TUNING,
  ServiceTargetPool,
  type RoutingTuning,
  type ServiceTargetPoolOptions,
} from './service_target_pool.js';
export * from './types.js';
