/**
 * GET requests to control endpoints.
 *
 * @packageDocumentation
 */
export {
  httpGet,
  MAX_BODY_BYTES,
  type HttpGetError,
  type HttpGetOptions,
  type HttpGetResponse,
} from './http_get.js';
