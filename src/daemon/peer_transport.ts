/**
 * Interface of the protocol between VMs.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';

/** Address of a VM's peer port. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Calls other VMs. Failures are returned as results and never thrown. */
export abstract class PeerTransport {
  /** Exchanges facts with a peer; returns false if it did not respond. */
  abstract exchange(peer: PeerAddress): Promise<boolean>;

  /**
   * Sends a claim to a home VM; returns `unreachable` if no answer came in
   * time.
   */
  abstract claim(
    peer: PeerAddress,
    request: ClaimRequest,
  ): Promise<ClaimAnswer>;

  /** Settles a claim; returns false if the home VM did not acknowledge. */
  abstract settle(peer: PeerAddress, settlement: Settlement): Promise<boolean>;

  /**
   * Hands claim records over; returns false if the peer did not acknowledge.
   */
  abstract handOver(
    peer: PeerAddress,
    records: readonly ClaimRecord[],
    lastEvictionMs: InstantMs | undefined,
  ): Promise<boolean>;

  /**
   * Fetches a document; returns undefined if the peer did not respond or has
   * none.
   */
  abstract fetchDocument(
    peer: PeerAddress,
    name: DocumentName,
  ): Promise<PublishedDocument | undefined>;

  /** Closes the connections to peers. */
  abstract close(): Promise<void>;
}
