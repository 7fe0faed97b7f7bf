/**
 * Membership and gossip: facts, failure detection and the table of VMs.
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
