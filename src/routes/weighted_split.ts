/**
 * Division of the requests of a route over services by weight.
 *
 * @packageDocumentation
 */
import type {RouteRule, WeightedService} from './types.js';

interface Share {
  readonly weights: string;
  readonly credits: Map<string, number>;
}

/**
 * Smooth weighted round robin for each route. Over any number of requests the
 * share of each service differs from its weight by less than one request, so
 * that the sum over all VMs keeps the weights without messages.
 */
export class WeightedSplit {
  private readonly shares = new Map<string, Share>();

  /**
   * Assigns the next request of a route.
   *
   * @param rule - route of the request
   * @param random - number from 0 to 1 that places the first request of a
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
    const {credits} = this.shareOf(rule.name, candidates, total * random);
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

  private shareOf(
    name: string,
    candidates: readonly WeightedService[],
    offset: number,
  ): Share {
    const weights = candidates
      .map(({service, weight}) => `${service}=${weight}`)
      .join(',');
    const known = this.shares.get(name);
    if (known?.weights === weights) {
      return known;
    }
    const share = {weights, credits: startCredits(candidates, offset)};
    this.shares.set(name, share);
    return share;
  }
}

/** Credits that sum to zero and differ between VMs. */
function startCredits(
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
