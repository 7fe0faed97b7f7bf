/**
 * Application of published changes to a VM's replica and to its fleet node.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  PublishedState,
  StorePosition,
} from '../registry/index.js';
import type {FleetNode} from './fleet_node.js';
import type {Dispatch} from './types.js';

/** Origin of a snapshot or delta. */
export type UpdateSource = 'store' | 'peer';

/** Effects of an offered snapshot or delta. */
export interface ReplicaUpdate {
  /** True if the state has changed. */
  readonly isChanged: boolean;
  /** True if changes before the offered ones are missing. */
  readonly isGap: boolean;
  /** Position before a change of the era; undefined if there was none. */
  readonly restoredFrom: StorePosition | undefined;
  /** Messages to send. */
  readonly dispatches: readonly Dispatch[];
}

/** Keeps position and digest of the fleet node equal to those of the state. */
export class PublishedReplica {
  /**
   * @param state - published state of this VM
   * @param fleet - fleet node of this VM
   */
  constructor(
    private readonly state: PublishedState,
    private readonly fleet: FleetNode,
  ) {}

  /**
   * Offers a snapshot to the state.
   *
   * @param snapshot - complete state at one position
   * @param source - origin of the snapshot
   * @param nowMs - current instant in milliseconds
   * @returns the effects
   */
  offerSnapshot(
    snapshot: PublishedSnapshot,
    source: UpdateSource,
    nowMs: InstantMs,
  ): ReplicaUpdate {
    const {state} = this;
    const before = state.position;
    const result = state.offerSnapshot(snapshot, nowMs);
    const restoredFrom = this.findRestore(before);
    if (restoredFrom !== undefined) {
      this.fleet.requestReconciliation();
    }
    const transition =
      restoredFrom === undefined ? undefined : state.changesAfter(before);
    return {
      isChanged: this.synchronize(result),
      isGap: false,
      restoredFrom,
      dispatches: this.forward(transition, source, nowMs),
    };
  }

  /**
   * Offers changes to the state.
   *
   * @param delta - changes without a gap
   * @param source - origin of the changes
   * @param nowMs - current instant in milliseconds
   * @returns the effects
   */
  offerDelta(
    delta: PublishedDelta,
    source: UpdateSource,
    nowMs: InstantMs,
  ): ReplicaUpdate {
    const before = this.state.position;
    const result = this.state.offerDelta(delta, nowMs);
    const isForwarded =
      result === 'advanced' &&
      (delta.changes.length > 0 || delta.afterEra !== delta.era);
    return {
      isChanged: this.synchronize(result),
      isGap: result === 'gap',
      restoredFrom: this.findRestore(before),
      dispatches: this.forward(
        isForwarded ? (this.state.changesAfter(before) ?? delta) : undefined,
        source,
        nowMs,
      ),
    };
  }

  /**
   * Drops targets that a restored store has lacked for too long.
   *
   * @param nowMs - current instant in milliseconds
   * @returns true if the state has changed
   */
  expire(nowMs: InstantMs): boolean {
    const confirmedMs = nowMs - this.fleet.confirmationAgeMs(nowMs);
    this.state.expire(confirmedMs, nowMs);
    return this.state.hasChanged && this.synchronize('merged');
  }

  private synchronize(result: string): boolean {
    if (result !== 'advanced' && result !== 'merged') {
      return false;
    }
    this.fleet.setPosition(this.state.position, this.state.digest);
    return true;
  }

  private findRestore(before: StorePosition): StorePosition | undefined {
    const isRestored = before.revision > 0 && this.state.era > before.era;
    return isRestored ? before : undefined;
  }

  private forward(
    delta: PublishedDelta | undefined,
    source: UpdateSource,
    nowMs: InstantMs,
  ): readonly Dispatch[] {
    const isFromStore = source === 'store';
    return delta === undefined
      ? []
      : this.fleet.forwardChanges(delta, {isFromStore, nowMs});
  }
}
