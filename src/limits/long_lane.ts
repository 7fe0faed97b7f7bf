/**
 * The long lane: the subset of the targets of a service that may run long
 * kinds.
 *
 * @packageDocumentation
 */
import {rendezvousRank} from '../core/index.js';

/** Input of {@link longLaneTargets}. */
export interface LongLaneOptions {
  readonly service: string;
  /** Targets that accept requests, in any order, without duplicates. */
  readonly targetIds: readonly string[];
  /** Share of the targets that may run long kinds, from 0 to 1. */
  readonly share: number;
}

/**
 * Selects the targets that may run long kinds by rendezvous hashing, so that
 * VMs with the same targets agree without coordination, and the removal of a
 * target changes at most one other member.
 *
 * The size is the share of the targets, rounded. A share above 0 yields at
 * least one target. A share below 1 excludes at least one target if there are
 * two or more, so that short requests always have a target without long ones.
 * A share of 0 yields no target: long kinds are then not served.
 *
 * @param options - service, targets and share
 * @returns ids of the targets, best rank first
 *
 * @example
 * ```ts
 * const lane = longLaneTargets({service: 'desk', targetIds, share: 0.5});
 * ```
 */
export function longLaneTargets(options: LongLaneOptions): readonly string[] {
  const ranked = rendezvousRank(
    `long-lane/${options.service}`,
    options.targetIds,
  );
  return ranked.slice(0, longLaneSize(options.share, ranked.length));
}

/** Returns the number of targets in the lane. */
function longLaneSize(share: number, targetCount: number): number {
  if (share <= 0 || targetCount === 0) {
    return 0;
  }
  if (share >= 1 || targetCount === 1) {
    return targetCount;
  }
  const rounded = Math.round(share * targetCount);
  return Math.min(Math.max(rounded, 1), targetCount - 1);
}
