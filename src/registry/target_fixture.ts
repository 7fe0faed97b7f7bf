/**
 * Targets for tests and benchmarks.
 *
 * @packageDocumentation
 */
import type {KnownTarget, RegisteredTarget} from './index.js';

/**
 * Builds the registration of a target.
 *
 * @param targetId - id of the target
 * @param overrides - fields that differ from the default
 * @returns an idle target of service `s` in failure domain `a`
 */
export function registeredTarget(
  targetId: string,
  overrides: Partial<RegisteredTarget> = {},
): RegisteredTarget {
  return {
    targetId,
    service: 's',
    host: '127.0.0.1',
    port: 80,
    failureDomain: 'a',
    slots: 6,
    draining: false,
    warmupRemainingMs: 0,
    startedMs: 1,
    ...overrides,
  };
}

/**
 * Builds a known target.
 *
 * @param targetId - id of the target
 * @param overrides - fields that differ from the default
 * @returns a target that is not cold
 */
export function knownTarget(
  targetId: string,
  overrides: Partial<KnownTarget> = {},
): KnownTarget {
  return {
    ...registeredTarget(targetId),
    coldUntilMs: -Infinity,
    ...overrides,
  };
}
