/**
 * Waits and messages of a planned shutdown.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {ROUND_MS} from '../membership/index.js';
import type {DaemonParts} from './daemon_parts.js';

/** Rounds in which the departure is announced before the process ends. */
const FAREWELL_ROUNDS = 4;

/** Time without a new connection after which the caller port is closed. */
const QUIET_MS = 100;

/** Longest wait for callers to stop connecting. */
const MAX_QUIET_WAIT_MS = 2_000;

/**
 * Time in which requests that were on their way when the caller port closed
 * are still read and answered.
 */
const LINGER_MS = 250;

/** Interval at which a planned shutdown looks for open requests. */
const POLL_MS = 20;

/** Parts that a planned shutdown needs. */
export type ShutdownParts = Pick<
  DaemonParts,
  | 'settings'
  | 'clock'
  | 'callers'
  | 'engine'
  | 'claims'
  | 'home'
  | 'book'
  | 'transport'
  | 'membership'
  | 'log'
>;

/**
 * The part of a planned shutdown in which peers and callers take part. Gossip
 * must go on meanwhile.
 *
 * @example
 * ```ts
 * const shutdown = new PlannedShutdown(parts);
 * await shutdown.run();
 * ```
 */
export class PlannedShutdown {
  /** @param parts - parts of the daemon, all running */
  constructor(private readonly parts: ShutdownParts) {}

  /**
   * Finishes requests, hands records over, and finishes what has arrived
   * meanwhile on connections that were open before.
   *
   * @returns when no request and no settlement is open
   */
  async run(): Promise<void> {
    await this.closePort();
    await this.finishOpen();
    await this.handOver();
    await this.finishOpen();
  }

  /** Lets callers notice, and closes the caller port. */
  private async closePort(): Promise<void> {
    const {settings, callers} = this.parts;
    callers.beginDrain();
    await sleep(settings.leaveDelayMs);
    await this.waitForQuiet();
    callers.stopListening();
    await sleep(LINGER_MS);
  }

  /** Waits until no request and no settlement is open. */
  private async finishOpen(): Promise<void> {
    const {callers, engine, claims} = this.parts;
    await waitUntil(
      () =>
        callers.openCount === 0 &&
        engine.inFlightCount() === 0 &&
        claims.openSettlementCount === 0,
    );
  }

  /**
   * Hands the records of keys over and, if that worked, announces the
   * departure and gives peers time to hear of it.
   */
  private async handOver(): Promise<void> {
    const {home, book, clock, transport, claims, membership, log} = this.parts;
    home.stopTaking();
    const {lastEvictionMs} = book.summary();
    const plan = home.planHandOver(clock.nowMs());
    let complete = plan.isComplete;
    for (const [vmId, records] of plan.batches) {
      const address = claims.addressOf(vmId);
      const acknowledged =
        address !== undefined &&
        (await transport.handOver(address, records, lastEvictionMs));
      complete &&= acknowledged;
    }
    if (!complete) {
      // Peers must see an unplanned departure: their records lack some.
      log.warn('records not handed over, ending without announcement');
      return;
    }
    membership.setOwnState('leaving');
    await sleep(FAREWELL_ROUNDS * ROUND_MS);
  }

  /**
   * Waits until no caller connects any more. Closing the port resets
   * connections that the operating system has taken but this process has not.
   */
  private async waitForQuiet(): Promise<void> {
    const {callers, clock} = this.parts;
    const latestMs = clock.nowMs() + MAX_QUIET_WAIT_MS;
    await waitUntil(() => {
      const nowMs = clock.nowMs();
      return nowMs - callers.connectedMs > QUIET_MS || nowMs > latestMs;
    });
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(POLL_MS);
  }
}
