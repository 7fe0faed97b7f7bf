/**
 * Running statistics of the requests of each route.
 *
 * @packageDocumentation
 */
import {WorkEstimate} from '../load/index.js';
import type {RouteRule} from '../routes/index.js';

/** Mean size assumed before the first response. */
const INITIAL_SIZE_KB = 2;

/** Weight of one response in the mean size. */
const SIZE_GAIN = 0.1;

/** Work and size of the requests of one route. */
export interface RouteStatistics {
  readonly work: WorkEstimate;
  /** Mean size of request and response together. */
  readonly sizeKb: number;
}

/** Statistics by name of the route. */
export class RouteStatisticsTable {
  private readonly byName = new Map<
    string,
    {readonly work: WorkEstimate; sizeKb: number}
  >();

  /**
   * Returns the statistics of a route.
   *
   * @param rule - route
   * @returns statistics; derived from the objective before the first response
   */
  of(rule: RouteRule): RouteStatistics {
    return this.entryOf(rule);
  }

  /**
   * Records the size of an answered request.
   *
   * @param rule - route of the request
   * @param sizeBytes - size of request and response together
   */
  recordSize(rule: RouteRule, sizeBytes: number): void {
    const entry = this.entryOf(rule);
    entry.sizeKb += (sizeBytes / 1024 - entry.sizeKb) * SIZE_GAIN;
  }

  private entryOf(rule: RouteRule): {
    readonly work: WorkEstimate;
    sizeKb: number;
  } {
    let entry = this.byName.get(rule.name);
    if (entry === undefined) {
      const work = new WorkEstimate(rule.objectiveMs);
      entry = {work, sizeKb: INITIAL_SIZE_KB};
      this.byName.set(rule.name, entry);
    }
    return entry;
  }
}
