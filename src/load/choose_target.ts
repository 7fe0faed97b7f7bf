/**
 * Choice among forecasts.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {TargetForecast} from './types.js';

/** Share of the objective at which half of the answers come too late. */
const LATE_MIDPOINT = 0.9;

/** Steepness of the transition around the midpoint. */
const LATE_STEEPNESS = 8;

/** Cost of the whole objective in time; decides where all are in time or late. */
const TIME_COST = 0.2;

/** Cost of a kilobyte that passes between failure domains. */
const CROSS_DOMAIN_COST_PER_KB = 0.03;

/** Choices whose costs differ by less count as equal. */
const COST_TOLERANCE = 0.02;

/** Weight of a target without a free slot in the choice among equals. */
const FULL_WEIGHT = 0.2;

/** What a request needs of its target. */
export interface RequestNeeds {
  /** Time until the answer loses worth; negative if it has passed. */
  readonly objectiveInMs: number;
  /** Whole time that the route grants for an answer of full worth. */
  readonly objectiveMs: number;
  /** Time until the request ends unanswered. */
  readonly deadlineInMs: number;
  /** Expected size of request and answer. */
  readonly sizeKb: number;
  /** Requests that may wait at a target in excess of its slots. */
  readonly maxExcessCount: number;
}

/** A target, its forecast and its cost. */
export interface TargetChoice {
  readonly forecast: TargetForecast;
  /** 0 for a certain answer at once, growing with all that speaks against. */
  readonly cost: number;
}

/**
 * Chooses the target with the lowest cost; among nearly equal ones at random,
 * weighted by free slots, so that VMs with the same news do not all send to
 * the same target.
 *
 * @param forecasts - candidates
 * @param needs - what the request needs
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
 * Orders targets by cost.
 *
 * @param forecasts - candidates
 * @param needs - what the request needs
 * @returns candidates with their cost, best first
 */
export function rankTargets(
  forecasts: readonly TargetForecast[],
  needs: RequestNeeds,
): readonly TargetChoice[] {
  return forecasts
    .map(forecast => ({forecast, cost: costOf(forecast, needs)}))
    .sort((a, b) => a.cost - b.cost);
}

/**
 * Computes the cost of a target for a request.
 *
 * @param forecast - candidate
 * @param needs - what the request needs
 * @returns cost, 0 for a certain answer at once
 */
export function costOf(forecast: TargetForecast, needs: RequestNeeds): number {
  const {durationMs, failureShare, isOwnDomain} = forecast;
  const elapsedMs = needs.objectiveMs - needs.objectiveInMs;
  const ratio = (elapsedMs + durationMs) / needs.objectiveMs;
  const expectedShare = lateShareOf(ratio);
  const surprisedShare = lateShareOf(
    (elapsedMs + forecast.surpriseDurationMs) / needs.objectiveMs,
  );
  const lateShare =
    expectedShare +
    forecast.surpriseShare * Math.max(0, surprisedShare - expectedShare);
  const isTooLate = durationMs > needs.deadlineInMs;
  const unserved = isTooLate
    ? 1
    : failureShare + (1 - failureShare) * lateShare;
  const distance = isOwnDomain ? 0 : needs.sizeKb * CROSS_DOMAIN_COST_PER_KB;
  return unserved + distance + ratio * TIME_COST;
}

/** Probability of a late answer, by the expected share of the objective. */
function lateShareOf(ratio: number): number {
  return 1 / (1 + Math.exp((LATE_MIDPOINT - ratio) * LATE_STEEPNESS));
}

function pickWeighted(
  choices: readonly TargetChoice[],
  random: RandomSource,
): TargetChoice | undefined {
  const weights = choices.map(({forecast}) =>
    Math.max(FULL_WEIGHT, forecast.freeSlots),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random.nextFloat() * total;
  for (const [index, choice] of choices.entries()) {
    left -= weights[index] ?? 0;
    if (left <= 0) {
      return choice;
    }
  }
  return choices.at(-1);
}
