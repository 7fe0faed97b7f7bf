/**
 * Retry budget of one service.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Initial tokens, and the level up to which the bucket refills without traffic.
 * The first attempts of a service with little traffic add too few tokens to
 * survive the loss of one target.
 */
const MIN_TOKENS = 10;

/** Tokens added per second while the bucket is below `MIN_TOKENS`. */
const REFILL_PER_SECOND = 1;

/**
 * Capacity of the bucket. Bounds the burst of retries after a long time without
 * retries.
 */
const MAX_TOKENS = 100;

/** Cost of a retry and the reserve it must leave, in tokens. */
export interface RetryCost {
  readonly cost?: number;
  readonly reserve?: number;
}

/**
 * Token bucket that limits retries. Each first attempt adds a share of a token,
 * each retry takes its cost. Over any interval the cost of all retries is at
 * most the bucket's content at the start of the interval + share x first
 * attempts + 1 per second.
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
  private tokens = MIN_TOKENS;
  private lastRefillMs: InstantMs;

  /**
   * @param options - `share`: retries as a share of first attempts, 0 to 1;
   *     `startMs`: current instant in milliseconds
   */
  constructor(options: {readonly share: number; readonly startMs: InstantMs}) {
    this.share = options.share;
    this.lastRefillMs = options.startMs;
  }

  /**
   * Replaces the share and keeps the tokens.
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
   * Takes the cost of one retry if the budget allows it.
   *
   * @param nowMs - current instant in milliseconds
   * @param options - `cost`: tokens that the retry costs, more than 0 and at
   *     most 1, by default 1; `reserve`: tokens that must remain for other
   *     retries, by default 0
   * @returns true if the retry is allowed; false if the budget is exhausted
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

  /** Tokens in the bucket, not rounded. */
  get remaining(): number {
    return this.tokens;
  }

  private refill(nowMs: InstantMs): void {
    const elapsedSeconds = Math.max(0, nowMs - this.lastRefillMs) / 1000;
    this.lastRefillMs = nowMs;
    if (this.tokens < MIN_TOKENS) {
      this.tokens = Math.min(
        MIN_TOKENS,
        this.tokens + elapsedSeconds * REFILL_PER_SECOND,
      );
    }
  }
}
