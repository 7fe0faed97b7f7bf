/**
 * Reads the store while this VM has the duty to.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, InstantMs, RandomSource} from '../core/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  PublishedSource,
  Revision,
  SourceError,
} from '../registry/index.js';

/** Time that a call may wait for changes; each wait is one call of the store. */
const WAIT_MS = 1_500;

/** Time beyond the wait after which an answer counts as lost. */
const WAIT_GRACE_MS = 700;

/** Time for a read of everything. */
const READ_ALL_TIMEOUT_MS = 1_500;

/** Interval of checks that the store answers. */
const CHECK_INTERVAL_MS = 450;

/** Time for one check. */
const CHECK_TIMEOUT_MS = 650;

/** Checks that may fail in a row until reading counts as failing. */
const MAX_FAILED_CHECKS = 1;

/** Pause after changes, so that those that follow come with one call. */
const GATHER_MS = 120;

/** Pause after a failed call, doubled with each further one. */
const RETRY_MS = 200;

/** Greatest pause after failed calls. */
const MAX_RETRY_MS = 1_600;

/** Time for which the store may report more than a pending wait has delivered. */
const MUTE_WAIT_MS = 300;

/** Receives what was read. */
export interface ReaderListener {
  onSnapshot(snapshot: PublishedSnapshot): void;
  onDelta(delta: PublishedDelta): void;
  /** Nothing newer than the known revision existed at this instant. */
  onConfirmed(confirmedMs: InstantMs): void;
  /** Reading began to fail, or works again. */
  onFailing(isFailing: boolean, error: SourceError | undefined): void;
}

/** Options of {@link PublishedReader}. */
export interface PublishedReaderOptions {
  readonly source: PublishedSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Reads the position of this VM; 0 before the first snapshot. */
  readonly revision: () => Revision;
  readonly listener: ReaderListener;
}

/**
 * Two loops: one waits for changes, the other checks that the store answers
 * and that the wait delivers what it should.
 */
export class PublishedReader {
  private isActive = false;
  private isFailing = false;
  private failureCount = 0;
  private needsAll = false;
  private run = 0;
  private callCount = 0;
  private aheadSinceMs: InstantMs | undefined;
  private roundTripMs = 0;
  private isWaiting = false;

  /** @param options - store, clock and listener */
  constructor(private readonly options: PublishedReaderOptions) {}

  /** True while this VM reads. */
  get active(): boolean {
    return this.isActive;
  }

  /** Calls made so far, checks included. */
  get calls(): number {
    return this.callCount;
  }

  /**
   * Starts or stops reading; does nothing if nothing changes.
   *
   * @param isActive - true to read
   */
  setActive(isActive: boolean): void {
    if (isActive === this.isActive) {
      return;
    }
    this.isActive = isActive;
    this.run += 1;
    this.failureCount = 0;
    if (isActive) {
      void this.readLoop(this.run);
      void this.checkLoop(this.run);
    } else {
      this.options.source.close();
      this.setFailing(false, undefined);
    }
  }

  private isCurrent(run: number): boolean {
    return this.isActive && this.run === run;
  }

  private async readLoop(run: number): Promise<void> {
    while (this.isCurrent(run)) {
      const needsAll = this.needsAll || this.options.revision() === 0;
      const isRead = needsAll ? await this.readAll() : await this.wait();
      if (this.isCurrent(run) && !isRead) {
        await sleep(this.retryPauseMs());
      }
    }
  }

  private async readAll(): Promise<boolean> {
    const {source, clock, listener} = this.options;
    const sentMs = clock.nowMs();
    this.callCount += 2;
    const read = await source.readAll(READ_ALL_TIMEOUT_MS);
    if (read.isErr()) {
      this.onError(read.error);
      return false;
    }
    this.needsAll = false;
    this.onSuccess();
    listener.onSnapshot(read.value);
    listener.onConfirmed(sentMs);
    return true;
  }

  private async wait(): Promise<boolean> {
    const {source, clock, listener, revision} = this.options;
    const sentMs = clock.nowMs();
    this.callCount += 1;
    this.isWaiting = true;
    const result = await source.waitForChanges(
      revision(),
      WAIT_MS,
      WAIT_MS + WAIT_GRACE_MS,
    );
    this.isWaiting = false;
    this.aheadSinceMs = undefined;
    if (result.isErr()) {
      this.needsAll = result.error.type === 'history-lost';
      if (!this.needsAll) {
        this.onError(result.error);
      }
      return this.needsAll;
    }
    this.onSuccess();
    listener.onDelta(result.value);
    listener.onConfirmed(Math.max(sentMs, clock.nowMs() - this.roundTripMs));
    if (result.value.changes.length > 0) {
      await sleep(GATHER_MS);
    }
    return true;
  }

  private async checkLoop(run: number): Promise<void> {
    let failedCount = 0;
    await sleep(CHECK_INTERVAL_MS * this.options.random.nextFloat());
    while (this.isCurrent(run)) {
      if (this.options.revision() > 0 && this.isWaiting) {
        failedCount = (await this.check()) ? 0 : failedCount + 1;
        if (failedCount > MAX_FAILED_CHECKS && this.isCurrent(run)) {
          // The pending wait may be on a path that is gone.
          this.options.source.close();
        }
      }
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  private async check(): Promise<boolean> {
    const {source, clock, listener, revision} = this.options;
    const sentMs = clock.nowMs();
    this.callCount += 1;
    const result = await source.check(CHECK_TIMEOUT_MS);
    if (result.isErr()) {
      this.setFailing(true, result.error);
      return false;
    }
    const nowMs = clock.nowMs();
    this.roundTripMs = nowMs - sentMs;
    if (result.value > revision()) {
      this.onAhead(nowMs);
    } else {
      this.aheadSinceMs = undefined;
      if (this.isWaiting) {
        this.setFailing(false, undefined);
        listener.onConfirmed(sentMs);
      }
    }
    return true;
  }

  /** The store reports more than the pending wait has delivered. */
  private onAhead(nowMs: InstantMs): void {
    this.aheadSinceMs ??= nowMs;
    if (nowMs - this.aheadSinceMs >= MUTE_WAIT_MS) {
      this.aheadSinceMs = undefined;
      this.options.source.close();
    }
  }

  private onError(error: SourceError): void {
    this.failureCount += 1;
    this.setFailing(true, error);
  }

  private onSuccess(): void {
    this.failureCount = 0;
    this.setFailing(false, undefined);
  }

  private setFailing(isFailing: boolean, error: SourceError | undefined): void {
    if (isFailing !== this.isFailing) {
      this.isFailing = isFailing;
      this.options.listener.onFailing(isFailing, error);
    }
  }

  private retryPauseMs(): number {
    const factor = 2 ** Math.max(0, this.failureCount - 1);
    const pauseMs = Math.min(RETRY_MS * factor, MAX_RETRY_MS);
    return pauseMs * (0.75 + this.options.random.nextFloat() / 2);
  }
}
