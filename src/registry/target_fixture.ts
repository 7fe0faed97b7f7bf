/**
 * Targets for tests and benchmarks.
 *
 * @packageDocumentation
 */
import type {KnownTarget, RegisteredTarget} from './index.js';

/**
 * Builds a target as it registers itself.
 *
 * @param targetId - id of the target
 * @param overrides - fields that differ
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
    bornMs: 1,
    ...overrides,
  };
}

/**
 * Builds a target as a VM knows it.
 *
 * @param targetId - id of the target
 * @param overrides - fields that differ
 * @returns a warm target
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
