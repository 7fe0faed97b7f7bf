/**
 * Fleet of entry VMs: membership, roles and propagation of published changes.
 *
 * @packageDocumentation
 */
export {
  FleetNode,
  type FleetNodeOptions,
  type ReceivedUpdate,
} from './fleet_node.js';
export {FleetSizeEstimator} from './fleet_size.js';
export {
  assignRoles,
  type DomainHeads,
  type FleetRoles,
  type SelfStatus,
} from './fleet_roles.js';
export {
  compareStrings,
  MEMBER_DOWN_MS,
  MemberDirectory,
} from './member_directory.js';
export {
  PublishedReplica,
  type ReplicaUpdate,
  type UpdateSource,
} from './published_replica.js';
export {Reconciliation} from './reconciliation.js';
export {
  StoreReadPlan,
  type PlannedRead,
  type ReaderRole,
} from './store_read_plan.js';
export {
  STALE_AFTER_MS,
  StoreReadPolicy,
  type StoreReadInputs,
} from './store_read_policy.js';
export type * from './types.js';
