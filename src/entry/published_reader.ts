/**
 * Reads the metadata store while this VM is one of the fleet's readers.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, InstantMs, RandomSource} from '../core/index.js';
import {StoreReadPlan, type ReaderRole} from '../fleet/index.js';
import {
  comparePositions,
  type PublishedDelta,
  type PublishedSnapshot,
  type PublishedSource,
  type SourceError,
  type StorePosition,
} from '../registry/index.js';

/** Long-poll time in milliseconds; each wait is one call of the store. */
const WAIT_TIME_MS = 1_500;

/** Time beyond the long-poll time after which a response counts as lost. */
const WAIT_GRACE_MS = 700;

/** Timeout of a full read, in milliseconds. */
const READ_ALL_TIMEOUT_MS = 1_500;

/** Interval of the checks that the store responds, in milliseconds. */
const CHECK_INTERVAL_MS = 450;

/** Timeout of one check, in milliseconds. */
const CHECK_TIMEOUT_MS = 650;

/** Consecutive checks that may fail before the connections are closed. */
const MAX_FAILED_CHECKS = 1;

/**
 * Time in milliseconds for which the store may report a newer revision than a
 * pending wait has delivered.
 */
const STALLED_WAIT_MS = 300;

/** Receives the results of reads. */
export interface ReaderListener {
  onSnapshot(snapshot: PublishedSnapshot): void;
  onDelta(delta: PublishedDelta): void;
  /**
   * Called when nothing newer than the known revision existed at an instant.
   */
  onConfirmed(confirmedMs: InstantMs): void;
  /** Called when reads begin to fail and when they work again. */
  onReadStatusChanged(isFailing: boolean, error: SourceError | undefined): void;
}

/** Options of {@link PublishedReader}. */
export interface PublishedReaderOptions {
  readonly source: PublishedSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Returns the position of this VM; revision 0 before the first snapshot. */
  readonly position: () => StorePosition;
  /** Returns the role of this VM among those that read the store. */
  readonly role: () => ReaderRole;
  readonly listener: ReaderListener;
}

/**
 * Runs two loops: one long-polls for changes, the other checks that the store
 * responds and that the pending wait delivers newer revisions.
 */
export class PublishedReader {
  private isActive = false;
  private isFailing = false;
  private readonly plan: StoreReadPlan;
  private generation = 0;
  private callsMade = 0;
  private storeAheadSinceMs: InstantMs | undefined;
  private roundTripMs = 0;
  private isWaiting = false;

  /** @param options - store, clock, random source and listener */
  constructor(private readonly options: PublishedReaderOptions) {
    this.plan = new StoreReadPlan(options.random);
  }

  /** Reports whether reading is active. */
  get active(): boolean {
    return this.isActive;
  }

  /** Returns the number of store calls so far, checks included. */
  get callCount(): number {
    return this.callsMade;
  }

  /**
   * Starts or stops reading; has no effect if already in that state.
   *
   * @param isActive - true to start
   */
  setActive(isActive: boolean): void {
    if (isActive === this.isActive) {
      return;
    }
    this.isActive = isActive;
    this.generation += 1;
    this.plan.restart();
    if (isActive) {
      void this.readLoop(this.generation);
      void this.checkLoop(this.generation);
    } else {
      this.options.source.close();
      this.setFailing(false, undefined);
    }
  }

  private isCurrent(generation: number): boolean {
    return this.isActive && this.generation === generation;
  }

  private async readLoop(generation: number): Promise<void> {
    const {clock, position} = this.options;
    while (this.isCurrent(generation)) {
      const {type, startMs} = this.plan.next(position());
      const delayMs = startMs - clock.nowMs();
      if (delayMs > 0) {
        await sleep(delayMs);
      } else if (type === 'read-all') {
        await this.readAll();
      } else {
        await this.waitForChanges();
      }
    }
  }

  private async readAll(): Promise<void> {
    const {source, clock, listener, position} = this.options;
    const sentMs = clock.nowMs();
    this.callsMade += 2;
    const read = await source.readAll(READ_ALL_TIMEOUT_MS);
    if (read.isErr()) {
      this.onError(read.error);
      return;
    }
    const {era} = read.value;
    if (era < position().era) {
      this.onError({type: 'outdated', reason: `snapshot of era ${era}`});
      return;
    }
    this.plan.onReadAll();
    this.setFailing(false, undefined);
    listener.onSnapshot(read.value);
    listener.onConfirmed(sentMs);
  }

  private async waitForChanges(): Promise<void> {
    const {source, clock, listener, position, role} = this.options;
    const sentMs = clock.nowMs();
    const after = position();
    this.callsMade += 1;
    this.isWaiting = true;
    const result = await source.waitForChanges(
      after,
      WAIT_TIME_MS,
      WAIT_TIME_MS + WAIT_GRACE_MS,
    );
    this.isWaiting = false;
    this.storeAheadSinceMs = undefined;
    const nowMs = clock.nowMs();
    if (result.isOk()) {
      this.plan.onWaited(result.value.changes.length, nowMs);
      this.setFailing(false, undefined);
      listener.onDelta(result.value);
      if (position().era === result.value.era) {
        listener.onConfirmed(Math.max(sentMs, nowMs - this.roundTripMs));
      }
    } else if (result.error.type === 'history-lost') {
      this.plan.onHistoryLost(after, role(), nowMs);
    } else if (!this.plan.isHistoryLost) {
      this.onError(result.error);
    }
  }

  private async checkLoop(generation: number): Promise<void> {
    let failedCount = 0;
    await sleep(CHECK_INTERVAL_MS * this.options.random.nextFloat());
    while (this.isCurrent(generation)) {
      if (this.options.position().revision > 0 && this.isWaiting) {
        failedCount = (await this.check()) ? 0 : failedCount + 1;
        if (failedCount > MAX_FAILED_CHECKS && this.isCurrent(generation)) {
          // The connection of the pending wait may be lost as well.
          this.options.source.close();
        }
      }
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  private async check(): Promise<boolean> {
    const {source, clock, listener, position, role} = this.options;
    const sentMs = clock.nowMs();
    this.callsMade += 1;
    const result = await source.check(CHECK_TIMEOUT_MS);
    if (result.isErr()) {
      this.setFailing(true, result.error);
      return false;
    }
    const nowMs = clock.nowMs();
    this.roundTripMs = nowMs - sentMs;
    const known = position();
    if (result.value.era > known.era) {
      // The pending wait follows a revision of the previous era.
      this.plan.onHistoryLost(known, role(), nowMs);
      source.close();
    } else if (comparePositions(result.value, known) > 0) {
      this.onStoreAhead(nowMs);
    } else {
      this.storeAheadSinceMs = undefined;
      if (this.isWaiting && result.value.era === known.era) {
        this.setFailing(false, undefined);
        listener.onConfirmed(sentMs);
      }
    }
    return true;
  }

  /**
   * Closes the connections if the store has reported a newer position than the
   * pending wait has delivered for too long.
   */
  private onStoreAhead(nowMs: InstantMs): void {
    this.storeAheadSinceMs ??= nowMs;
    if (nowMs - this.storeAheadSinceMs >= STALLED_WAIT_MS) {
      this.storeAheadSinceMs = undefined;
      this.options.source.close();
    }
  }

  private onError(error: SourceError): void {
    const {role, clock} = this.options;
    this.plan.onFailed(role(), clock.nowMs());
    this.setFailing(true, error);
  }

  private setFailing(isFailing: boolean, error: SourceError | undefined): void {
    if (isFailing !== this.isFailing) {
      this.isFailing = isFailing;
      this.options.listener.onReadStatusChanged(isFailing, error);
    }
  }
}
