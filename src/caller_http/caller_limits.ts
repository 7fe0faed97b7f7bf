/**
 * Limits on what callers may hold of a daemon.
 *
 * @packageDocumentation
 */

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
  readonly maxHeadBytes: number;
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  /** Time from the first byte of a request to the last. */
  readonly requestTimeoutMs: number;
  readonly idleTimeoutMs: number;
  /**
   * Connections that are kept. Beyond them, those that have been without a
   * request in service for longest are closed.
   */
  readonly maxConnections: number;
}

/** Descriptors that a process needs for files, ports and its own peers. */
const FILE_DESCRIPTORS = 200;

/**
 * Share of the other descriptors that is left to targets. A request holds its
 * caller's connection for as long as its target's, and callers keep idle ones.
 */
const OWN_CONNECTIONS_SHARE = 1 / 3;

/**
 * Computes how many connections of callers a process keeps.
 *
 * @param maxDescriptors - descriptors that the process may open
 * @returns number of connections
 */
export function maxCallerConnections(maxDescriptors: number): number {
  const count =
    (maxDescriptors - FILE_DESCRIPTORS) * (1 - OWN_CONNECTIONS_SHARE);
  return Math.max(1, Math.floor(count));
}

/**
 * Memory and descriptors of machines whose settings do not tell them: those of
 * the smallest ones that run the daemon.
 */
export const DEFAULT_MEMORY_MB = 285;
export const DEFAULT_MAX_DESCRIPTORS = 3_075;

/** Limits of daemons whose settings do not define any. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeadBytes: 16 * 1024,
  maxBodyBytes: 1024 * 1024,
  headTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 60_000,
  maxConnections: maxCallerConnections(DEFAULT_MAX_DESCRIPTORS),
};
