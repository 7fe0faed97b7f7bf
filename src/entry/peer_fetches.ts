/**
 * Fetches of published state from peers.
 *
 * @packageDocumentation
 */
import {fetchPublished} from '../peer_datagram/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  StorePosition,
} from '../registry/index.js';
import type {EntryParts} from './entry_parts.js';

/**
 * Timeouts of a fetch from a peer, in milliseconds: without any bytes, and as a
 * whole. A large configuration takes a thin link longer than a small one.
 */
const FETCH_PROGRESS_TIMEOUT_MS = 400;
const FETCH_TIMEOUT_MS = 1_500;

/** Applies what was fetched. */
export interface FetchListener {
  /** Applies a snapshot; returns true if it changed the state. */
  applySnapshot(snapshot: PublishedSnapshot): boolean;
  /** Applies a delta; returns false if changes before it are missing. */
  applyDelta(delta: PublishedDelta): boolean;
}

/** Parts that fetches use. */
export type FetchParts = Pick<
  EntryParts,
  'clock' | 'fleet' | 'log' | 'settings' | 'state'
>;

/** Fetches the state of peers, one at a time. */
export class PeerFetches {
  private isFetching = false;

  /**
   * @param parts - parts that fetches use
   * @param listener - applies what was fetched
   */
  constructor(
    private readonly parts: FetchParts,
    private readonly listener: FetchListener,
  ) {}

  /** Fetches what a peer knows beyond the position of this VM. */
  startFetch(host: string): void {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    void this.fetchFromPeer(host, this.parts.state.position).finally(() => {
      this.isFetching = false;
    });
  }

  /** Fetches what a peer of the same position knows beyond the store. */
  startReconciliation(host: string): void {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    void this.fetchFromPeer(host, undefined).then(isChanged => {
      this.isFetching = false;
      if (isChanged !== undefined) {
        this.parts.fleet.onReconciled(isChanged);
      }
    });
  }

  /**
   * Fetches the state of a peer.
   *
   * @returns true if a snapshot changed this VM's state; undefined if the fetch
   *     failed
   */
  private async fetchFromPeer(
    host: string,
    after: StorePosition | undefined,
  ): Promise<boolean | undefined> {
    const {settings, fleet, clock, log} = this.parts;
    const sentMs = clock.nowMs();
    const fetched = await fetchPublished({
      host,
      port: settings.peerPort,
      after,
      timeoutMs: FETCH_TIMEOUT_MS,
      progressTimeoutMs: FETCH_PROGRESS_TIMEOUT_MS,
    });
    if (fetched.isErr()) {
      const {type, reason} = fetched.error;
      log.warn('published', 'fetch from peer failed', {host, type, reason});
      return undefined;
    }
    const {snapshot, delta, position} = fetched.value;
    const isChanged =
      snapshot !== undefined && this.listener.applySnapshot(snapshot);
    if (delta !== undefined && !this.listener.applyDelta(delta)) {
      // The delta builds on routes that this VM does not have.
      return this.fetchFromPeer(host, undefined);
    }
    fleet.recordPeerConfirmation(position, sentMs);
    return isChanged;
  }
}
