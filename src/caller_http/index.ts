/**
 * HTTP server for callers.
 *
 * @packageDocumentation
 */
export {
  DEFAULT_CALLER_LIMITS,
  DEFAULT_MAX_DESCRIPTORS,
  DEFAULT_MEMORY_MB,
  maxCallerConnections,
  type CallerLimits,
} from './caller_limits.js';
export {
  CallerServer,
  type CallerListener,
  type CallerServerOptions,
  type ProtectionReason,
} from './caller_server.js';
export {
  CallerProtocol,
  type HeadError,
  type IdentifiedRequest,
  type ReceivedBody,
  type ReceivedHead,
  type RequestBuilder,
} from './caller_protocol.js';
export {NativeCallerProtocol} from './native_caller_protocol.js';
export {Exchange, type Refusal} from './exchange.js';
export {ProtectionCounts} from './protection_counts.js';
export {
  endToEndHeaders,
  RELAY_HEADER,
  REMAINING_HEADER,
  type HeaderFields,
} from './hop_headers.js';
