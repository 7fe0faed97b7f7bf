/**
 * Routing of claims and settlements to the home VM of their key.
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

/** Most sends of a settlement; a claim without one becomes may-have-run. */
const MAX_SETTLE_ATTEMPTS = 5;

/** Delay between two sends of a settlement, in milliseconds. */
const SETTLE_RETRY_DELAY_MS = 500;

/** Options of {@link ClaimRouter}. */
export interface ClaimRouterOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly home: HomeVm;
  readonly transport: PeerTransport;
  readonly log: ComponentLog;
}

/** Calls the home VM in this process directly and others over the network. */
export class ClaimRouter {
  private openSettlements = 0;

  /** @param options - membership, home VM of this process, and transport */
  constructor(private readonly options: ClaimRouterOptions) {}

  /** Returns the number of settlements that are not acknowledged yet. */
  get openSettlementCount(): number {
    return this.openSettlements;
  }

  /**
   * Sends a claim to the home VM of its key.
   *
   * @param homeVmId - home VM of the key
   * @param request - claim to send
   * @param onReply - called once with the answer, `unreachable` if none came
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
    const pendingAnswer: Promise<ClaimAnswer> =
      address === undefined
        ? Promise.resolve({type: 'unreachable'})
        : transport.claim(address, request);
    void pendingAnswer
      .catch((error: unknown): ClaimAnswer => {
        this.options.log.error('claim failed', error);
        return {type: 'unreachable'};
      })
      .then(answer => onReply({token, answer}));
  }

  /**
   * Settles a claim at the home VM, which may forward it to the next home VM.
   *
   * @param homeVmId - VM that granted the claim
   * @param settlement - verdict on the claim
   */
  settle(homeVmId: string, settlement: Settlement): void {
    const {membership, home, clock} = this.options;
    if (homeVmId !== membership.self.vmId) {
      void this.sendSettlement(homeVmId, settlement);
      return;
    }
    const nextHomeId = home.settle(settlement, clock.nowMs());
    if (nextHomeId !== undefined) {
      void this.sendSettlement(nextHomeId, settlement);
    }
  }

  /**
   * Finds the peer address of a VM.
   *
   * @param vmId - id of the VM
   * @returns address of the incarnation heard last that is not dead, or
   *     undefined if there is none
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

  private async sendSettlement(
    vmId: string,
    settlement: Settlement,
  ): Promise<void> {
    this.openSettlements += 1;
    try {
      for (let i = 0; i < MAX_SETTLE_ATTEMPTS; i++) {
        const address = this.addressOf(vmId);
        if (
          address !== undefined &&
          (await this.options.transport.settle(address, settlement))
        ) {
          return;
        }
        await sleep(SETTLE_RETRY_DELAY_MS);
      }
      this.options.log.warn(`VM ${vmId} did not acknowledge a settlement`);
    } catch (error) {
      this.options.log.error('settlement failed', error);
    } finally {
      this.openSettlements -= 1;
    }
  }
}
