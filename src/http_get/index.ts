/**
 * GET requests to control endpoints.
 *
 * @packageDocumentation
 */
export {
  httpGet,
  type HttpGetError,
  type HttpGetOptions,
  type HttpGetResponse,
} from './http_get.js';
