/**
 * Share of recent attempts at a target that failed.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Half-life of the weight of an outcome. */
const HALF_LIFE_MS = 1_500;

/** Answers assumed before the first outcome. */
const PRIOR_ANSWERED_COUNT = 2;

/** Time for which a failure share reported by a peer is used. */
const PEER_SHARE_TTL_MS = 1_000;

/** Failure share from exponentially decaying counts of outcomes. */
export class FailureShare {
  private answered = 0;
  private failed = 0;
  private updatedMs: InstantMs = 0;
  private peerShare = 0;
  private peerShareUntilMs: InstantMs = -Infinity;

  /** Adds outcomes. */
  add(answeredCount: number, failedCount: number, nowMs: InstantMs): void {
    this.decay(nowMs);
    this.answered += answeredCount;
    this.failed += failedCount;
  }

  /** Records the share computed by a peer with more outcomes. */
  setPeerShare(share: number, nowMs: InstantMs): void {
    this.peerShare = Math.min(1, share);
    this.peerShareUntilMs = nowMs + PEER_SHARE_TTL_MS;
  }

  /** Discards all outcomes and the share of the peer. */
  clear(): void {
    this.answered = 0;
    this.failed = 0;
    this.peerShareUntilMs = -Infinity;
  }

  /** Returns the share by the outcomes added here, 0 to 1. */
  localShare(nowMs: InstantMs): number {
    this.decay(nowMs);
    return this.failed / (this.answered + this.failed + PRIOR_ANSWERED_COUNT);
  }

  /** Returns the higher of the local and a recent share of a peer, 0 to 1. */
  share(nowMs: InstantMs): number {
    const local = this.localShare(nowMs);
    return nowMs < this.peerShareUntilMs
      ? Math.max(local, this.peerShare)
      : local;
  }

  private decay(nowMs: InstantMs): void {
    const factor = 0.5 ** (Math.max(0, nowMs - this.updatedMs) / HALF_LIFE_MS);
    this.answered *= factor;
    this.failed *= factor;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }
}
