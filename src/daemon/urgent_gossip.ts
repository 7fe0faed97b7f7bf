/**
 * Immediate gossip with all peers for urgent facts.
 *
 * @packageDocumentation
 */
import {isUrgentFact} from '../engine/index.js';
import type {Membership} from '../membership/index.js';
import type {ComponentLog} from './component_log.js';
import type {PeerTransport} from './peer_transport.js';

/**
 * Shortest interval of broadcasts, in milliseconds. Bounds the cost when many
 * targets crash at once to 23 exchanges 10 times per second.
 */
const MIN_BROADCAST_INTERVAL_MS = 100;

/** Options of {@link UrgentGossip}. */
export interface UrgentGossipOptions {
  readonly membership: Membership;
  readonly transport: PeerTransport;
  readonly log: ComponentLog;
  /** Returns a promise that resolves after a delay in milliseconds. */
  readonly sleep: (delayMs: number) => Promise<unknown>;
}

/**
 * Exchanges facts with every live peer after an urgent fact is published. Facts
 * published during a broadcast share the next one.
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
   * Schedules a broadcast if a published fact is urgent.
   *
   * @param key - key of the fact that this VM published
   */
  onPublished(key: string): void {
    if (!isUrgentFact(key)) {
      return;
    }
    this.isPending = true;
    if (!this.isRunning) {
      this.isRunning = true;
      void this.runBroadcasts();
    }
  }

  private async runBroadcasts(): Promise<void> {
    try {
      while (this.isPending) {
        this.isPending = false;
        await this.broadcast();
        await this.options.sleep(MIN_BROADCAST_INTERVAL_MS);
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
