/**
 * Facts that must not wait for the next rounds of gossip.
 *
 * @packageDocumentation
 */

/**
 * Key prefixes of urgent facts. Until a crash is known everywhere, each copy of
 * the request that caused it can take down another target; until a drain is
 * known, requests are sent to a target that is about to end.
 */
const URGENT_PREFIXES = ['quarantine/', 'drain/'] as const;

/**
 * Tells whether a fact is sent to all peers at once.
 *
 * @param key - key of a fact
 * @returns true for implications of crashes and for drain signs
 *
 * @example
 * ```ts
 * isUrgentFact('quarantine/0011223344556677'); // true
 * ```
 */
export function isUrgentFact(key: string): boolean {
  return URGENT_PREFIXES.some(prefix => key.startsWith(prefix));
}
