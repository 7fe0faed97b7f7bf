/**
 * Headers of requests that a VM passes to a peer, and of the peer's responses.
 *
 * @packageDocumentation
 */
import {err, ok, type Result} from 'neverthrow';
import {RELAY_HEADER, type HeadError} from '../caller_http/index.js';
import type {InstantMs} from '../core/index.js';
import type {RelayTerms, RoutedRequest} from '../delivery/index.js';

/** Value of `RELAY_HEADER` on the response of a target. */
export const FORWARDED_RESPONSE = 'response';

/** Terms of a relayed request as they are sent. */
export interface RelayHead extends RelayTerms {
  /** IP address of the caller. */
  readonly callerAddress: string;
  /** Time from the arrival at the first VM until the request expires. */
  readonly lifetimeMs: number;
}

/**
 * Encodes the terms of a request.
 *
 * @param request - request of a caller
 * @param terms - terms under which the peer may send it
 * @param expiresMs - instant at which it expires
 * @returns value of `RELAY_HEADER`
 */
export function encodeRelayHead(
  {callerAddress, arrivedMs}: RoutedRequest,
  {maxAttempts, isCounted, routesVersion}: RelayTerms,
  expiresMs: InstantMs,
): string {
  return new URLSearchParams({
    caller: callerAddress,
    lifetime: String(Math.round(expiresMs - arrivedMs)),
    attempts: String(maxAttempts),
    counted: isCounted ? '1' : '0',
    routes: String(routesVersion),
  }).toString();
}

/**
 * Decodes the terms of a request.
 *
 * @param text - value of `RELAY_HEADER`
 * @returns the terms, or an error that names the invalid field
 */
export function decodeRelayHead(text: string): Result<RelayHead, HeadError> {
  const fields = new URLSearchParams(text);
  const lifetimeMs = readCount(fields, 'lifetime');
  const maxAttempts = readCount(fields, 'attempts');
  const routesVersion = readCount(fields, 'routes');
  const callerAddress = fields.get('caller');
  const counted = fields.get('counted');
  if (lifetimeMs === undefined) {
    return badField('lifetime');
  }
  if (maxAttempts === undefined || maxAttempts < 1) {
    return badField('attempts');
  }
  if (routesVersion === undefined) {
    return badField('routes');
  }
  if (callerAddress === null) {
    return badField('caller');
  }
  if (counted !== '0' && counted !== '1') {
    return badField('counted');
  }
  const isCounted = counted === '1';
  return ok({callerAddress, lifetimeMs, maxAttempts, isCounted, routesVersion});
}

/** Parses a whole number; undefined if it is none. */
export function parseCount(
  text: string | readonly string[] | null | undefined,
): number | undefined {
  return typeof text === 'string' && /^\d{1,15}$/.test(text)
    ? Number(text)
    : undefined;
}

function readCount(fields: URLSearchParams, name: string): number | undefined {
  return parseCount(fields.get(name));
}

function badField(name: string): Result<never, HeadError> {
  const message = `${RELAY_HEADER}: ${name} is missing or malformed`;
  return err({type: 'bad-head', message});
}
