/**
 * Parsers for load and drain reports in response headers and load bodies.
 *
 * @packageDocumentation
 */
import {z} from 'zod';
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {ResponseReport} from './target_protocol.js';

/** Status code of an explicit refusal. */
const REFUSAL_STATUS = 503;

const loadBodySchema = z.object({
  inFlight: z.number().int().nonnegative(),
  draining: z.boolean().default(false),
});

/**
 * Reads the report in the headers of a response. Malformed values are treated
 * as absent, since targets may send misleading load reports.
 *
 * @param status - HTTP status code
 * @param headers - fields with lower-case names
 * @returns the report
 *
 * @example
 * ```ts
 * readResponseReport(503, {'x-target-refused': '1'}).refused; // true
 * ```
 */
export function readResponseReport(
  status: number,
  headers: HeaderFields,
): ResponseReport {
  const inFlightText = headers['x-load-in-flight'];
  const isValid =
    typeof inFlightText === 'string' && /^\d{1,9}$/.test(inFlightText);
  return {
    refused: status === REFUSAL_STATUS && headers['x-target-refused'] === '1',
    draining: headers['x-target-draining'] === '1',
    inFlight: isValid ? Number(inFlightText) : undefined,
  };
}

/**
 * Reads the body of a probe response.
 *
 * @param body - JSON text `{"inFlight": n, "slots": n, "draining": bool}`
 * @returns the load, or undefined if the body is malformed
 */
export function readLoadBody(
  body: string,
): {readonly inFlight: number; readonly draining: boolean} | undefined {
  try {
    const parsed = loadBodySchema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
