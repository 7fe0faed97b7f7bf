/**
 * What the daemon needs of the protocol between VMs.
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

/** Calls to other VMs. Failures are results, never exceptions. */
export abstract class PeerTransport {
  /** One round of gossip with a peer; false if it did not answer. */
  abstract exchange(peer: PeerAddress): Promise<boolean>;

  /** Asks the home VM; `unreachable` if no answer came in time. */
  abstract claim(
    peer: PeerAddress,
    request: ClaimRequest,
  ): Promise<ClaimAnswer>;

  /** Settles a claim; false if the home VM did not acknowledge. */
  abstract settle(peer: PeerAddress, settlement: Settlement): Promise<boolean>;

  /** Hands records over; false if the peer did not acknowledge. */
  abstract handOver(
    peer: PeerAddress,
    records: readonly ClaimRecord[],
    lastEvictionMs: InstantMs | undefined,
  ): Promise<boolean>;

  /** Fetches a document; undefined if the peer did not answer or has none. */
  abstract fetchDocument(
    peer: PeerAddress,
    name: DocumentName,
  ): Promise<PublishedDocument | undefined>;

  /** Closes the connections to peers. */
  abstract close(): Promise<void>;
}
