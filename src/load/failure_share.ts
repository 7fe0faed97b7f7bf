/**
 * Share of recent attempts at a target that failed.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Outcomes lose half of their weight in this time. */
const HALF_LIFE_MS = 1_500;

/** Answers that are assumed before anything is known. */
const PRIOR_ANSWERED = 2;

/** What a peer said counts for this time. */
const PEER_SHARE_MS = 1_000;

/** Decaying counts of answers and failures. */
export class FailureShare {
  private answered = 0;
  private failed = 0;
  private updatedMs: InstantMs = 0;
  private peerShare = 0;
  private peerShareUntilMs: InstantMs = -Infinity;

  /** Counts outcomes. */
  add(answeredCount: number, failedCount: number, nowMs: InstantMs): void {
    this.decay(nowMs);
    this.answered += answeredCount;
    this.failed += failedCount;
  }

  /** Takes in the share that a better informed peer computed. */
  setPeerShare(share: number, nowMs: InstantMs): void {
    this.peerShare = share;
    this.peerShareUntilMs = nowMs + PEER_SHARE_MS;
  }

  /** Forgets everything. */
  clear(): void {
    this.answered = 0;
    this.failed = 0;
    this.peerShareUntilMs = -Infinity;
  }

  /** Share by the outcomes counted here. */
  ownShare(nowMs: InstantMs): number {
    this.decay(nowMs);
    return this.failed / (this.answered + this.failed + PRIOR_ANSWERED);
  }

  /** Best estimate of the share. */
  share(nowMs: InstantMs): number {
    const own = this.ownShare(nowMs);
    return nowMs < this.peerShareUntilMs ? Math.max(own, this.peerShare) : own;
  }

  private decay(nowMs: InstantMs): void {
    const factor = 0.5 ** (Math.max(0, nowMs - this.updatedMs) / HALF_LIFE_MS);
    this.answered *= factor;
    this.failed *= factor;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }
}
