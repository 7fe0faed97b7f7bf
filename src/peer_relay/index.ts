/**
 * HTTP between VMs for requests of which one VM cannot reach the targets.
 *
 * @packageDocumentation
 */
export {RelayCallerProtocol} from './relay_caller_protocol.js';
export {
  decodeRelayHead,
  encodeRelayHead,
  RELAY_HEADER,
  REMAINING_HEADER,
  type RelayHead,
} from './relay_head.js';
export {RelayTargetProtocol} from './relay_target_protocol.js';
