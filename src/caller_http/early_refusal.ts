/**
 * Refusals of requests before they are passed on.
 *
 * @packageDocumentation
 */
import type {RefusalFields} from './exchange.js';

/**
 * Returns the fields of a refusal of a request that was not passed on.
 *
 * @param status - HTTP status code
 * @param reason - machine-readable cause
 */
export function notRunRefusal(status: number, reason: string): RefusalFields {
  return {status, verdict: 'not-run', reason};
}

/**
 * Formats the response to a request that was malformed or timed out.
 *
 * @param code - code of the parser's error
 * @returns the whole response as text
 */
export function formatParseRefusal(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return formatRefusal(
        431,
        'Request Header Fields Too Large',
        'head-too-large',
      );
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return formatRefusal(408, 'Request Timeout', 'request-timeout');
    default:
      return formatRefusal(400, 'Bad Request', 'bad-request');
  }
}

/**
 * Formats a response that closes the connection.
 *
 * @param status - HTTP status code
 * @param statusText - reason phrase
 * @param reason - machine-readable cause
 * @returns the whole response as text
 */
export function formatRefusal(
  status: number,
  statusText: string,
  reason: string,
): string {
  const body = `${JSON.stringify({verdict: 'not-run', reason})}\n`;
  return [
    `HTTP/1.1 ${status} ${statusText}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'x-verdict: not-run',
    `x-refusal-reason: ${reason}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
