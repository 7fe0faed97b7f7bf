/**
 * Selection of a target by forecast cost.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {TargetForecast} from './types.js';

/** Expected share of the objective at which half of the responses are late. */
const LATE_MIDPOINT = 0.9;

/** Slope of the logistic curve at the midpoint. */
const LATE_STEEPNESS = 8;

/**
 * Cost of taking the whole objective; decides between targets that are all in
 * time or all late.
 */
const LATENCY_COST = 0.2;

/** Cost of each kilobyte sent between failure domains. */
const CROSS_DOMAIN_COST_PER_KB = 0.03;

/** Cost difference within which choices count as equal. */
const COST_TOLERANCE = 0.02;

/** Cost difference within which ranks count as equal. */
const RANK_TOLERANCE = 1e-6;

/** Lower bound of the weight of a target, for targets without a free slot. */
const MIN_WEIGHT = 0.2;

/** Requirements of a request on its target. */
export interface RequestNeeds {
  /**
   * Time until a response loses its full worth; negative once it has passed.
   */
  readonly timeToObjectiveMs: number;
  /** Time from arrival within which a response has its full worth. */
  readonly objectiveMs: number;
  /** Time until the request expires. */
  readonly timeToDeadlineMs: number;
  /** Expected size of request and response together. */
  readonly sizeKb: number;
  /** Requests that may queue at a target beyond its slots. */
  readonly maxExcessCount: number;
}

/** A target, its forecast and its cost. */
export interface TargetChoice {
  readonly forecast: TargetForecast;
  /** 0 for an immediate, certain response; higher is worse. */
  readonly cost: number;
}

/**
 * Selects the target with the lowest cost. Among nearly equal targets it picks
 * at random, weighted by free slots, so that VMs with the same load reports do
 * not all send to the same target.
 *
 * @param forecasts - candidates
 * @param needs - requirements of the request
 * @param random - source of random numbers
 * @returns the choice, or undefined if all candidates are full
 */
export function chooseTarget(
  forecasts: readonly TargetForecast[],
  needs: RequestNeeds,
  random: RandomSource,
): TargetChoice | undefined {
  const choices: TargetChoice[] = [];
  let lowest = Infinity;
  for (const forecast of forecasts) {
    if (forecast.excessCount <= needs.maxExcessCount) {
      const cost = costOf(forecast, needs);
      choices.push({forecast, cost});
      lowest = Math.min(lowest, cost);
    }
  }
  const best = choices.filter(({cost}) => cost <= lowest + COST_TOLERANCE);
  return pickWeighted(best, random);
}

/**
 * Sorts targets by cost, equal ones at random. In a fixed order, all VMs
 * that know nothing of a set of targets would select the same few.
 *
 * @param forecasts - candidates
 * @param needs - requirements of the request
 * @param random - source of random numbers
 * @returns candidates with their cost, lowest first
 */
export function rankTargets(
  forecasts: readonly TargetForecast[],
  needs: RequestNeeds,
  random: RandomSource,
): readonly TargetChoice[] {
  return forecasts
    .map(forecast => {
      const cost = costOf(forecast, needs);
      const order = cost + random.nextFloat() * RANK_TOLERANCE;
      return {forecast, cost, order};
    })
    .sort((a, b) => a.order - b.order);
}

/**
 * Computes the cost of a target for a request.
 *
 * @param forecast - candidate
 * @param needs - requirements of the request
 * @returns cost; 0 for an immediate, certain response
 */
export function costOf(forecast: TargetForecast, needs: RequestNeeds): number {
  const {durationMs, failureShare, isLocalDomain} = forecast;
  const elapsedMs = needs.objectiveMs - needs.timeToObjectiveMs;
  const ratio = (elapsedMs + durationMs) / needs.objectiveMs;
  const expectedLateShare = lateShareOf(ratio);
  const slowedLateShare = lateShareOf(
    (elapsedMs + forecast.slowedDurationMs) / needs.objectiveMs,
  );
  const lateShare =
    expectedLateShare +
    forecast.slowdownShare * Math.max(0, slowedLateShare - expectedLateShare);
  const isTooLate = durationMs > needs.timeToDeadlineMs;
  const unservedShare = isTooLate
    ? 1
    : failureShare + (1 - failureShare) * lateShare;
  const crossDomainCost = isLocalDomain
    ? 0
    : needs.sizeKb * CROSS_DOMAIN_COST_PER_KB;
  return unservedShare + crossDomainCost + ratio * LATENCY_COST;
}

/** Returns the probability of a late response for a share of the objective. */
function lateShareOf(ratio: number): number {
  return 1 / (1 + Math.exp((LATE_MIDPOINT - ratio) * LATE_STEEPNESS));
}

function pickWeighted(
  choices: readonly TargetChoice[],
  random: RandomSource,
): TargetChoice | undefined {
  const weights = choices.map(({forecast}) =>
    Math.max(MIN_WEIGHT, forecast.freeSlots),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random.nextFloat() * total;
  for (const [index, choice] of choices.entries()) {
    remaining -= weights[index] ?? 0;
    if (remaining <= 0) {
      return choice;
    }
  }
  return choices.at(-1);
}
