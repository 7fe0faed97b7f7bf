/**
 * Removal of hop-by-hop headers, which a proxy does not forward (RFC 9110,
 * section 7.6.1).
 *
 * @packageDocumentation
 */

/** Header fields as node:http and undici represent them. */
export type HeaderFields = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Terms of a request that a VM passes to a peer; `response` on its response. */
export const RELAY_HEADER = 'sycamorepitch-relay';

/** Time until a request that a VM passes to a peer expires, in milliseconds. */
export const REMAINING_HEADER = 'sycamorepitch-remaining-ms';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  RELAY_HEADER,
  REMAINING_HEADER,
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Used for an absent header, and for options that name no field. */
const NO_NAMES: readonly string[] = [];

/**
 * Returns the end-to-end headers.
 *
 * @param headers - fields with lower-case names
 * @param dropped - further lower-case names to omit
 * @returns alternating names and values, without hop-by-hop fields, fields
 *     named by `connection`, and `dropped`; node:http and undici process a flat
 *     list faster than an object with many keys
 *
 * @example
 * ```ts
 * endToEndHeaders(request.headers, new Set(['host']));
 * ```
 */
export function endToEndHeaders(
  headers: HeaderFields,
  dropped: ReadonlySet<string>,
): string[] {
  const connectionNames = readConnectionNames(headers['connection']);
  const kept: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name)) {
      continue;
    }
    if (connectionNames.includes(name)) {
      continue;
    }
    if (typeof value === 'string') {
      kept.push(name, value);
      continue;
    }
    for (const part of value) {
      kept.push(name, part);
    }
  }
  return kept;
}

/** Returns the names in a `connection` header, in lower case. */
function readConnectionNames(
  value: string | readonly string[] | undefined,
): readonly string[] {
  if (value === undefined || value === 'keep-alive' || value === 'close') {
    return NO_NAMES;
  }
  const text = typeof value === 'string' ? value : value.join(',');
  return text.split(',').map(name => name.trim().toLowerCase());
}
