/**
 * Order of positions in the history of the store.
 *
 * @packageDocumentation
 */
import type {StorePosition} from './types.js';

/**
 * Compares two positions: era, then revision.
 *
 * @param a - first position
 * @param b - second position
 * @returns a negative number if `a` is older, 0 if equal, else a positive one
 *
 * @example
 * ```ts
 * const isAhead = comparePositions(peer, own) > 0;
 * ```
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}
