/**
 * Rendezvous hashing (highest random weight).
 *
 * @packageDocumentation
 */
import xxhash from 'xxhash-wasm';

const {h64, h64Raw} = await xxhash();

/**
 * Ranks nodes for a key. Processes with the same set of nodes compute the same
 * ranking, and removing a node does not reorder the others.
 *
 * @param key - key to assign to a node
 * @param nodeIds - candidate nodes, in any order, without duplicates
 * @returns the nodes, highest weight first
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
 * Returns the 64-bit xxHash of a text. Not suitable for cryptography.
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
 * Returns the 64-bit xxHash of bytes. Not suitable for cryptography. Much
 * faster than {@link hashText} for large inputs, since no conversion to text is
 * needed.
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
