/**
 * HTTP server for callers.
 *
 * @packageDocumentation
 */
export {
  CallerServer,
  DEFAULT_CALLER_LIMITS,
  type CallerLimits,
  type CallerListener,
  type CallerServerOptions,
} from './caller_server.js';
export {Exchange, type Refusal} from './exchange.js';
export {endToEndHeaders, type HeaderFields} from './hop_headers.js';
