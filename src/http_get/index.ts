/**
 * GET requests to control endpoints.
 *
 * @packageDocumentation
 */
export {
  httpGet,
  type HttpGetResponse,
  type HttpGetError,
  type HttpGetOptions,
} from './http_get.js';
