/**
 * Answers that their callers have not read yet.
 *
 * @packageDocumentation
 */
import type {ServerResponse} from 'node:http';
import type {Clock} from '../core/index.js';
import {MemoryHolder, type MemoryBudget} from '../memory/index.js';

/**
 * Size from which on an answer counts against the budget, in bytes. Smaller ones
 * are bounded by the requests of one connection in progress.
 */
const MIN_COUNTED_BYTES = 4 * 1024;

/** What counting an answer needs. */
export interface UnreadAnswerOptions {
  readonly budget: MemoryBudget;
  readonly clock: Clock;
  /** Called if the answer is given up. */
  readonly onEvicted: () => void;
}

/** Bytes of an answer until the caller's connection has taken them. */
class UnreadAnswer extends MemoryHolder {
  private hasGivenUp = false;

  /**
   * @param response - answer, of which nothing was written yet
   * @param options - budget, clock, and what to call if it is given up
   */
  constructor(
    protected readonly response: ServerResponse,
    private readonly options: UnreadAnswerOptions,
  ) {
    super();
    response.once('finish', () => options.budget.release(this));
    response.once('close', () => options.budget.release(this));
  }

  /** Whether the connection was closed because there was no room. */
  protected get isGivenUp(): boolean {
    return this.hasGivenUp;
  }

  override onEvicted(): void {
    this.hasGivenUp = true;
    this.options.onEvicted();
    // An answer behind others has no socket of its own yet.
    this.response.req.socket.destroy();
  }

  /**
   * Sets the bytes that the caller's connection has not taken.
   *
   * @param sizeBytes - number of bytes
   * @returns false if the answer was given up
   */
  count(sizeBytes: number): boolean {
    const {budget, clock} = this.options;
    if (budget.resize(this, sizeBytes, clock.nowMs())) {
      return true;
    }
    this.onEvicted();
    return false;
  }
}

/**
 * Counts a complete answer until the caller's connection has taken it. If it
 * does not fit, the answer that has been unread for longest is given up by
 * closing its connection.
 *
 * @param response - answer, of which nothing was written yet
 * @param sizeBytes - size of its body
 * @param options - budget, clock, and what to call if an answer is given up
 * @returns false if the answer itself was given up
 */
export function countUnread(
  response: ServerResponse,
  sizeBytes: number,
  options: UnreadAnswerOptions,
): boolean {
  if (sizeBytes < MIN_COUNTED_BYTES) {
    return true;
  }
  return new UnreadAnswer(response, options).count(sizeBytes);
}

/**
 * Answer whose body is written while it arrives. What the caller's connection
 * has not taken counts as for a complete one.
 */
export class StreamedAnswer extends UnreadAnswer {
  private unreadBytes = 0;

  /**
   * @param response - answer, of which nothing was written yet
   * @param options - budget, clock, and what to call if it is given up
   */
  constructor(response: ServerResponse, options: UnreadAnswerOptions) {
    super(response, options);
    response.on('drain', () => this.setUnread(0));
  }

  /**
   * Writes a part of the body.
   *
   * @param chunk - bytes of the body
   * @returns false if the connection is full, until `drain`
   */
  write(chunk: Buffer): boolean {
    if (this.isGivenUp || this.response.destroyed) {
      return false;
    }
    const isTaken = this.response.write(chunk);
    this.setUnread(isTaken ? 0 : this.unreadBytes + chunk.length);
    return isTaken;
  }

  private setUnread(sizeBytes: number): void {
    if (sizeBytes !== this.unreadBytes && !this.isGivenUp) {
      this.unreadBytes = sizeBytes;
      this.count(sizeBytes);
    }
  }
}
