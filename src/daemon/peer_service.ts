/**
 * Server side of the calls between VMs.
 *
 * @packageDocumentation
 */
import type {Clock} from '../core/index.js';
import type {
  Digest,
  Fact,
  Membership,
  OwnerDelta,
} from '../membership/index.js';
import {
  PeerHandler,
  type ExchangeAnswer,
  type HandOver,
} from '../peer_grpc/index.js';
import type {
  ConfigDocument,
  DocumentName,
  DocumentStore,
  PublishedDocument,
  VmListDocument,
} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRequest,
  HomeVm,
  Settlement,
} from '../recovery/index.js';
import type {ClaimRouter} from './claim_router.js';

/** Options of {@link PeerService}. */
export interface PeerServiceOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly home: HomeVm;
  readonly claims: ClaimRouter;
  readonly config: DocumentStore<ConfigDocument>;
  readonly vms: DocumentStore<VmListDocument>;
  /** Called with the facts that were new to this VM. */
  readonly onFacts: (facts: readonly Fact[]) => void;
  /**
   * Called before each call is handled, because a call may be the first input
   * after a pause of this process.
   */
  readonly checkPause: () => void;
}

/** Dispatches calls of peers to membership, home VM and document stores. */
export class PeerService extends PeerHandler {
  /** @param options - the components that handle the calls */
  constructor(private readonly options: PeerServiceOptions) {
    super();
  }

  override exchange(digest: Digest): ExchangeAnswer {
    const {membership, checkPause} = this.options;
    checkPause();
    return {
      deltas: membership.deltaFor(digest),
      digest: membership.missingFrom(digest),
    };
  }

  override push(deltas: readonly OwnerDelta[]): void {
    const {membership, clock, onFacts, checkPause} = this.options;
    checkPause();
    onFacts(membership.merge(deltas, clock.nowMs()));
  }

  override claim(request: ClaimRequest): ClaimAnswer {
    const {home, clock, checkPause} = this.options;
    checkPause();
    return home.claim(request, clock.nowMs());
  }

  override settle(settlement: Settlement): void {
    const {claims, membership, checkPause} = this.options;
    checkPause();
    claims.settle(membership.self.vmId, settlement);
  }

  override handOver(handOver: HandOver): void {
    const {home, clock, checkPause} = this.options;
    checkPause();
    home.adopt(handOver.records, handOver.lastEvictionMs, clock.nowMs());
  }

  override fetchDocument(name: DocumentName): PublishedDocument | undefined {
    const {config, vms} = this.options;
    const store = name === 'config' ? config : vms;
    return store.adopted?.published;
  }
}
