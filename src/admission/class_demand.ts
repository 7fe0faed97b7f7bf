/**
 * Demand for services by priority.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Half-life of the demand in milliseconds; crests rise within seconds. */
const HALF_LIFE_MS = 3_000;

/** Work of one rank, decayed to an instant. */
interface RankDemand {
  workMs: number;
  updatedMs: InstantMs;
}

/**
 * Measures how much of the work that arrives at this VM is more urgent than
 * other work. Callers reach all VMs alike, so VMs come to about the same shares
 * without messages.
 */
export class ClassDemand {
  private readonly byService = new Map<string, Map<number, RankDemand>>();

  /**
   * Records a request on its arrival.
   *
   * @param service - service of the request
   * @param rank - priority; 0 is the most urgent
   * @param workMs - expected time at a target, in milliseconds
   * @param nowMs - current instant in milliseconds
   */
  record(
    service: string,
    rank: number,
    workMs: number,
    nowMs: InstantMs,
  ): void {
    let ranks = this.byService.get(service);
    if (ranks === undefined) {
      ranks = new Map();
      this.byService.set(service, ranks);
    }
    const before = ranks.get(rank);
    const kept = before === undefined ? 0 : decayed(before, nowMs);
    ranks.set(rank, {workMs: kept + workMs, updatedMs: nowMs});
  }

  /**
   * Returns the share of the work that is more urgent than a rank.
   *
   * @param service - name of the service
   * @param rank - priority
   * @param nowMs - current instant in milliseconds
   * @returns share, 0 to 1; 0 without any demand
   */
  urgentShare(service: string, rank: number, nowMs: InstantMs): number {
    let urgentMs = 0;
    let totalMs = 0;
    for (const [other, demand] of this.byService.get(service) ?? []) {
      const workMs = decayed(demand, nowMs);
      totalMs += workMs;
      urgentMs += other < rank ? workMs : 0;
    }
    return totalMs === 0 ? 0 : urgentMs / totalMs;
  }
}

function decayed({workMs, updatedMs}: RankDemand, nowMs: InstantMs): number {
  return workMs * 0.5 ** ((nowMs - updatedMs) / HALF_LIFE_MS);
}
