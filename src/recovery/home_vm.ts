/**
 * Home VM of idempotency keys.
 *
 * @packageDocumentation
 */
import {rendezvousRank, type InstantMs} from '../core/index.js';
import type {Membership, MembershipChange} from '../membership/index.js';
import type {
  ClaimAnswer,
  ClaimBook,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from './types.js';

/**
 * Time for which views of the ready VMs may differ. A home that another VM
 * still takes for ready, or no longer does, may miss claims of that time.
 */
const VIEW_SKEW_MS = 5_000;

/** Own pauses from this length on may make peers suspect this VM. */
const MIN_PAUSE_MS = 500;

/** Options of {@link HomeVm}. */
export interface HomeVmOptions {
  readonly membership: Membership;
  readonly book: ClaimBook;
  /**
   * Silence of a ready VM from which on records are taken for incomplete,
   * 1,500 ms by default. Less than the time to suspicion: the silent VM may
   * hold this one for dead already and act as home of its keys.
   */
  readonly doubtAfterMs?: number;
}

/** Records to hand over at a planned stop. */
export interface HandOverPlan {
  /** Records by next home. */
  readonly batches: ReadonlyMap<string, readonly ClaimRecord[]>;
  /**
   * True if the departure may be announced once all batches are
   * acknowledged. Else peers must see an unplanned departure, that is: the VM
   * ends without announcing that it leaves.
   */
  readonly isComplete: boolean;
}

/**
 * Decides whether this VM is the home of a key, and keeps the horizon of its
 * claim book.
 *
 * Order of a planned stop: `stopTaking`, `planHandOver`, send the batches,
 * announce leaving.
 *
 * @example
 * ```ts
 * const home = new HomeVm({membership, book});
 * const answer = home.claim(request, clock.nowMs());
 * ```
 */
export class HomeVm {
  private readonly membership: Membership;
  private readonly book: ClaimBook;
  private readonly doubtAfterMs: number;
  private isTaking = true;

  /** @param options - see {@link HomeVmOptions} */
  constructor(options: HomeVmOptions) {
    this.membership = options.membership;
    this.book = options.book;
    this.doubtAfterMs = options.doubtAfterMs ?? 1_500;
  }

  /**
   * Finds the home of a key in this VM's view.
   *
   * @param key - idempotency key
   * @returns VM id; undefined if no VM is ready
   */
  homeOf(key: string): string | undefined {
    return rendezvousRank(key, this.membership.readyVmIds())[0];
  }

  /**
   * Finds the home of a key once this VM has left.
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
   * Answers a claim.
   *
   * @param request - the claim
   * @param nowMs - current instant in milliseconds
   * @returns the book's answer, or `not-home`
   */
  claim(request: ClaimRequest, nowMs: InstantMs): ClaimAnswer {
    const isHome = this.homeOf(request.key) === this.membership.self.vmId;
    if (!this.isTaking || !isHome) {
      return {type: 'not-home'};
    }
    return this.book.claim(request, nowMs, {isInDoubt: this.isInDoubt(nowMs)});
  }

  /**
   * Records a verdict.
   *
   * @param settlement - the verdict
   * @param nowMs - current instant in milliseconds
   * @returns VM id to pass the settlement on to, because the record was or is
   *     being handed over; undefined if there is none
   */
  settle(settlement: Settlement, nowMs: InstantMs): string | undefined {
    this.book.settle(settlement, nowMs);
    return this.isTaking ? undefined : this.nextHomeOf(settlement.key);
  }

  /** Answers `not-home` to all claims from now on. */
  stopTaking(): void {
    this.isTaking = false;
  }

  /**
   * Plans the hand-over of all records at a planned stop.
   *
   * @param nowMs - current instant in milliseconds
   * @returns records by next home
   */
  planHandOver(nowMs: InstantMs): HandOverPlan {
    const batches = new Map<string, ClaimRecord[]>();
    const records = this.book.exportRecords(nowMs);
    for (const record of records) {
      const vmId = this.nextHomeOf(record.key);
      if (vmId !== undefined) {
        batches.set(vmId, [...(batches.get(vmId) ?? []), record]);
      }
    }
    // A suspect may be ready in the view of others and be the next home there.
    const members = this.membership.members();
    const isViewClear = members.every(member => member.state !== 'suspect');
    const hasNextHome = batches.size > 0 || records.length === 0;
    return {batches, isComplete: isViewClear && hasNextHome};
  }

  /**
   * Lists the records that belong to a VM that became ready or returned. Sent
   * to it, they keep what this VM granted as its substitute.
   *
   * @param vmId - the VM
   * @param nowMs - current instant in milliseconds
   * @returns the records whose home is `vmId` in this VM's view
   */
  recordsFor(vmId: string, nowMs: InstantMs): readonly ClaimRecord[] {
    const records = this.book.exportRecords(nowMs);
    return records.filter(record => this.homeOf(record.key) === vmId);
  }

  /**
   * Takes over records.
   *
   * @param records - records of the sender
   * @param lastEvictionMs - instant at which the sender last dropped a record
   *     early; undefined if it never did
   * @param nowMs - current instant in milliseconds
   */
  adopt(
    records: readonly ClaimRecord[],
    lastEvictionMs: InstantMs | undefined,
    nowMs: InstantMs,
  ): void {
    this.book.adopt(records, nowMs);
    if (lastEvictionMs !== undefined) {
      this.book.resetHorizon(Math.min(lastEvictionMs, nowMs));
    }
  }

  /** Notes that this VM announced itself as ready. */
  onReady(nowMs: InstantMs): void {
    this.book.resetHorizon(nowMs + VIEW_SKEW_MS);
  }

  /**
   * Moves the horizon after unplanned departures and returns.
   *
   * @param changes - changes of the view
   * @param nowMs - current instant in milliseconds
   */
  onMembershipChanges(
    changes: readonly MembershipChange[],
    nowMs: InstantMs,
  ): void {
    if (changes.some(movesHorizon)) {
      this.book.resetHorizon(nowMs + VIEW_SKEW_MS);
    }
  }

  /**
   * Moves the horizon after a pause of this VM, since peers may have held it
   * for dead meanwhile.
   *
   * @param pauseMs - length of the pause in milliseconds
   * @param nowMs - current instant in milliseconds
   */
  onPause(pauseMs: number, nowMs: InstantMs): void {
    if (pauseMs >= MIN_PAUSE_MS) {
      this.book.resetHorizon(nowMs + VIEW_SKEW_MS);
    }
  }

  private isInDoubt(nowMs: InstantMs): boolean {
    const {vmId} = this.membership.self;
    return this.membership
      .members()
      .some(
        member =>
          member.state === 'ready' &&
          member.incarnation.vmId !== vmId &&
          nowMs - member.lastHeardMs > this.doubtAfterMs,
      );
  }
}

/**
 * A ready VM that falls silent, or comes back, changes the home of keys
 * without a hand-over. A VM that was never ready was the home of no key.
 */
function movesHorizon(change: MembershipChange): boolean {
  const {from, to, planned, returned} = change;
  const departed = from === 'ready' && to !== 'leaving' && !planned;
  return departed || returned;
}
