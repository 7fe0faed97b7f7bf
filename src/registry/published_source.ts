/**
 * Source from which the published state is read.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import type {
  PublishedDelta,
  PublishedSnapshot,
  StorePosition,
} from './types.js';

/** Failure of a read. */
export interface SourceError {
  readonly type:
    /** No response within the timeout. */
    | 'timeout'
    /** The connection was refused or lost. */
    | 'unreachable'
    /** The store rejected the call. */
    | 'rejected'
    /** The store no longer has the requested history, or was restored. */
    | 'history-lost'
    /** The response stems from an earlier era than the reader has. */
    | 'outdated'
    /** The response could not be decoded. */
    | 'malformed';
  /** Short description for the log. */
  readonly reason: string;
}

/** Reads and watches the store; offers no writes. */
export abstract class PublishedSource {
  /**
   * Reads the complete published state.
   *
   * @param timeoutMs - timeout of the whole read, in milliseconds
   * @returns the state, or the failure of the read
   */
  abstract readAll(
    timeoutMs: number,
  ): Promise<Result<PublishedSnapshot, SourceError>>;

  /**
   * Waits for changes after a position (long poll).
   *
   * @param after - position of the reader
   * @param waitMs - maximum time that the store holds the call, in milliseconds
   * @param timeoutMs - time after which the response counts as lost
   * @returns the changes, empty if the wait ended without any, or the failure
   */
  abstract waitForChanges(
    after: StorePosition,
    waitMs: number,
    timeoutMs: number,
  ): Promise<Result<PublishedDelta, SourceError>>;

  /**
   * Checks at low cost that the store responds. The position may be stale.
   *
   * @param timeoutMs - timeout of the check, in milliseconds
   * @returns a recent position of the store, or the failure
   */
  abstract check(
    timeoutMs: number,
  ): Promise<Result<StorePosition, SourceError>>;

  /** Closes all connections; pending calls end with an error. */
  abstract close(): void;
}
