/**
 * Facts that are sent to all peers at once instead of by gossip rounds.
 *
 * @packageDocumentation
 */

/**
 * Key prefixes of urgent facts. Until all VMs receive a crash implication, each
 * copy of the request that caused the crash can crash another target. Until
 * they receive a drain signal, they send requests to a target that is about to
 * shut down.
 */
const URGENT_PREFIXES = ['quarantine/', 'drain/'] as const;

/**
 * Returns whether a fact is sent to all peers at once.
 *
 * @param key - key of a fact
 * @returns true for crash implications and drain signals
 *
 * @example
 * ```ts
 * isUrgentFact('quarantine/0011223344556677'); // true
 * ```
 */
export function isUrgentFact(key: string): boolean {
  return URGENT_PREFIXES.some(prefix => key.startsWith(prefix));
}
