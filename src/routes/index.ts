/**
 * Published routes, their lookup and their division over services.
 *
 * @packageDocumentation
 */
export {
  applyDifference,
  diffRoutes,
  type RouteDifference,
} from './route_difference.js';
export {normalizeHost, RouteTable} from './route_table.js';
export type {
  CallerBounds,
  RouteConfig,
  RouteRule,
  ServiceRule,
  WeightedService,
} from './types.js';
export {WeightedSplit} from './weighted_split.js';
