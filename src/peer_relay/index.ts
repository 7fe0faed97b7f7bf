/**
 * HTTP between VMs for requests of which one VM cannot reach the targets.
 *
 * @packageDocumentation
 */
export {RelayCallerProtocol} from './relay_caller_protocol.js';
export {
  decodeRelayHead,
  encodeRelayHead,
  FORWARDED_RESPONSE,
  parseCount,
  type RelayHead,
} from './relay_head.js';
export {RelayTargetProtocol} from './relay_target_protocol.js';
