/**
 * Selection of the VMs that read the platform.
 *
 * @packageDocumentation
 */
import {rendezvousRank} from '../core/index.js';

/** Key whose ranking selects the readers; the same on all VMs. */
const READER_KEY = 'platform-reader';

/**
 * Selects the VMs that read the platform: the first ceil(log2(n + 1)) of the
 * rendezvous ranking. 24 VMs have 5 readers; a single VM is its own reader.
 *
 * @param liveVmIds - live entry VMs, without duplicates
 * @returns ids of the readers, highest rank first
 *
 * @example
 * ```ts
 * const isReader = selectPlatformReaders(liveVmIds).includes(self.vmId);
 * ```
 */
export function selectPlatformReaders(
  liveVmIds: readonly string[],
): readonly string[] {
  const count = Math.ceil(Math.log2(liveVmIds.length + 1));
  return rendezvousRank(READER_KEY, liveVmIds).slice(0, count);
}
