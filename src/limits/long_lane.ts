/**
 * Subset of a service's targets that may run long kinds.
 *
 * @packageDocumentation
 */
import {rendezvousRank} from '../core/index.js';

/** Input of {@link longLaneTargets}. */
export interface LongLaneOptions {
  readonly service: string;
  /** Targets that take requests, in any order, without duplicates. */
  readonly targetIds: readonly string[];
  /** Share of the targets that may run long kinds, from 0 to 1. */
  readonly share: number;
}

/**
 * Chooses the targets that may run long kinds by rendezvous hashing, so that
 * VMs with the same targets agree without messages, and the departure of a
 * target changes at most one other member.
 *
 * The size is the share of the targets, rounded. A share above 0 yields at
 * least one target; a share below 1 leaves at least one target outside, if
 * there are two or more, so that short requests always have a target free of
 * long ones. A share of 0 yields no target: long kinds are then not served.
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

/** Number of targets in the lane. */
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
