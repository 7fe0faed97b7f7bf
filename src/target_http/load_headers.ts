/**
 * Load and drain reports of targets, read from headers and load bodies.
 *
 * @packageDocumentation
 */
import {z} from 'zod';
import type {HeaderFields} from '../caller_http/hop_headers.js';
import type {CarriedReport} from './target_protocol.js';

/** Status of an explicit refusal. */
const REFUSAL_STATUS = 503;

const loadBody = z.object({
  inFlight: z.number().int().nonnegative(),
  draining: z.boolean().default(false),
});

/**
 * Reads the report that a response carries. Ill-formed values count as absent,
 * since load reports of targets may be misleading.
 *
 * @param status - HTTP status code
 * @param headers - fields with lower-case names
 * @returns the report
 *
 * @example
 * ```ts
 * readCarriedReport(503, {'x-target-refused': '1'}).refused; // true
 * ```
 */
export function readCarriedReport(
  status: number,
  headers: HeaderFields,
): CarriedReport {
  const load = headers['x-load-in-flight'];
  const stated = typeof load === 'string' && /^\d{1,9}$/.test(load);
  return {
    refused: status === REFUSAL_STATUS && headers['x-target-refused'] === '1',
    draining: headers['x-target-draining'] === '1',
    inFlight: stated ? Number(load) : undefined,
  };
}

/**
 * Reads the answer to a probe.
 *
 * @param body - JSON text `{"inFlight": n, "slots": n, "draining": bool}`
 * @returns the load, or undefined if the text is not such a report
 */
export function readLoadBody(
  body: string,
): {readonly inFlight: number; readonly draining: boolean} | undefined {
  try {
    const parsed = loadBody.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
