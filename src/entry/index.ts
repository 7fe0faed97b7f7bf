/**
 * The daemon of an entry VM that routes requests by published configuration.
 *
 * @packageDocumentation
 */
export {BufferedOutput} from './buffered_output.js';
export {composeEntry, type EntryOptions} from './composition_root.js';
export {DrainSharing, type DrainSharingOptions} from './drain_sharing.js';
export {EntryDaemon} from './entry_daemon.js';
export {LimitSharing, type LimitSharingOptions} from './limit_sharing.js';
export {LoadSharing, type LoadSharingOptions} from './load_sharing.js';
export {
  ReachabilitySharing,
  type ReachabilityActions,
  type ReachabilitySharingOptions,
} from './reachability_sharing.js';
export type {EntrySettings, ListenAddress} from './settings.js';
