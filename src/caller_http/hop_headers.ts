/**
 * Hop-by-hop headers, which a proxy does not pass on (RFC 9110, 7.6.1).
 *
 * @packageDocumentation
 */

/** Header fields as node:http and undici represent them. */
export type HeaderFields = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/** Also stands for the options that name no field. */
const NO_OPTIONS: readonly string[] = [];

/**
 * Copies the end-to-end headers.
 *
 * @param headers - fields with lower-case names
 * @param dropped - further lower-case names to leave out
 * @returns names and values in turn, without hop-by-hop fields, without fields
 *     named by `connection`, and without `dropped`; a flat list costs node:http
 *     and undici less than an object with many keys
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
  const named = connectionOptions(headers['connection']);
  const kept: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name)) {
      continue;
    }
    if (named.includes(name)) {
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

/** Lists the names in a `connection` header, in lower case. */
function connectionOptions(
  value: string | readonly string[] | undefined,
): readonly string[] {
  if (value === undefined || value === 'keep-alive' || value === 'close') {
    return NO_OPTIONS;
  }
  const text = typeof value === 'string' ? value : value.join(',');
  return text.split(',').map(name => name.trim().toLowerCase());
}
