/**
 * Where published changes are read.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import type {PublishedDelta, PublishedSnapshot, Revision} from './types.js';

/** Why a read gave nothing. */
export interface SourceError {
  readonly type:
    /** No answer within the time allowed. */
    | 'timeout'
    /** The connection was refused or broke. */
    | 'unreachable'
    /** The store turned the call away. */
    | 'rejected'
    /** The store no longer has the history that was asked for. */
    | 'history-lost'
    /** The answer could not be understood. */
    | 'malformed';
  /** Short description for the log. */
  readonly reason: string;
}

/** Reads a store that can only be read and watched. */
export abstract class PublishedSource {
  /**
   * Reads everything.
   *
   * @param timeoutMs - time for the whole read, in milliseconds
   * @returns the state, or why it could not be read
   */
  abstract readAll(
    timeoutMs: number,
  ): Promise<Result<PublishedSnapshot, SourceError>>;

  /**
   * Waits for changes.
   *
   * @param after - position of the reader
   * @param waitMs - time to wait for a change, in milliseconds
   * @param timeoutMs - time after which the answer counts as lost
   * @returns the changes, none if the wait ended without, or why not
   */
  abstract waitForChanges(
    after: Revision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<Result<PublishedDelta, SourceError>>;

  /**
   * Checks cheaply that the store answers. The revision may be old.
   *
   * @param timeoutMs - time for the check, in milliseconds
   * @returns a revision that the store had not long ago, or why not
   */
  abstract check(timeoutMs: number): Promise<Result<Revision, SourceError>>;

  /** Closes connections; open calls end with an error. */
  abstract close(): void;
}
