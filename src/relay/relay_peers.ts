/**
 * Choice of the peer that carries a request.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';

/** Time for which a peer that could not be reached is avoided. */
const AVOIDED_AFTER_FAILURE_MS = 1_000;

/** Time for which a peer that refused a request is avoided. */
const AVOIDED_AFTER_REFUSAL_MS = 200;

/**
 * Peers of the own failure domain that suffice to use no others. Fewer would
 * have to carry the requests of many VMs.
 */
const MIN_LOCAL_COUNT = 2;

/** Candidates of which the one with the fewest open requests is chosen. */
const COMPARED_COUNT = 2;

/** Peer that reaches targets. */
export interface RelayCandidate {
  readonly host: string;
  readonly failureDomain: string;
}

/** How a request at a peer ended. */
export type RelayOutcome =
  /** The peer forwarded the response of a target. */
  | 'carried'
  /** The peer refused the request, which did not run. */
  | 'refused'
  /** No connection to the peer could be opened, or it was lost. */
  | 'failed'
  /** The request was cancelled; does not count for the peer. */
  | 'withdrawn';

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions {
  readonly failureDomain: string;
  readonly random: RandomSource;
  /** Lists the peers that are ready and reach targets. */
  readonly candidates: (nowMs: InstantMs) => readonly RelayCandidate[];
}

/** Distributes requests over the peers that reach targets. */
export class RelayPeers {
  private readonly openCounts = new Map<string, number>();
  private readonly avoidedUntilMs = new Map<string, InstantMs>();
  private carriedCounts = new Map<string, number>();

  /** @param options - failure domain, random source and candidates */
  constructor(private readonly options: RelayPeersOptions) {}

  /**
   * Chooses a peer: of the own failure domain if it has enough, and of two
   * random ones that with fewer open requests of this VM. A peer that hangs
   * thus gets few.
   *
   * @param excludedHosts - peers that must not be chosen
   * @param nowMs - current instant in milliseconds
   * @returns host of the peer; undefined if there is none
   */
  choose(
    excludedHosts: readonly string[],
    nowMs: InstantMs,
  ): string | undefined {
    const {failureDomain, candidates} = this.options;
    const allowed = candidates(nowMs).filter(
      ({host}) => !excludedHosts.includes(host),
    );
    const preferred = allowed.filter(
      ({host}) => nowMs >= (this.avoidedUntilMs.get(host) ?? -Infinity),
    );
    const usable = preferred.length > 0 ? preferred : allowed;
    const local = usable.filter(each => each.failureDomain === failureDomain);
    const chosen = local.length >= MIN_LOCAL_COUNT ? local : usable;
    let best: string | undefined;
    for (let i = 0; i < Math.min(COMPARED_COUNT, chosen.length); i += 1) {
      const {host} = this.pick(chosen);
      if (best === undefined || this.openCount(host) < this.openCount(best)) {
        best = host;
      }
    }
    return best;
  }

  /** Records that a request was passed to a peer. */
  onStarted(host: string): void {
    this.openCounts.set(host, this.openCount(host) + 1);
  }

  /** Records how a request at a peer ended. */
  onEnded(host: string, outcome: RelayOutcome, nowMs: InstantMs): void {
    const openCount = this.openCount(host) - 1;
    if (openCount > 0) {
      this.openCounts.set(host, openCount);
    } else {
      this.openCounts.delete(host);
    }
    if (outcome === 'carried') {
      const count = this.carriedCounts.get(host) ?? 0;
      this.carriedCounts.set(host, count + 1);
      this.avoidedUntilMs.delete(host);
    } else if (outcome === 'refused') {
      this.avoid(host, nowMs + AVOIDED_AFTER_REFUSAL_MS, nowMs);
    } else if (outcome === 'failed') {
      this.avoid(host, nowMs + AVOIDED_AFTER_FAILURE_MS, nowMs);
    }
  }

  private avoid(host: string, untilMs: InstantMs, nowMs: InstantMs): void {
    for (const [other, endMs] of this.avoidedUntilMs) {
      if (endMs <= nowMs) {
        this.avoidedUntilMs.delete(other);
      }
    }
    this.avoidedUntilMs.set(host, untilMs);
  }

  /** Returns and resets the requests carried since the last call, by peer. */
  takeCarriedCounts(): ReadonlyMap<string, number> {
    const counts = this.carriedCounts;
    this.carriedCounts = new Map();
    return counts;
  }

  private pick(candidates: readonly RelayCandidate[]): RelayCandidate {
    const index = Math.floor(
      this.options.random.nextFloat() * candidates.length,
    );
    const candidate = candidates[index] ?? candidates[0];
    if (candidate === undefined) {
      throw new RangeError('no candidates');
    }
    return candidate;
  }

  private openCount(host: string): number {
    return this.openCounts.get(host) ?? 0;
  }
}
