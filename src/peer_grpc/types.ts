/**
 * Types of the protocol between VMs.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {Digest, OwnerDelta} from '../membership/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';
import type {HybridTime} from '../timeline/index.js';

/** Largest message, in bytes; documents are at most half of it. */
export const MAX_MESSAGE_BYTES = 2 * 1_024 * 1_024;

/** Answer to an exchange. */
export interface ExchangeAnswer {
  /** Facts that the caller lacks. */
  readonly deltas: readonly OwnerDelta[];
  /** Entries that the callee lacks: its `missingFrom` the caller's digest. */
  readonly digest: Digest;
}

/** Counts the messages between VMs, for metrics. */
export interface PeerTraffic {
  /**
   * Called once for each message.
   *
   * @param direction - seen from this VM
   * @param call - name of the call, such as `Exchange`
   * @param sizeBytes - encoded message with gRPC's prefix of 5 bytes, without
   *     HTTP/2 and TCP
   */
  onMessage(
    direction: 'sent' | 'received',
    call: string,
    sizeBytes: number,
  ): void;
}

/** Claim records of a VM that is shutting down. */
export interface HandOver {
  readonly records: readonly ClaimRecord[];
  /** Instant at which the sender last evicted a record before its expiry. */
  readonly lastEvictionMs: InstantMs | undefined;
}

/** Error of a failed call, which the callee may have executed nevertheless. */
export interface PeerError {
  readonly type: 'deadline' | 'unreachable' | 'rejected' | 'failed';
  readonly message: string;
}

/** Hybrid logical clock of the process, whose time is sent in each message. */
export abstract class MessageStamp {
  /** Returns the timestamp for a message to send. */
  abstract next(): HybridTime;

  /** Advances the clock to the timestamp of a received message. */
  abstract observe(time: HybridTime): void;
}

/**
 * Handles calls of peers. Arguments are already validated, and instants in them
 * are relative to the clock of this process.
 */
export abstract class PeerHandler {
  abstract exchange(digest: Digest): ExchangeAnswer | Promise<ExchangeAnswer>;
  abstract push(deltas: readonly OwnerDelta[]): void | Promise<void>;
  abstract claim(request: ClaimRequest): ClaimAnswer | Promise<ClaimAnswer>;
  abstract settle(settlement: Settlement): void | Promise<void>;
  abstract handOver(handOver: HandOver): void | Promise<void>;
  abstract fetchDocument(
    name: DocumentName,
  ): PublishedDocument | undefined | Promise<PublishedDocument | undefined>;
}
