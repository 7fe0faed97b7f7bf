/**
 * Targets, snapshots and deltas for tests and benchmarks.
 *
 * @packageDocumentation
 */
import type {
  KnownTarget,
  PublishedDelta,
  PublishedSnapshot,
  RegisteredTarget,
} from './index.js';

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
    sequence: 1,
    revision: 1,
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

/**
 * Builds a snapshot of the store.
 *
 * @param revision - revision of the snapshot
 * @param overrides - fields that differ from the default
 * @returns a snapshot of era 1 without routes and targets
 */
export function publishedSnapshot(
  revision: number,
  overrides: Partial<PublishedSnapshot> = {},
): PublishedSnapshot {
  return {
    era: 1,
    revision,
    eraAgeMs: 0,
    routes: undefined,
    targets: [],
    departures: [],
    evacuations: [],
    ...overrides,
  };
}

/**
 * Builds changes of the store.
 *
 * @param revision - revision after the changes
 * @param overrides - fields that differ from the default
 * @returns changes of era 1 after the preceding revision
 */
export function publishedDelta(
  revision: number,
  overrides: Partial<PublishedDelta> = {},
): PublishedDelta {
  return {
    afterEra: 1,
    afterRevision: revision - 1,
    era: 1,
    revision,
    changes: [],
    ...overrides,
  };
}
