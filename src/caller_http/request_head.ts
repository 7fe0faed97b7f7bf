/**
 * Parser for request heads of the native caller protocol.
 *
 * @packageDocumentation
 */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {HeadError} from './caller_protocol.js';

/** Maximum length of an idempotency key, in characters. */
const MAX_KEY_LENGTH = 256;

/** Parsed head of a request. */
export interface RequestHead {
  readonly service: string;
  /** Path with query, starting with a slash. */
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  /** The caller's attempt count. */
  readonly attempt: number | undefined;
  /** Time to the deadline. */
  readonly timeoutMs: number | undefined;
}

/**
 * Parses the head of a request.
 *
 * @param headers - fields with lower-case names
 * @param target - request target of the request line
 * @returns the head, or an error that names the malformed field
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
    return invalidHead('request target: expected a path that starts with "/"');
  }
  const service = readService(headers);
  if (service === undefined) {
    return invalidHead('x-service or host: expected the name of a service');
  }
  const idempotencyKey = singleValue(headers['idempotency-key']);
  if (idempotencyKey === '' || (idempotencyKey?.length ?? 0) > MAX_KEY_LENGTH) {
    return invalidHead(
      `idempotency-key: expected 1 to ${MAX_KEY_LENGTH} characters`,
    );
  }
  const attempt = readInteger(headers['x-attempt'], 1);
  if (attempt === 'ill-formed') {
    return invalidHead('x-attempt: expected an integer from 1');
  }
  const timeoutMs = readInteger(headers['x-timeout-ms'], 0);
  if (timeoutMs === 'ill-formed') {
    return invalidHead('x-timeout-ms: expected an integer from 0');
  }
  return ok({service, path, idempotencyKey, attempt, timeoutMs});
}

function invalidHead(message: string): Result<RequestHead, HeadError> {
  return err({type: 'bad-head', message});
}

/** Accepts the origin form and, as RFC 9112 requires, the absolute form. */
function readPath(target: string): string | undefined {
  if (target.startsWith('/')) {
    return target;
  }
  const path = /^https?:\/\/[^/?#]+(.*)$/i.exec(target)?.[1];
  if (path === undefined) {
    return undefined;
  }
  return path.startsWith('/') ? path : `/${path}`;
}

function readService(headers: IncomingHttpHeaders): string | undefined {
  const explicitName = singleValue(headers['x-service']);
  if (explicitName !== undefined) {
    return explicitName.trim() === '' ? undefined : explicitName.trim();
  }
  const host = headers.host ?? '';
  const hostLabel = /^[^.:[\]]+/.exec(host)?.[0];
  return hostLabel?.toLowerCase();
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
