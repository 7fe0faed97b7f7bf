/**
 * Plan of one VM's calls of the store.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {comparePositions, type StorePosition} from '../registry/index.js';

/**
 * Delay after changes, in milliseconds, to coalesce further ones into one call.
 */
const COALESCE_DELAY_MS = 120;

/**
 * Delay after a failed call, in milliseconds; doubles with each further
 * failure.
 */
const RETRY_DELAY_MS = 200;

/**
 * Shortest delay after a failed call of a VM that is not an assigned reader, in
 * milliseconds for each VM of the fleet. Bounds the calls of a fleet whose VMs
 * all read by themselves to about 1,000 per second.
 */
const UNASSIGNED_RETRY_DELAY_MS_PER_VM = 1;

/** Longest delay after failed calls, in milliseconds, before jitter. */
const MAX_RETRY_DELAY_MS = 1_600;

/**
 * Mean delay in milliseconds of a full read by a VM that is not an assigned
 * reader. Peers tell it the state in the meantime, which saves the read when
 * all VMs read by themselves.
 */
const UNASSIGNED_READ_DELAY_MS = 600;

/** Role of a VM among those that read the store. */
export interface ReaderRole {
  /** True if the fleet has assigned the role of a reader to the VM. */
  readonly isAssigned: boolean;
  /** Upper bound of the number of VMs. */
  readonly fleetSize: number;
}

/** Next call of the store. */
export interface PlannedRead {
  /** `read-all` for a full read, `wait` for the changes after a position. */
  readonly type: 'read-all' | 'wait';
  /** Earliest instant of the call; the plan may change until then. */
  readonly startMs: InstantMs;
}

/** Decides between full reads and waits, and when the next one may start. */
export class StoreReadPlan {
  /** Position whose history the store no longer has. */
  private lostPosition: StorePosition | undefined;
  private hasWaitedSinceReadAll = true;
  private failureCount = 0;
  private earliestMs: InstantMs = -Infinity;
  private earliestReadAllMs: InstantMs = -Infinity;

  /** @param random - source of the jitter */
  constructor(private readonly random: RandomSource) {}

  /** Starts anew after a time without calls. */
  restart(): void {
    this.failureCount = 0;
    this.earliestMs = -Infinity;
  }

  /** True if the history after this VM's position is known to be lost. */
  get isHistoryLost(): boolean {
    return this.lostPosition !== undefined;
  }

  /**
   * Plans the next call.
   *
   * @param position - position of this VM; revision 0 before the first snapshot
   * @returns the call
   */
  next(position: StorePosition): PlannedRead {
    const {lostPosition, earliestMs} = this;
    if (
      lostPosition !== undefined &&
      comparePositions(position, lostPosition) !== 0
    ) {
      this.lostPosition = undefined;
    }
    if (this.lostPosition !== undefined) {
      const startMs = Math.max(earliestMs, this.earliestReadAllMs);
      return {type: 'read-all', startMs};
    }
    const type = position.revision === 0 ? 'read-all' : 'wait';
    return {type, startMs: earliestMs};
  }

  /** Records a successful full read. */
  onReadAll(): void {
    this.lostPosition = undefined;
    this.hasWaitedSinceReadAll = false;
    this.failureCount = 0;
  }

  /**
   * Records a successful wait.
   *
   * @param changeCount - number of changes that it returned
   * @param nowMs - current instant in milliseconds
   */
  onWaited(changeCount: number, nowMs: InstantMs): void {
    this.hasWaitedSinceReadAll = true;
    this.failureCount = 0;
    this.earliestMs = changeCount > 0 ? nowMs + COALESCE_DELAY_MS : -Infinity;
  }

  /**
   * Records a failed call.
   *
   * @param role - role of this VM
   * @param nowMs - current instant in milliseconds
   */
  onFailed({isAssigned, fleetSize}: ReaderRole, nowMs: InstantMs): void {
    const factor = 2 ** this.failureCount;
    const shortestMs = isAssigned
      ? 0
      : fleetSize * UNASSIGNED_RETRY_DELAY_MS_PER_VM;
    const delayMs = Math.max(
      shortestMs,
      Math.min(RETRY_DELAY_MS * factor, MAX_RETRY_DELAY_MS),
    );
    this.failureCount += 1;
    this.earliestMs = nowMs + delayMs * (0.75 + this.random.nextFloat() / 2);
  }

  /**
   * Records that the store does not have the history after a position. A full
   * read that has led to such a position counts as a failure.
   *
   * @param position - position of this VM
   * @param role - role of this VM
   * @param nowMs - current instant in milliseconds
   */
  onHistoryLost(
    position: StorePosition,
    role: ReaderRole,
    nowMs: InstantMs,
  ): void {
    if (this.lostPosition !== undefined) {
      return;
    }
    this.lostPosition = position;
    const share = role.isAssigned ? 0 : 0.5 + this.random.nextFloat();
    this.earliestReadAllMs = nowMs + share * UNASSIGNED_READ_DELAY_MS;
    if (!this.hasWaitedSinceReadAll) {
      this.onFailed(role, nowMs);
    }
  }
}
