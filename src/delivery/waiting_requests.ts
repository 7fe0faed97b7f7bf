/**
 * Requests that wait for room at their service.
 *
 * @packageDocumentation
 */
import type {AdmissionPolicy, PendingRequest} from '../admission/index.js';
import type {InstantMs} from '../core/index.js';
import type {Delivery} from './delivery.js';

/**
 * In one of this many passes the request that has waited for longest goes first,
 * so that urgent requests never keep a lower priority waiting for good.
 */
const DISPATCHES_PER_OLDEST = 8;

/** Waiting requests in the order of a policy. */
export class WaitingRequests {
  private readonly deliveries = new Set<Delivery>();
  private dispatchCount = 0;

  /**
   * @param policy - order of the requests
   * @param workMsOf - returns the expected time of a request at a target
   */
  constructor(
    private readonly policy: AdmissionPolicy,
    private readonly workMsOf: (delivery: Delivery) => number,
  ) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.deliveries.size;
  }

  /** Returns whether a request waits. */
  has(delivery: Delivery): boolean {
    return this.deliveries.has(delivery);
  }

  /** Adds a request. */
  add(delivery: Delivery): void {
    this.deliveries.add(delivery);
  }

  /** Removes a request, if it waits. */
  delete(delivery: Delivery): void {
    this.deliveries.delete(delivery);
  }

  /**
   * Lists the waiting requests in the order in which they are to be sent.
   *
   * @param nowMs - current instant in milliseconds
   */
  ordered(nowMs: InstantMs): readonly Delivery[] {
    const pending = [...this.deliveries].map(delivery => ({
      delivery,
      request: this.describe(delivery),
    }));
    pending.sort((a, b) => this.policy.compare(a.request, b.request, nowMs));
    const deliveries = pending.map(({delivery}) => delivery);
    this.dispatchCount += 1;
    if (this.dispatchCount % DISPATCHES_PER_OLDEST !== 0) {
      return deliveries;
    }
    const oldest = deliveries.reduce<Delivery | undefined>(
      (first, each) =>
        first !== undefined && first.sequence < each.sequence ? first : each,
      undefined,
    );
    if (oldest === undefined) {
      return [];
    }
    oldest.hasTurn = true;
    return [oldest, ...deliveries.filter(each => each !== oldest)];
  }

  /**
   * Counts the waiting requests of the same service that are to be sent before
   * a request.
   *
   * @param delivery - request, waiting or not
   * @param nowMs - current instant in milliseconds
   */
  countAhead(delivery: Delivery, nowMs: InstantMs): number {
    if (this.deliveries.size === 0) {
      return 0;
    }
    const request = this.describe(delivery);
    let count = 0;
    for (const other of this.deliveries) {
      if (other !== delivery && other.service === delivery.service) {
        const order = this.policy.compare(this.describe(other), request, nowMs);
        count += Number(order < 0);
      }
    }
    return count;
  }

  private describe(delivery: Delivery): PendingRequest {
    const {sequence, rule, objectiveAtMs, expiresAtMs} = delivery;
    return {
      sequence,
      rank: rule.rank,
      objectiveAtMs,
      expiresAtMs,
      workMs: this.workMsOf(delivery),
    };
  }
}
