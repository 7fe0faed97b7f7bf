/**
 * Admission of requests to a service that has too little room.
 *
 * @packageDocumentation
 */
import {ClassDemand, type AdmissionPolicy} from '../admission/index.js';
import type {InstantMs} from '../core/index.js';
import type {LoadBoard} from '../load/index.js';
import type {Delivery} from './delivery.js';
import type {RouteStatisticsTable} from './route_statistics.js';
import type {ServiceLimits} from './service_limits.js';
import {WaitingRequests} from './waiting_requests.js';

/** Options of {@link AdmissionControl}. */
export interface AdmissionControlOptions {
  readonly policy: AdmissionPolicy;
  readonly board: LoadBoard;
  readonly limits: ServiceLimits;
  readonly statistics: RouteStatisticsTable;
}

/** Room of a request at its service. */
export interface Room {
  /** Whether this VM may have one more request in flight. */
  readonly isFree: boolean;
  /** Whether the request may queue at a target. */
  readonly mayQueue: boolean;
}

/**
 * Decides which requests may be sent now, which wait, and which have to be
 * refused because others that are sent before them leave no time. The load of
 * the service and the share of urgent work are about the same at all VMs, so
 * these decide alike without messages.
 */
export class AdmissionControl {
  /** Requests that wait for room. */
  readonly waiting: WaitingRequests;
  private readonly demand = new ClassDemand();

  /** @param options - policy, loads, limits and statistics of routes */
  constructor(private readonly options: AdmissionControlOptions) {
    this.waiting = new WaitingRequests(options.policy, delivery =>
      this.workMsOf(delivery),
    );
  }

  /** Records the arrival of a request that this VM itself sends to a target. */
  onRequest(delivery: Delivery, nowMs: InstantMs): void {
    const {service, rule} = delivery;
    this.demand.record(service, rule.rank, this.workMsOf(delivery), nowMs);
  }

  /** Returns the room that a request finds at its service. */
  roomFor(delivery: Delivery, nowMs: InstantMs): Room {
    const {board, limits, policy} = this.options;
    const {service, hasTurn} = delivery;
    const load = board.serviceLoad(service, nowMs);
    const slotCount = limits.slotLimit(service, load, nowMs);
    const loadShare = load.inFlightCount / Math.max(1, load.slotCount);
    const urgentShare = hasTurn ? 0 : this.urgentShareOf(delivery, nowMs);
    const reservedCount = policy.reservedCount(
      urgentShare,
      slotCount,
      loadShare,
    );
    const availableCount = Math.max(1, slotCount - reservedCount);
    return {
      isFree: board.ownInFlight(service) < availableCount,
      mayQueue: !policy.keepsRoom(urgentShare, loadShare),
    };
  }

  /**
   * Returns the share of the resend budget that a request must leave.
   *
   * @param delivery - request to send again
   * @param ownReserve - share that is left for its own reasons
   * @param nowMs - current instant in milliseconds
   */
  resendReserve(
    delivery: Delivery,
    ownReserve: number,
    nowMs: InstantMs,
  ): number {
    const urgentShare = this.urgentShareOf(delivery, nowMs);
    const {policy} = this.options;
    return 1 - (1 - ownReserve) * (1 - policy.resendReserve(urgentShare));
  }

  /**
   * Returns whether those that are sent before a request leave it no time, so
   * that its caller is better told now than after a wait.
   */
  wouldStartTooLate(delivery: Delivery, nowMs: InstantMs): boolean {
    const aheadCount = this.waiting.countAhead(delivery, nowMs);
    if (aheadCount === 0) {
      return false;
    }
    const {board, limits} = this.options;
    const {service} = delivery;
    const load = board.serviceLoad(service, nowMs);
    const slotCount = limits.slotLimit(service, load, nowMs);
    const waitMs = (aheadCount * this.workMsOf(delivery)) / slotCount;
    return nowMs + waitMs > delivery.waitUntilMs;
  }

  private urgentShareOf({service, rule}: Delivery, nowMs: InstantMs): number {
    return this.demand.urgentShare(service, rule.rank, nowMs);
  }

  private workMsOf({rule}: Delivery): number {
    return this.options.statistics.of(rule).work.workMs;
  }
}
