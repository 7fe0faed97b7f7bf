/**
 * Requests that a VM without links to targets passes to its peers.
 *
 * @packageDocumentation
 */
export {
  RelayPeers,
  type RelayCandidate,
  type RelayOutcome,
  type RelayPeersOptions,
} from './relay_peers.js';
export {
  RelayPolicy,
  type RelayDecision,
  type RelayedProgress,
  type RelayPolicyOptions,
} from './relay_policy.js';
export {
  TargetReachability,
  type ReachabilityChange,
} from './target_reachability.js';
