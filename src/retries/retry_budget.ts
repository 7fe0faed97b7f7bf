/**
 * Budget of retries of one service.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Tokens at start-up, and the level up to which tokens return without
 * traffic. A service with little traffic earns too few tokens from its first
 * attempts to survive the loss of one target.
 */
const MINIMUM_TOKENS = 10;

/** Tokens that return per second while the bucket is below the minimum. */
const MINIMUM_REFILL_PER_SECOND = 1;

/**
 * Greatest number of saved tokens. Bounds the burst of retries after a long
 * quiet time.
 */
const MAX_TOKENS = 100;

/** What a retry takes of the budget and leaves in it, in tokens. */
export interface RetryCost {
  readonly cost?: number;
  readonly reserve?: number;
}

/**
 * Token bucket: each first attempt adds a share of a token, each retry takes
 * its cost. Over any time the cost of all retries is at most the bucket's
 * content at its start + share x first attempts + 1 per second.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({share: 0.1, startMs: nowMs});
 * budget.onFirstAttempt();
 * const allowed = budget.tryTake(nowMs);
 * ```
 */
export class RetryBudget {
  private share: number;
  private tokens = MINIMUM_TOKENS;
  private refilledMs: InstantMs;

  /**
   * @param options - `share`: retries as a share of first attempts, 0 to 1;
   *     `startMs`: current instant in milliseconds
   */
  constructor(options: {readonly share: number; readonly startMs: InstantMs}) {
    this.share = options.share;
    this.refilledMs = options.startMs;
  }

  /**
   * Replaces the share; saved tokens stay.
   *
   * @param share - retries as a share of first attempts, 0 to 1
   */
  setShare(share: number): void {
    this.share = share;
  }

  /** Adds the share of one first attempt. */
  onFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /**
   * Takes a token, or a part of one, for one retry.
   *
   * @param nowMs - current instant in milliseconds
   * @param options - `cost`: tokens that the retry costs, more than 0 and at
   *     most 1, by default 1; `reserve`: tokens that must be left for others
   *     afterwards, by default 0
   * @returns false if the budget is used up
   */
  tryTake(nowMs: InstantMs, options: RetryCost = {}): boolean {
    const {cost = 1, reserve = 0} = options;
    if (this.share === 0) {
      return false;
    }
    this.refill(nowMs);
    if (this.tokens < cost + reserve) {
      return false;
    }
    this.tokens -= cost;
    return true;
  }

  /**
   * Reads the number of tokens.
   *
   * @returns tokens in the bucket, not rounded
   */
  get remaining(): number {
    return this.tokens;
  }

  private refill(nowMs: InstantMs): void {
    const elapsedSeconds = Math.max(0, nowMs - this.refilledMs) / 1000;
    this.refilledMs = nowMs;
    if (this.tokens < MINIMUM_TOKENS) {
      this.tokens = Math.min(
        MINIMUM_TOKENS,
        this.tokens + elapsedSeconds * MINIMUM_REFILL_PER_SECOND,
      );
    }
  }
}
