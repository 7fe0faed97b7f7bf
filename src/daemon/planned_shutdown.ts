/**
 * Sequence of a planned shutdown.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {ROUND_MS} from '../membership/index.js';
import type {DaemonParts} from './daemon_parts.js';

/**
 * Gossip rounds in which the departure is announced before the process ends.
 */
const ANNOUNCEMENT_ROUNDS = 4;

/**
 * Time without new connections before the caller port is closed, in
 * milliseconds.
 */
const QUIET_PERIOD_MS = 100;

/** Longest wait for callers to stop connecting, in milliseconds. */
const MAX_QUIET_WAIT_MS = 2_000;

/**
 * Time after the caller port is closed in which requests already on their way
 * are still read and answered, in milliseconds.
 */
const LINGER_MS = 250;

/** Longest wait for callers to read their responses, in milliseconds. */
const MAX_DELIVERY_WAIT_MS = 5_000;

/** Interval of checks for the conditions of a shutdown, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Components that a planned shutdown needs. */
export type ShutdownParts = Pick<
  DaemonParts,
  | 'settings'
  | 'clock'
  | 'callers'
  | 'relayServer'
  | 'engine'
  | 'claims'
  | 'home'
  | 'claimTable'
  | 'transport'
  | 'membership'
  | 'log'
>;

/**
 * Runs the steps of a planned shutdown that involve peers and callers. Gossip
 * must continue meanwhile.
 *
 * @example
 * ```ts
 * const shutdown = new PlannedShutdown(parts);
 * await shutdown.run();
 * ```
 */
export class PlannedShutdown {
  /** @param parts - running components of the daemon */
  constructor(private readonly parts: ShutdownParts) {}

  /**
   * Finishes open requests, hands claim records over, and finishes the requests
   * that arrived meanwhile on connections that were already open.
   *
   * @returns a promise that resolves when no request and no settlement is open, and
   *     the responses were read or have waited for their callers for too long
   */
  async run(): Promise<void> {
    await this.closeCallerPort();
    await this.finishOpenRequests();
    await this.handOverRecords();
    await this.finishOpenRequests();
    await this.deliverResponses();
  }

  /** Signals the shutdown to callers, waits, and closes the caller port. */
  private async closeCallerPort(): Promise<void> {
    const {settings, callers, relayServer} = this.parts;
    callers.beginDrain();
    relayServer.beginDrain();
    await sleep(settings.leaveDelayMs);
    await this.waitForQuiet();
    callers.stopListening();
    relayServer.stopListening();
    await sleep(LINGER_MS);
  }

  /** Waits until no request and no settlement is open. */
  private async finishOpenRequests(): Promise<void> {
    const {callers, relayServer, engine, claims} = this.parts;
    await waitUntil(
      () =>
        callers.openCount === 0 &&
        relayServer.openCount === 0 &&
        engine.inFlightCount() === 0 &&
        claims.openSettlementCount === 0,
    );
  }

  /** Waits until callers have read their responses. */
  private async deliverResponses(): Promise<void> {
    const {callers, relayServer, clock} = this.parts;
    const latestMs = clock.nowMs() + MAX_DELIVERY_WAIT_MS;
    await waitUntil(
      () =>
        callers.undeliveredCount + relayServer.undeliveredCount === 0 ||
        clock.nowMs() > latestMs,
    );
  }

  /**
   * Hands claim records over. If that succeeds, announces the departure and
   * gives gossip time to spread it.
   */
  private async handOverRecords(): Promise<void> {
    const {home, claimTable, clock, transport, claims, membership, log} =
      this.parts;
    home.stopAcceptingClaims();
    const {lastEvictionMs} = claimTable.summary();
    const plan = home.planHandOver(clock.nowMs());
    let isComplete = plan.isComplete;
    for (const [vmId, records] of plan.batches) {
      const address = claims.addressOf(vmId);
      const acknowledged =
        address !== undefined &&
        (await transport.handOver(address, records, lastEvictionMs));
      isComplete &&= acknowledged;
    }
    if (!isComplete) {
      // Peers lack some records, so they must see an unplanned departure.
      log.warn('hand-over of claim records failed, departure is not announced');
      return;
    }
    membership.setState('leaving');
    await sleep(ANNOUNCEMENT_ROUNDS * ROUND_MS);
  }

  /**
   * Waits until callers no longer connect. Closing the port resets connections
   * that the operating system has accepted and this process has not.
   */
  private async waitForQuiet(): Promise<void> {
    const {callers, clock} = this.parts;
    const latestMs = clock.nowMs() + MAX_QUIET_WAIT_MS;
    await waitUntil(() => {
      const nowMs = clock.nowMs();
      return nowMs - callers.connectedMs > QUIET_PERIOD_MS || nowMs > latestMs;
    });
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(POLL_INTERVAL_MS);
  }
}
