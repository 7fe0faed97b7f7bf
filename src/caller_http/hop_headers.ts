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

/**
 * Copies the end-to-end headers.
 *
 * @param headers - fields with lower-case names
 * @param dropped - further lower-case names to leave out
 * @returns a new object without hop-by-hop fields, without fields named by
 *     `connection`, and without `dropped`
 *
 * @example
 * ```ts
 * endToEndHeaders(request.headers, new Set(['host']));
 * ```
 */
export function endToEndHeaders(
  headers: HeaderFields,
  dropped: ReadonlySet<string>,
): Record<string, string | string[]> {
  const named = connectionOptions(headers['connection']);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) {
      continue;
    }
    if (dropped.has(name) || named.includes(name)) {
      continue;
    }
    kept[name] = typeof value === 'string' ? value : [...value];
  }
  return kept;
}

/** Lists the names in a `connection` header, in lower case. */
function connectionOptions(
  value: string | readonly string[] | undefined,
): readonly string[] {
  if (value === undefined) {
    return [];
  }
  const text = typeof value === 'string' ? value : value.join(',');
  return text.split(',').map(name => name.trim().toLowerCase());
}
