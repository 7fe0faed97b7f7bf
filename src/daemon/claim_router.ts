/**
 * Brings claims and settlements to the home VM of their key.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../core/index.js';
import type {ClaimReply} from '../engine/index.js';
import type {Membership} from '../membership/index.js';
import type {
  ClaimAnswer,
  ClaimRequest,
  HomeVm,
  Settlement,
} from '../recovery/index.js';
import type {ComponentLog} from './component_log.js';
import type {PeerAddress, PeerTransport} from './peer_transport.js';

/** Sendings of a settlement; a claim without one becomes may-have-run. */
const SETTLE_ATTEMPTS = 5;

/** Pause between two sendings of a settlement. */
const SETTLE_PAUSE_MS = 500;

/** Options of {@link ClaimRouter}. */
export interface ClaimRouterOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly home: HomeVm;
  readonly transport: PeerTransport;
  readonly log: ComponentLog;
}

/** Calls the own home VM directly and others over the network. */
export class ClaimRouter {
  private openSettlements = 0;

  /** @param options - membership, own home VM and transport */
  constructor(private readonly options: ClaimRouterOptions) {}

  /** Number of settlements that were not acknowledged yet. */
  get openSettlementCount(): number {
    return this.openSettlements;
  }

  /**
   * Asks the home VM of a key.
   *
   * @param homeVmId - VM to ask
   * @param request - claim
   * @param onReply - called once
   */
  claim(
    homeVmId: string,
    request: ClaimRequest,
    onReply: (reply: ClaimReply) => void,
  ): void {
    const {token} = request;
    const {membership, home, clock, transport} = this.options;
    if (homeVmId === membership.self.vmId) {
      onReply({token, answer: home.claim(request, clock.nowMs())});
      return;
    }
    const address = this.addressOf(homeVmId);
    const asked: Promise<ClaimAnswer> =
      address === undefined
        ? Promise.resolve({type: 'unreachable'})
        : transport.claim(address, request);
    void asked
      .catch((error: unknown): ClaimAnswer => {
        this.options.log.error('claim failed', error);
        return {type: 'unreachable'};
      })
      .then(answer => onReply({token, answer}));
  }

  /**
   * Records a verdict at the home VM.
   *
   * @param homeVmId - VM that granted the claim
   * @param settlement - verdict
   */
  settle(homeVmId: string, settlement: Settlement): void {
    const {membership, home, clock} = this.options;
    if (homeVmId !== membership.self.vmId) {
      void this.settleAt(homeVmId, settlement);
      return;
    }
    const nextHomeId = home.settle(settlement, clock.nowMs());
    if (nextHomeId !== undefined) {
      void this.settleAt(nextHomeId, settlement);
    }
  }

  /**
   * Finds the peer address of a VM.
   *
   * @param vmId - VM
   * @returns address of its newest incarnation that is not dead
   */
  addressOf(vmId: string): PeerAddress | undefined {
    const members = this.options.membership
      .members()
      .filter(
        member => member.incarnation.vmId === vmId && member.state !== 'dead',
      )
      .sort((a, b) => b.lastHeardMs - a.lastHeardMs);
    return members[0]?.incarnation;
  }

  private async settleAt(vmId: string, settlement: Settlement): Promise<void> {
    this.openSettlements += 1;
    try {
      for (let i = 0; i < SETTLE_ATTEMPTS; i++) {
        const address = this.addressOf(vmId);
        if (
          address !== undefined &&
          (await this.options.transport.settle(address, settlement))
        ) {
          return;
        }
        await sleep(SETTLE_PAUSE_MS);
      }
      this.options.log.warn(`VM ${vmId} did not acknowledge a settlement`);
    } catch (error) {
      this.options.log.error('settlement failed', error);
    } finally {
      this.openSettlements -= 1;
    }
  }
}
