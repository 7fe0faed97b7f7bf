/**
 * Calls to other VMs over gRPC.
 *
 * @packageDocumentation
 */
import type {Clock, InstantMs} from '../core/index.js';
import type {Fact, Membership} from '../membership/index.js';
import type {PeerClient} from '../peer_grpc/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';
import {PeerTransport, type PeerAddress} from './peer_transport.js';

/** Options of {@link GrpcTransport}. */
export interface GrpcTransportOptions {
  readonly clock: Clock;
  readonly client: PeerClient;
  readonly membership: Membership;
  /** Called with the facts that were new to this VM. */
  readonly onFacts: (facts: readonly Fact[]) => void;
}

/** Implements the peer transport with the gRPC client. */
export class GrpcTransport extends PeerTransport {
  /** @param options - client, membership and listener */
  constructor(private readonly options: GrpcTransportOptions) {
    super();
  }

  override async exchange(peer: PeerAddress): Promise<boolean> {
    const {client, membership, clock, onFacts} = this.options;
    const answer = await client.exchange(peer, membership.digest());
    if (answer.isErr()) {
      return false;
    }
    const {deltas, digest} = answer.value;
    onFacts(membership.merge(deltas, clock.nowMs()));
    const missing = membership.deltaFor(digest, {listedOnly: true});
    return missing.length === 0 || (await client.push(peer, missing)).isOk();
  }

  override claim(
    peer: PeerAddress,
    request: ClaimRequest,
  ): Promise<ClaimAnswer> {
    return this.options.client.claim(peer, request);
  }

  override async settle(
    peer: PeerAddress,
    settlement: Settlement,
  ): Promise<boolean> {
    return (await this.options.client.settle(peer, settlement)).isOk();
  }

  override async handOver(
    peer: PeerAddress,
    records: readonly ClaimRecord[],
    lastEvictionMs: InstantMs | undefined,
  ): Promise<boolean> {
    const handOver = {records, lastEvictionMs};
    return (await this.options.client.handOver(peer, handOver)).isOk();
  }

  override async fetchDocument(
    peer: PeerAddress,
    name: DocumentName,
  ): Promise<PublishedDocument | undefined> {
    const answer = await this.options.client.fetchDocument(peer, name);
    return answer.unwrapOr(undefined);
  }

  override close(): Promise<void> {
    this.options.client.close();
    return Promise.resolve();
  }
}
