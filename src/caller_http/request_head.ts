/**
 * The parts of a caller's request head that the daemon acts on.
 *
 * @packageDocumentation
 */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {HeadError} from './caller_protocol.js';

/** Greatest length of an idempotency key. */
const MAX_KEY_LENGTH = 256;

/** What the head of a request says. */
export interface RequestHead {
  readonly service: string;
  /** Path with query, starting with a slash. */
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly attempt: number | undefined;
  /** Remaining time in milliseconds. */
  readonly timeoutMs: number | undefined;
}

/**
 * Reads the head of a request.
 *
 * @param headers - fields with lower-case names
 * @param target - request target of the request line
 * @returns the head, or which field is ill-formed
 *
 * @example
 * ```ts
 * readHead({host: 'growers-desk.example'}, '/book');
 * ```
 */
export function readHead(
  headers: IncomingHttpHeaders,
  target: string,
): Result<RequestHead, HeadError> {
  const path = readPath(target);
  if (path === undefined) {
    return bad('request target: expected a path that starts with "/"');
  }
  const service = readService(headers);
  if (service === undefined) {
    return bad('x-service or host: expected the name of a service');
  }
  const idempotencyKey = singleValue(headers['idempotency-key']);
  if (idempotencyKey === '' || (idempotencyKey?.length ?? 0) > MAX_KEY_LENGTH) {
    return bad(`idempotency-key: expected 1 to ${MAX_KEY_LENGTH} characters`);
  }
  const attempt = readInteger(headers['x-attempt'], 1);
  if (attempt === 'ill-formed') {
    return bad('x-attempt: expected an integer from 1');
  }
  const timeoutMs = readInteger(headers['x-timeout-ms'], 0);
  if (timeoutMs === 'ill-formed') {
    return bad('x-timeout-ms: expected an integer from 0');
  }
  return ok({service, path, idempotencyKey, attempt, timeoutMs});
}

function bad(message: string): Result<RequestHead, HeadError> {
  return err({type: 'bad-head', message});
}

/** Accepts the origin form and, as RFC 9112 demands, the absolute form. */
function readPath(target: string): string | undefined {
  if (target.startsWith('/')) {
    return target;
  }
  const absolute = /^https?:\/\/[^/?#]+(.*)$/i.exec(target)?.[1];
  if (absolute === undefined) {
    return undefined;
  }
  return absolute.startsWith('/') ? absolute : `/${absolute}`;
}

function readService(headers: IncomingHttpHeaders): string | undefined {
  const stated = singleValue(headers['x-service']);
  if (stated !== undefined) {
    return stated.trim() === '' ? undefined : stated.trim();
  }
  const host = headers.host ?? '';
  const label = /^[^.:[\]]+/.exec(host)?.[0];
  return label?.toLowerCase();
}

function readInteger(
  value: string | string[] | undefined,
  minimum: number,
): number | undefined | 'ill-formed' {
  const text = singleValue(value);
  if (text === undefined) {
    return undefined;
  }
  const parsed = /^\d{1,9}$/.test(text) ? Number(text) : -1;
  return parsed >= minimum ? parsed : 'ill-formed';
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}
