/**
 * Subset of the targets of a large service that one VM uses.
 *
 * Answers two loads. With thousands of pairs of VMs and targets, a VM that uses
 * all targets hardly ever meets a connection again before it expires, and has to
 * be told the load of each target by a peer, at a cost that grows with the
 * product of both. With a subset, its connections, its knowledge and the
 * messages that it needs stay constant.
 *
 * @packageDocumentation
 */
import {hashText} from '../core/index.js';

/** Number of targets up to which a VM uses all of a service. */
export const MAX_UNDIVIDED_COUNT = 48;

/** Targets in a subset. */
const SUBSET_SIZE = 32;

/**
 * Targets of other failure domains in a subset, which serve while those of the
 * VM's own domain are full or lost.
 */
const MIN_REMOTE_COUNT = 8;

/** Candidate for a subset. */
export interface SubsetCandidate {
  readonly isLocalDomain: boolean;
  /** Rank of the target for this VM; see {@link subsetRank}. */
  readonly rank: string;
}

/**
 * Computes the rank of a target for a VM, which is independent of all other VMs
 * and targets. So a target that comes or goes changes few subsets, by one target
 * each, and all targets are in about the same number of subsets.
 *
 * @param vmKey - identity of the VM
 * @param targetId - id of the target
 * @returns rank; the lowest ones are used
 */
export function subsetRank(vmKey: string, targetId: string): string {
  return hashText(`subset ${vmKey} ${targetId}`);
}

/**
 * Selects the targets of a service that a VM uses: all of a small service; else
 * those of its failure domain with the lowest ranks, and the lowest ranks of the
 * other domains for the rest.
 *
 * @param candidates - targets of the service that may receive requests
 * @returns the subset
 */
export function selectSubset<C extends SubsetCandidate>(
  candidates: readonly C[],
): readonly C[] {
  if (candidates.length <= MAX_UNDIVIDED_COUNT) {
    return candidates;
  }
  const ranked = [...candidates].sort((a, b) => (a.rank < b.rank ? -1 : 1));
  const local = ranked
    .filter(({isLocalDomain}) => isLocalDomain)
    .slice(0, SUBSET_SIZE - MIN_REMOTE_COUNT);
  const remote = ranked
    .filter(({isLocalDomain}) => !isLocalDomain)
    .slice(0, SUBSET_SIZE - local.length);
  return [...local, ...remote];
}
