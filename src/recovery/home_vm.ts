/**
 * Home VM of idempotency keys: the VM that decides their claims.
 *
 * @packageDocumentation
 */
import {rendezvousRank, type InstantMs} from '../core/index.js';
import type {Membership, MembershipChange} from '../membership/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  ClaimTable,
  Settlement,
} from './types.js';

/**
 * Time for which the VMs' views of the ready VMs may differ, in milliseconds. A
 * home VM may miss claims of that time, since peers still or no longer consider
 * it ready.
 */
const VIEW_SKEW_MS = 5_000;

/** Length of a pause from which peers may suspect this VM, in milliseconds. */
const MIN_PAUSE_MS = 500;

/** Options of {@link HomeVm}. */
export interface HomeVmOptions {
  readonly membership: Membership;
  readonly claimTable: ClaimTable;
  /**
   * Silence of a ready VM after which records count as incomplete, in
   * milliseconds; 1,500 by default. It is shorter than the suspicion timeout,
   * since the silent VM may already consider this one dead and act as home of
   * its keys.
   */
  readonly maxSilenceMs?: number;
}

/** Records to hand over before a planned stop. */
export interface HandOverPlan {
  /** Records by the id of their next home VM. */
  readonly batches: ReadonlyMap<string, readonly ClaimRecord[]>;
  /**
   * True if the departure may be announced once all batches are acknowledged.
   * Otherwise the VM must stop without announcing it, so that peers see an
   * unplanned departure.
   */
  readonly isComplete: boolean;
}

/**
 * Decides claims of the keys whose home is this VM, and maintains the horizon
 * of its claim table.
 *
 * Before a planned stop, stop accepting claims, plan the hand-over, send the
 * batches, and then announce the departure, in this order.
 *
 * @example
 * ```ts
 * const home = new HomeVm({membership, claimTable});
 * const answer = home.claim(request, clock.nowMs());
 * ```
 */
export class HomeVm {
  private readonly membership: Membership;
  private readonly claimTable: ClaimTable;
  private readonly maxSilenceMs: number;
  private isAcceptingClaims = true;

  /** @param options - see {@link HomeVmOptions} */
  constructor(options: HomeVmOptions) {
    this.membership = options.membership;
    this.claimTable = options.claimTable;
    this.maxSilenceMs = options.maxSilenceMs ?? 1_500;
  }

  /**
   * Returns the home VM of a key in this VM's view.
   *
   * @param key - idempotency key
   * @returns VM id; undefined if no VM is ready
   */
  homeOf(key: string): string | undefined {
    return rendezvousRank(key, this.membership.readyVmIds())[0];
  }

  /**
   * Returns the home VM of a key after the departure of this VM.
   *
   * @param key - idempotency key
   * @returns VM id; undefined if no other VM is ready
   */
  nextHomeOf(key: string): string | undefined {
    const {vmId} = this.membership.self;
    const others = this.membership.readyVmIds().filter(id => id !== vmId);
    return rendezvousRank(key, others)[0];
  }

  /**
   * Decides a claim.
   *
   * @param request - claim to decide
   * @param nowMs - current instant in milliseconds
   * @returns decision of the claim table; `not-home` if this VM is not the home
   *     of the key or no longer accepts claims
   */
  claim(request: ClaimRequest, nowMs: InstantMs): ClaimAnswer {
    const isHome = this.homeOf(request.key) === this.membership.self.vmId;
    if (!this.isAcceptingClaims || !isHome) {
      return {type: 'not-home'};
    }
    return this.claimTable.claim(request, nowMs, {
      mayMissRecords: this.mayMissRecords(nowMs),
    });
  }

  /**
   * Records the verdict on a claimed request.
   *
   * @param settlement - claim and verdict
   * @param nowMs - current instant in milliseconds
   * @returns id of the VM to which the settlement must be forwarded because the
   *     record was or is being handed over; undefined if there is none
   */
  settle(settlement: Settlement, nowMs: InstantMs): string | undefined {
    this.claimTable.settle(settlement, nowMs);
    return this.isAcceptingClaims ? undefined : this.nextHomeOf(settlement.key);
  }

  /** Rejects all further claims with `not-home`. */
  stopAcceptingClaims(): void {
    this.isAcceptingClaims = false;
  }

  /**
   * Plans the hand-over of all records before a planned stop.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the records by next home VM
   */
  planHandOver(nowMs: InstantMs): HandOverPlan {
    const batches = new Map<string, ClaimRecord[]>();
    const records = this.claimTable.exportRecords(nowMs);
    for (const record of records) {
      const vmId = this.nextHomeOf(record.key);
      if (vmId !== undefined) {
        batches.set(vmId, [...(batches.get(vmId) ?? []), record]);
      }
    }
    // Peers may consider a suspected VM ready and thus the next home of keys.
    const members = this.membership.members();
    const hasNoSuspect = members.every(member => member.state !== 'suspect');
    const hasNextHome = batches.size > 0 || records.length === 0;
    return {batches, isComplete: hasNoSuspect && hasNextHome};
  }

  /**
   * Returns the records to send to a VM that became ready or returned. They
   * preserve the claims that this VM granted in its place.
   *
   * @param vmId - id of the VM
   * @param nowMs - current instant in milliseconds
   * @returns the records whose home is `vmId` in this VM's view
   */
  recordsFor(vmId: string, nowMs: InstantMs): readonly ClaimRecord[] {
    const records = this.claimTable.exportRecords(nowMs);
    return records.filter(record => this.homeOf(record.key) === vmId);
  }

  /**
   * Merges records that another VM handed over.
   *
   * @param records - records of the sender
   * @param lastEvictionMs - instant at which the sender last evicted a record
   *     early; undefined if it never did
   * @param nowMs - current instant in milliseconds
   */
  adopt(
    records: readonly ClaimRecord[],
    lastEvictionMs: InstantMs | undefined,
    nowMs: InstantMs,
  ): void {
    this.claimTable.adopt(records, nowMs);
    if (lastEvictionMs !== undefined) {
      this.claimTable.advanceHorizon(Math.min(lastEvictionMs, nowMs));
    }
  }

  /** Advances the horizon after this VM announced that it is ready. */
  onReady(nowMs: InstantMs): void {
    this.claimTable.advanceHorizon(nowMs + VIEW_SKEW_MS);
  }

  /**
   * Advances the horizon after unplanned departures and returns of VMs.
   *
   * @param changes - changes of the membership
   * @param nowMs - current instant in milliseconds
   */
  onMembershipChanges(
    changes: readonly MembershipChange[],
    nowMs: InstantMs,
  ): void {
    if (changes.some(advancesHorizon)) {
      this.claimTable.advanceHorizon(nowMs + VIEW_SKEW_MS);
    }
  }

  /**
   * Advances the horizon after a long pause of this VM, since peers may have
   * considered it dead in the meantime.
   *
   * @param pauseMs - length of the pause in milliseconds
   * @param nowMs - current instant in milliseconds
   */
  onPause(pauseMs: number, nowMs: InstantMs): void {
    if (pauseMs >= MIN_PAUSE_MS) {
      this.claimTable.advanceHorizon(nowMs + VIEW_SKEW_MS);
    }
  }

  /** Returns whether a silent VM may have granted claims of this VM's keys. */
  private mayMissRecords(nowMs: InstantMs): boolean {
    const {vmId} = this.membership.self;
    return this.membership
      .members()
      .some(
        member =>
          member.state === 'ready' &&
          member.incarnation.vmId !== vmId &&
          nowMs - member.lastHeardMs > this.maxSilenceMs,
      );
  }
}

/**
 * Returns whether a change may have moved keys to another home without a
 * hand-over: an unplanned departure of a ready VM, or its return. A VM that was
 * never ready was the home of no key.
 */
function advancesHorizon(change: MembershipChange): boolean {
  const {from, to, planned, returned} = change;
  const departed = from === 'ready' && to !== 'leaving' && !planned;
  return departed || returned;
}
