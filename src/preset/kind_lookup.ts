/**
 * Lookup of a request's kind by method and path.
 *
 * A prefix matches whole path segments: `/book` matches `/book`, `/book/7` and
 * `/book?lot=7`, but not `/bookkeeping`, which may be a different operation.
 * Paths with dot segments match no kind, because a target may resolve
 * `/price/../book` to a path of another kind and run it twice.
 *
 * @packageDocumentation
 */
import {normalizePrefix} from './parse_config.js';
import type {KindPreset, ServicePreset} from './types.js';

/** Matches the path segments `.` and `..`, percent-encoded ones included. */
const DOT_SEGMENT = /(^|[/\\]|%2f|%5c)(\.|%2e){1,2}($|[/\\]|%2f|%5c)/i;

/**
 * Finds the kind with the matching method and the longest matching prefix.
 *
 * @param service - service of the request
 * @param method - HTTP method in upper case
 * @param path - path with or without query
 * @returns the kind; undefined if none matches
 *
 * @example
 * ```ts
 * const kind = findKind(service, 'POST', '/book/7?half=1');
 * ```
 */
export function findKind(
  service: ServicePreset,
  method: string,
  path: string,
): KindPreset | undefined {
  const queryStart = path.search(/[?#]/);
  const plainPath = queryStart === -1 ? path : path.slice(0, queryStart);
  if (DOT_SEGMENT.test(plainPath)) {
    return undefined;
  }
  let best: KindPreset | undefined;
  let bestLength = -1;
  for (const kind of service.kinds) {
    const prefix = normalizePrefix(kind.pathPrefix);
    if (
      kind.method === method &&
      prefix.length > bestLength &&
      matchesSegments(plainPath, prefix)
    ) {
      best = kind;
      bestLength = prefix.length;
    }
  }
  return best;
}

/** Returns true if the path equals the prefix or continues it with a slash. */
function matchesSegments(path: string, prefix: string): boolean {
  return (
    path.startsWith(prefix) &&
    (path.length === prefix.length || path[prefix.length] === '/')
  );
}
