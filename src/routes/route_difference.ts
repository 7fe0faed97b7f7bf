/**
 * Difference between two versions of the published routes.
 *
 * @packageDocumentation
 */
import type {
  CallerBounds,
  RouteConfig,
  RouteRule,
  ServiceRule,
} from './types.js';

/** What changes from one version of the routes to another. */
export interface RouteDifference {
  /** Version that the difference applies to. */
  readonly baseVersion: number;
  readonly version: number;
  /** Keys of routes that are no longer there; see {@link ruleKey}. */
  readonly removedKeys: readonly string[];
  /** Routes that are new or changed. */
  readonly rules: readonly RouteRule[];
  /** All services of the later version. */
  readonly services: readonly ServiceRule[];
  readonly bounds: CallerBounds;
}

/**
 * Returns what identifies a route in its configuration.
 *
 * @param rule - route
 * @returns host and path prefix
 */
export function ruleKey({host, pathPrefix}: RouteRule): string {
  return `${host} ${pathPrefix}`;
}

/**
 * Computes the difference between two versions.
 *
 * @param base - earlier version
 * @param next - later version
 * @returns the difference, with which {@link applyDifference} yields `next`
 */
export function diffRoutes(
  base: RouteConfig,
  next: RouteConfig,
): RouteDifference {
  const remaining = new Map(base.rules.map(rule => [ruleKey(rule), rule]));
  const rules = new Map<string, RouteRule>();
  for (const rule of next.rules) {
    const key = ruleKey(rule);
    const before = remaining.get(key) ?? rules.get(key);
    if (before === undefined || !isSameRule(before, rule)) {
      rules.set(key, rule);
    }
    remaining.delete(key);
  }
  return {
    baseVersion: base.version,
    version: next.version,
    removedKeys: [...remaining.keys()],
    rules: [...rules.values()],
    services: next.services,
    bounds: next.bounds,
  };
}

/**
 * Applies a difference to the version that it was computed from.
 *
 * @param base - version `baseVersion` of the difference
 * @param difference - what changes
 * @returns the later version; undefined if `base` is another version
 */
export function applyDifference(
  base: RouteConfig,
  difference: RouteDifference,
): RouteConfig | undefined {
  const {baseVersion, version, removedKeys, services, bounds} = difference;
  if (base.version !== baseVersion) {
    return undefined;
  }
  const rules = new Map(base.rules.map(rule => [ruleKey(rule), rule]));
  removedKeys.forEach(key => rules.delete(key));
  difference.rules.forEach(rule => rules.set(ruleKey(rule), rule));
  return {version, rules: [...rules.values()], services, bounds};
}

function isSameRule(a: RouteRule, b: RouteRule): boolean {
  return (
    a.name === b.name &&
    a.idempotent === b.idempotent &&
    a.rank === b.rank &&
    a.objectiveMs === b.objectiveMs &&
    a.timeoutMs === b.timeoutMs &&
    a.maxAttempts === b.maxAttempts &&
    a.services.length === b.services.length &&
    a.services.every(({service, weight}, index) => {
      const other = b.services[index];
      return other?.service === service && other.weight === weight;
    })
  );
}
