/**
 * Decision whether a peer carries a request.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {RelayPeers, type RelayCandidate} from './relay_peers.js';
import {TargetReachability} from './target_reachability.js';

/**
 * Targets that a request could not reach, after which it is passed to a peer
 * although the VM reaches others.
 */
const MAX_UNREACHABLE_COUNT = 2;

/** Most peers that a request is passed to, one after the other. */
const MAX_PEER_COUNT = 3;

/** Progress of a request that may be passed to a peer. */
export interface RelayedProgress {
  /** Targets that could not be reached for this request. */
  readonly unreachableCount: number;
  /** Peers that have refused the request or could not be reached. */
  readonly triedHosts: readonly string[];
}

/** Next step of a request. */
export type RelayDecision =
  | {readonly type: 'send-directly'}
  | {readonly type: 'relay'; readonly host: string}
  /** This VM reaches no target, and no further peer may be asked. */
  | {readonly type: 'give-up'};

/** Options of {@link RelayPolicy}. */
export interface RelayPolicyOptions {
  readonly reachability: TargetReachability;
  readonly peers: RelayPeers;
  readonly random: RandomSource;
}

/**
 * Decides which requests of callers are passed to peers. Without any peer that
 * reaches targets, requests take the direct way: the targets are down, or the
 * VM knows no peer.
 */
export class RelayPolicy {
  /**
   * Creates a policy of a VM without peers, which sends all requests directly.
   *
   * @param random - random source
   */
  static withoutPeers(random: RandomSource): RelayPolicy {
    const candidates = (): readonly RelayCandidate[] => [];
    const peers = new RelayPeers({failureDomain: '', random, candidates});
    const reachability = new TargetReachability();
    return new RelayPolicy({reachability, peers, random});
  }

  /** @param options - reachability of targets, peers and random source */
  constructor(private readonly options: RelayPolicyOptions) {}

  /** Reachability of targets from this VM. */
  get reachability(): TargetReachability {
    return this.options.reachability;
  }

  /** Peers that carry requests. */
  get peers(): RelayPeers {
    return this.options.peers;
  }

  /**
   * Decides the next step of a request that waits for a target.
   *
   * @param progress - what the request has tried
   * @param nowMs - current instant in milliseconds
   * @returns the decision
   */
  decide(
    {unreachableCount, triedHosts}: RelayedProgress,
    nowMs: InstantMs,
  ): RelayDecision {
    const {reachability, peers, random} = this.options;
    const isUnlucky = unreachableCount >= MAX_UNREACHABLE_COUNT;
    const share = isUnlucky ? 1 : reachability.relayShare(nowMs);
    if (share === 0 || random.nextFloat() >= share) {
      return {type: 'send-directly'};
    }
    const host =
      triedHosts.length < MAX_PEER_COUNT
        ? peers.choose(triedHosts, nowMs)
        : undefined;
    if (host !== undefined) {
      return {type: 'relay', host};
    }
    const hasFailed = triedHosts.length > 0 && reachability.isCutOff;
    return {type: hasFailed ? 'give-up' : 'send-directly'};
  }
}
