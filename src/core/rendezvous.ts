/**
 * Rendezvous hashing (highest random weight).
 *
 * @packageDocumentation
 */
import xxhash from 'xxhash-wasm';

const {h64, h64Raw} = await xxhash();

/**
 * Ranks nodes for a key. All processes that know the same nodes compute the
 * same ranking, and removing a node changes the order of no other two.
 *
 * @param key - key to place
 * @param nodeIds - candidate nodes, in any order, without duplicates
 * @returns the nodes, best first
 *
 * @example
 * ```ts
 * const [homeVmId] = rendezvousRank('booking-17', ['e-01', 'e-02']);
 * ```
 */
export function rendezvousRank(
  key: string,
  nodeIds: readonly string[],
): readonly string[] {
  const weighted = nodeIds.map(nodeId => ({
    nodeId,
    weight: h64(`${key}\u0000${nodeId}`),
  }));
  weighted.sort((a, b) => {
    if (a.weight !== b.weight) {
      return a.weight > b.weight ? -1 : 1;
    }
    return a.nodeId < b.nodeId ? -1 : 1;
  });
  return weighted.map(entry => entry.nodeId);
}

/**
 * Hashes text to 16 hexadecimal digits. Not for security.
 *
 * @param text - text to hash
 * @returns 64 bits as hexadecimal digits
 *
 * @example
 * ```ts
 * const fingerprint = hashText('POST /book {"lot":7}');
 * ```
 */
export function hashText(text: string): string {
  return h64(text).toString(16).padStart(16, '0');
}

/**
 * Hashes bytes to 16 hexadecimal digits. Not for security. Much faster than
 * {@link hashText} for long contents, which need no conversion to text.
 *
 * @param bytes - bytes to hash
 * @returns 64 bits as hexadecimal digits
 *
 * @example
 * ```ts
 * const digits = hashBytes(Buffer.from('{"lot":7}'));
 * ```
 */
export function hashBytes(bytes: Uint8Array): string {
  return h64Raw(bytes).toString(16).padStart(16, '0');
}
