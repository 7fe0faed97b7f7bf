/**
 * Weighted division of the requests of a route over services.
 *
 * @packageDocumentation
 */
import type {RouteRule, WeightedService} from './types.js';

/** State of the split of one route. */
interface SplitState {
  /** Services and weights that the credits belong to. */
  readonly weights: string;
  readonly credits: Map<string, number>;
}

/**
 * Smooth weighted round robin for each route. Over any number of requests, the
 * count of each service differs from its exact share by fewer requests than the
 * route has services, so that the fleet keeps the weights without coordination.
 */
export class WeightedSplit {
  private readonly states = new Map<string, SplitState>();

  /**
   * Selects the service of the next request of a route.
   *
   * @param rule - route of the request
   * @param random - number from 0 to 1 that offsets the first request of a
   *     route, so that VMs do not all begin with the same service
   * @returns the service; undefined if no service has a positive weight
   */
  next(rule: RouteRule, random: number): string | undefined {
    const candidates = rule.services.filter(({weight}) => weight > 0);
    const [only] = candidates;
    if (candidates.length <= 1) {
      return only?.service;
    }
    const total = candidates.reduce((sum, {weight}) => sum + weight, 0);
    const {credits} = this.stateOf(rule.name, candidates, total * random);
    let best: WeightedService | undefined;
    let bestCredit = -Infinity;
    for (const candidate of candidates) {
      const credit = (credits.get(candidate.service) ?? 0) + candidate.weight;
      credits.set(candidate.service, credit);
      if (credit > bestCredit) {
        best = candidate;
        bestCredit = credit;
      }
    }
    if (best !== undefined) {
      credits.set(best.service, bestCredit - total);
    }
    return best?.service;
  }

  private stateOf(
    name: string,
    candidates: readonly WeightedService[],
    offset: number,
  ): SplitState {
    const weightsKey = candidates
      .map(({service, weight}) => `${service}=${weight}`)
      .join(',');
    const existing = this.states.get(name);
    if (existing?.weights === weightsKey) {
      return existing;
    }
    const state = {
      weights: weightsKey,
      credits: initialCredits(candidates, offset),
    };
    this.states.set(name, state);
    return state;
  }
}

/** Returns credits that sum to zero and differ between VMs. */
function initialCredits(
  candidates: readonly WeightedService[],
  offset: number,
): Map<string, number> {
  const credits = new Map<string, number>();
  const mean = offset / candidates.length;
  candidates.forEach(({service}, index) => {
    credits.set(service, (index === 0 ? offset : 0) - mean);
  });
  return credits;
}
