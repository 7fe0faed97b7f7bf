/**
 * GET requests on control paths.
 *
 * @packageDocumentation
 */
export {
  httpGet,
  type HttpAnswer,
  type HttpGetError,
  type HttpGetOptions,
} from './http_get.js';
