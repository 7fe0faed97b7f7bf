/**
 * The fleet of entry VMs: members, duties and the spread of changes.
 *
 * @packageDocumentation
 */
export {
  FleetNode,
  type FleetNodeOptions,
  type ReceivedNews,
} from './fleet_node.js';
export {FleetSize} from './fleet_size.js';
export {
  deriveHeads,
  type DomainHeads,
  type HeadView,
  type OwnStanding,
} from './head_view.js';
export {
  compareText,
  MEMBER_DOWN_MS,
  MemberDirectory,
} from './member_directory.js';
export {
  ReadingDuty,
  STALE_AFTER_MS,
  type ReadingInputs,
} from './reading_duty.js';
export type * from './types.js';
