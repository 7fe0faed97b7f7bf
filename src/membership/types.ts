/**
 * Types and interface of gossip membership. All methods are pure: the gRPC
 * adapter transfers the messages.
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

/** A fact published by a VM about itself or its observations. */
export interface Fact {
  /** `vmId/bootId` of the owner. */
  readonly ownerId: string;
  readonly key: string;
  /** JSON text; an empty string deletes the fact. */
  readonly value: string;
  /** Increases with each publication of the owner. */
  readonly sequence: number;
}

/** A fact as sent to a peer, under its owner. */
export type FactUpdate = Omit<Fact, 'ownerId'>;

/**
 * Facts of one owner as sent to a peer: all facts after `afterSequence` up to
 * the last one listed, except those replaced by later ones.
 */
export interface OwnerDelta {
  /** Undefined if the peer's digest lists the owner already. */
  readonly ownerId: string | undefined;
  readonly ownerShortId: number;
  /** Entry of the peer's digest; the peer rejects facts that leave a gap. */
  readonly afterSequence: number;
  /** Deletion markers up to this sequence may already be collected. */
  readonly collectedSequence: number;
  /** Ascending by sequence. */
  readonly facts: readonly FactUpdate[];
}

/**
 * Greatest known sequence of each owner, by short owner id (52 bits of the hash
 * of the owner id).
 */
export type Digest = ReadonlyMap<number, number>;

/** Lifecycle state of a member in this VM's view. */
export type MemberState = 'starting' | 'ready' | 'leaving' | 'suspect' | 'dead';

/** Member in this VM's view. */
export interface Member {
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  /** Local instant of the last sign of life. */
  readonly lastHeardMs: InstantMs;
}

/** State change of a member, for other modules and the timeline. */
export interface MembershipChange {
  readonly vmId: string;
  readonly bootId: string;
  readonly from: MemberState | undefined;
  readonly to: MemberState;
  /** True if the VM announced its departure. */
  readonly planned: boolean;
  /**
   * True if the member became ready again, or was up long before this VM
   * discovered it, as after a partition in which its facts were removed.
   */
  readonly returned: boolean;
}

/** Provides the membership and facts of one VM. */
export abstract class Membership {
  /** Incarnation of this VM. */
  abstract readonly self: Incarnation;

  /** Publishes or replaces a fact of this VM. */
  abstract publish(key: string, value: string): void;

  /** Lists the facts of all live owners whose key starts with the prefix. */
  abstract factsByPrefix(prefix: string): readonly Fact[];

  /** Sets the lifecycle state of this VM. */
  abstract setState(state: 'starting' | 'ready' | 'leaving'): void;

  /** Adds contact addresses (seeds, VM list). */
  abstract addContacts(
    contacts: readonly {readonly host: string; readonly port: number}[],
  ): void;

  /** Returns the peer for the next exchange; undefined if none is known. */
  abstract nextPeer(
    random: RandomSource,
    nowMs: InstantMs,
  ): {readonly host: string; readonly port: number} | undefined;

  /** Returns the digest of all facts. */
  abstract digest(): Digest;

  /**
   * Returns the entries of a peer's digest that are ahead of this VM, with the
   * local sequence; a shorter reply to an exchange than the whole digest.
   */
  abstract missingFrom(digest: Digest): Digest;

  /**
   * Returns the facts that the sender of the digest lacks, oldest first and
   * bounded. With `listedOnly`, the digest is a reply of `missingFrom`, and
   * owners that it does not list are omitted.
   */
  abstract deltaFor(
    digest: Digest,
    options?: {readonly listedOnly: boolean},
  ): readonly OwnerDelta[];

  /** Merges facts and returns those that were new. */
  abstract merge(
    deltas: readonly OwnerDelta[],
    nowMs: InstantMs,
  ): readonly Fact[];

  /** Increments the heartbeat of this VM and advances the failure detector. */
  abstract tick(nowMs: InstantMs): readonly MembershipChange[];

  /** Restarts the timers of the failure detector after a pause of this VM. */
  abstract onPause(nowMs: InstantMs): void;

  /** Lists all members, this VM included. */
  abstract members(): readonly Member[];

  /** Lists the ids of ready VMs in order, this VM included if it is ready. */
  abstract readyVmIds(): readonly string[];
}
