/**
 * Limits of one VM for each service: in-flight requests, resends, connections.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {FleetShare, type ServiceLoad} from '../limits/index.js';
import {WindowBudget, type WindowLimit} from '../retries/index.js';
import type {RouteTable} from '../routes/index.js';

/** Connections that each VM may open to a target, however large the fleet. */
const MIN_CONNECTION_COUNT = 2;

/** Options of {@link ServiceLimits}. */
export interface ServiceLimitsOptions {
  readonly resendLimit: WindowLimit;
  /** Returns an upper bound of the number of VMs. */
  readonly fleetSize: (nowMs: InstantMs) => number;
}

/** Shares of this VM in limits that hold for the whole fleet. */
export class ServiceLimits {
  private readonly shares = new Map<string, FleetShare>();
  private readonly budgets = new Map<string, WindowBudget>();

  /** @param options - target loads, resend limit and fleet size */
  constructor(private readonly options: ServiceLimitsOptions) {}

  /** Counts a request for the resend budget. */
  onRequest(service: string, nowMs: InstantMs): void {
    this.budgetOf(service).onRequest(nowMs);
  }

  /**
   * Takes one resend from the budget.
   *
   * @param service - name of the service
   * @param reserve - share of the budget, 0 to 1, to leave unused
   * @param nowMs - current instant in milliseconds
   * @returns false if the budget is used up
   */
  tryResend(service: string, reserve: number, nowMs: InstantMs): boolean {
    const fleetSize = this.options.fleetSize(nowMs);
    return this.budgetOf(service).tryTake({fleetSize, reserve}, nowMs);
  }

  /**
   * Computes the share of this VM in the requests in flight at a service.
   *
   * @param service - name of the service
   * @param load - load of the service
   * @param nowMs - current instant in milliseconds
   * @returns requests that this VM may have in flight, at least 1
   */
  slotLimit(service: string, load: ServiceLoad, nowMs: InstantMs): number {
    let share = this.shares.get(service);
    if (share === undefined) {
      share = new FleetShare();
      this.shares.set(service, share);
    }
    return share.limit(load, this.options.fleetSize(nowMs), nowMs);
  }

  /**
   * Computes the share of this VM in the connections that a target accepts.
   *
   * @param table - routes in force; undefined before there are any
   * @param service - name of the service
   * @param nowMs - current instant in milliseconds
   * @returns maximum number of connections of this VM to each target
   */
  maxConnections(
    table: RouteTable | undefined,
    service: string,
    nowMs: InstantMs,
  ): number {
    const limit = table?.service(service)?.maxConnectionsPerTarget ?? 0;
    const share = limit / this.options.fleetSize(nowMs);
    return Math.max(MIN_CONNECTION_COUNT, Math.floor(share));
  }

  private budgetOf(service: string): WindowBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new WindowBudget(this.options.resendLimit);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
