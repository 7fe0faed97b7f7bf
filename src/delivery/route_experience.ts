/**
 * What is learned of the requests of each route.
 *
 * @packageDocumentation
 */
import {WorkEstimate} from '../load/index.js';
import type {RouteRule} from '../routes/index.js';

/** Size that requests of a route are assumed to have before any answer. */
const INITIAL_SIZE_KB = 2;

/** Weight of an answer in the mean size. */
const SIZE_GAIN = 0.1;

/** Work and size of the requests of one route. */
export interface RouteExperience {
  readonly work: WorkEstimate;
  /** Mean size of request and answer. */
  readonly sizeKb: number;
}

/** Experience by name of the route. */
export class RouteExperiences {
  private readonly byName = new Map<
    string,
    {readonly work: WorkEstimate; sizeKb: number}
  >();

  /**
   * Reads what is known of a route.
   *
   * @param rule - route
   * @returns experience; assumed from the objective before any answer
   */
  of(rule: RouteRule): RouteExperience {
    return this.entryOf(rule);
  }

  /**
   * Notes the size of an answered request.
   *
   * @param rule - route of the request
   * @param sizeBytes - size of request and answer
   */
  onSize(rule: RouteRule, sizeBytes: number): void {
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
