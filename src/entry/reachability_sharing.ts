/**
 * Announcement of a VM that reaches no target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {Dispatch, FleetNode} from '../fleet/index.js';
import type {LoadBoard} from '../load/index.js';
import type {KnownTarget} from '../registry/index.js';
import type {ReachabilityChange, TargetReachability} from '../relay/index.js';

/** Options of {@link ReachabilitySharing}. */
export interface ReachabilitySharingOptions {
  readonly reachability: TargetReachability;
  readonly board: LoadBoard;
  readonly fleet: FleetNode;
}

/** What follows from the reachability of targets at a tick. */
export interface ReachabilityActions {
  /** Undefined if nothing has changed. */
  readonly change: ReachabilityChange | undefined;
  readonly dispatches: readonly Dispatch[];
  readonly probes: readonly KnownTarget[];
}

/**
 * Tells the fleet whether this VM reaches targets. The failures that it saw
 * while it did not were those of its links, so they are discarded.
 */
export class ReachabilitySharing {
  /** @param options - reachability, load board and fleet of this VM */
  constructor(private readonly options: ReachabilitySharingOptions) {}

  /**
   * Re-evaluates the reachability of targets.
   *
   * @param targets - registered targets by id
   * @param nowMs - current instant in milliseconds
   * @returns change, messages to send, and targets to probe
   */
  onTick(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): ReachabilityActions {
    const {reachability, board, fleet} = this.options;
    const change = reachability.update(targets.size, nowMs);
    let dispatches: readonly Dispatch[] = [];
    if (change !== undefined) {
      board.forgetFailures();
      fleet.setReachesTargets(change.type === 'returned');
      dispatches = fleet.announce(nowMs);
    }
    const isPeerCutOff = fleet.hasCutOffPeer(nowMs);
    // Listing all targets at each tick would cost more than the rest of it.
    const targetIds =
      reachability.isCutOff || isPeerCutOff
        ? [...targets.keys()].filter(targetId => !board.isClosed(targetId))
        : [];
    const probes = reachability
      .takeProbes(targetIds, isPeerCutOff, nowMs)
      .flatMap(targetId => targets.get(targetId) ?? []);
    return {change, dispatches, probes};
  }
}
