/**
 * Gossip with all peers at once, for facts that must not wait.
 *
 * @packageDocumentation
 */
import {isUrgentFact} from '../engine/index.js';
import type {Membership} from '../membership/index.js';
import type {ComponentLog} from './component_log.js';
import type {PeerTransport} from './peer_transport.js';

/**
 * Least time between two broadcasts, in milliseconds. Bounds the cost when many
 * targets crash at once: 23 exchanges 10 times a second.
 */
const MIN_SPACING_MS = 100;

/** Options of {@link UrgentGossip}. */
export interface UrgentGossipOptions {
  readonly membership: Membership;
  readonly transport: PeerTransport;
  readonly log: ComponentLog;
  /** Waits for a time in milliseconds. */
  readonly sleep: (delayMs: number) => Promise<unknown>;
}

/**
 * Exchanges facts with every live peer after an urgent fact was published.
 * Facts published during a broadcast share the next one.
 *
 * @example
 * ```ts
 * membership.publish('quarantine/0011223344556677', '["t-01"]');
 * urgent.onPublished('quarantine/0011223344556677');
 * ```
 */
export class UrgentGossip {
  private isRunning = false;
  private isPending = false;

  /** @param options - membership, transport, log and timer */
  constructor(private readonly options: UrgentGossipOptions) {}

  /**
   * Notes that this VM published a fact.
   *
   * @param key - key of the fact; others than urgent ones have no effect
   */
  onPublished(key: string): void {
    if (!isUrgentFact(key)) {
      return;
    }
    this.isPending = true;
    if (!this.isRunning) {
      this.isRunning = true;
      void this.run();
    }
  }

  private async run(): Promise<void> {
    try {
      while (this.isPending) {
        this.isPending = false;
        await this.broadcast();
        await this.options.sleep(MIN_SPACING_MS);
      }
    } catch (error) {
      this.options.log.error('broadcast failed', error);
    } finally {
      this.isRunning = false;
    }
  }

  private async broadcast(): Promise<void> {
    const {membership, transport} = this.options;
    const {self} = membership;
    const peers = membership
      .members()
      .filter(
        ({incarnation, state}) =>
          state !== 'dead' && incarnation.bootId !== self.bootId,
      );
    await Promise.all(
      peers.map(({incarnation}) => transport.exchange(incarnation)),
    );
  }
}
