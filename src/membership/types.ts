/**
 * Contract of membership and gossip. All methods are pure: the gRPC adapter
 * moves the messages.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';

/** One incarnation of a VM: `vmId` plus a random `bootId`. */
export interface Incarnation {
  readonly vmId: string;
  readonly bootId: string;
  /** Address of the peer port. */
  readonly host: string;
  readonly port: number;
}

/** A fact that one VM published about itself or its observations. */
export interface Fact {
  /** `vmId/bootId` of the owner. */
  readonly ownerId: string;
  readonly key: string;
  /** JSON text; an empty string deletes the fact. */
  readonly value: string;
  /** Rises with each publication of the owner. */
  readonly sequence: number;
}

/** A fact as sent to a peer, under its owner. */
export type FactUpdate = Omit<Fact, 'ownerId'>;

/**
 * Facts of one owner as sent to a peer: all facts after `afterSequence` that
 * were not replaced by later ones, up to the last one listed.
 */
export interface OwnerDelta {
  /** Undefined if the peer knows the owner already. */
  readonly ownerId: string | undefined;
  readonly ownerShortId: number;
  /** Entry of the peer's digest; the peer ignores facts that leave a gap. */
  readonly afterSequence: number;
  /** Deletions up to this sequence may be missing. */
  readonly collectedSequence: number;
  /** Ascending by sequence. */
  readonly facts: readonly FactUpdate[];
}

/**
 * Greatest sequence known of each owner, by the owner's short id (52 bits of
 * the hash of its owner id).
 */
export type Digest = ReadonlyMap<number, number>;

/** Lifecycle of a member as seen by this VM. */
export type MemberState = 'starting' | 'ready' | 'leaving' | 'suspect' | 'dead';

/** One member as seen by this VM. */
export interface Member {
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  /** Local instant of the last sign of life. */
  readonly lastHeardMs: InstantMs;
}

/** A change of the view, for other modules and the time line. */
export interface MembershipChange {
  readonly vmId: string;
  readonly bootId: string;
  readonly from: MemberState | undefined;
  readonly to: MemberState;
  /** True when the VM announced that it leaves. */
  readonly planned: boolean;
  /**
   * True if the member became ready again, or was up for long before this VM
   * heard of it, as after a partition in which its facts were removed.
   */
  readonly returned: boolean;
}

/** Membership and facts of one VM. */
export abstract class Membership {
  /** This VM's incarnation. */
  abstract readonly self: Incarnation;

  /** Publishes or replaces a fact of this VM. */
  abstract publish(key: string, value: string): void;

  /** Facts with this key, or with this key prefix, of all live owners. */
  abstract factsByPrefix(prefix: string): readonly Fact[];

  /** Sets this VM's own lifecycle state. */
  abstract setOwnState(state: 'starting' | 'ready' | 'leaving'): void;

  /** Adds addresses to contact (seeds, VM list). */
  abstract addContacts(
    contacts: readonly {readonly host: string; readonly port: number}[],
  ): void;

  /** Address of the peer for the next exchange; undefined if none is known. */
  abstract nextPeer(
    random: RandomSource,
    nowMs: InstantMs,
  ): {readonly host: string; readonly port: number} | undefined;

  /** Digest of all facts. */
  abstract digest(): Digest;

  /**
   * Entries of a peer's digest that are ahead of this VM, with the sequence
   * known here; a shorter reply to an exchange than the whole digest.
   */
  abstract missingFrom(digest: Digest): Digest;

  /**
   * Facts that the owner of the digest lacks, oldest first, bounded. With
   * `listedOnly`, the digest is a reply of `missingFrom`, and owners that it
   * does not list are left out.
   */
  abstract deltaFor(
    digest: Digest,
    options?: {readonly listedOnly: boolean},
  ): readonly OwnerDelta[];

  /** Takes in facts; returns those that were new. */
  abstract merge(
    deltas: readonly OwnerDelta[],
    nowMs: InstantMs,
  ): readonly Fact[];

  /** Raises the own heartbeat and advances the failure detector. */
  abstract tick(nowMs: InstantMs): readonly MembershipChange[];

  /** Restarts the failure detector's timers after a pause of this VM. */
  abstract onPause(nowMs: InstantMs): void;

  /** All members, this VM included. */
  abstract members(): readonly Member[];

  /** VM ids in state ready, this VM included when it is ready; sorted. */
  abstract readyVmIds(): readonly string[];
}
