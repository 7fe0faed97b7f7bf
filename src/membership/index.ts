/**
 * Gossip membership: facts, failure detection and the member table.
 *
 * @packageDocumentation
 */
export * from './types.js';
export {type PeerAddress} from './contact_list.js';
export {FactLimitError, shortIdOf} from './fact_store.js';
export {
  GossipMembership,
  ROUND_MS,
  type GossipMembershipOptions,
} from './gossip_membership.js';
export {ownerIdOf} from './member_table.js';
