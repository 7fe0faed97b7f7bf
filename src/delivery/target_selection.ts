/**
 * Which target a request is sent to.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import {
  chooseTarget,
  costOf,
  rankTargets,
  type LoadBoard,
  type RequestNeeds,
  type TargetChoice,
  type TargetForecast,
} from '../load/index.js';
import type {RouteRule} from '../routes/index.js';
import type {Delivery} from './delivery.js';
import type {RouteExperiences} from './route_experience.js';

/** Parts of the objective for which a request may wait for a free target. */
const MIN_WAIT_SHARE = 1 / 8;
const MAX_WAIT_SHARE = 0.4;

/** Cost up to which a second send is likely enough to arrive in time. */
const SECOND_SEND_MAX_COST = 0.8;

/**
 * Targets that are asked for their load before a request is sent. More find a
 * fast one more often, at the cost of a probe each (`bench/table_delivery.ts`).
 */
const ASKED_COUNT = 5;

/** A load up to this age is used without asking. */
const FRESH_LOAD_MS = 20;

/** Requests that may wait at a target in excess of its slots. */
const MAX_EXCESS_COUNT = 1;

/** Options of {@link TargetSelection}. */
export interface TargetSelectionOptions {
  readonly board: LoadBoard;
  readonly experiences: RouteExperiences;
  readonly random: RandomSource;
}

/** Choices by the loads that this VM knows. */
export class TargetSelection {
  /** @param options - loads, experience of routes, random source */
  constructor(private readonly options: TargetSelectionOptions) {}

  /** Forecasts a request at all targets that it was not sent to yet. */
  forecasts(delivery: Delivery, nowMs: InstantMs): readonly TargetForecast[] {
    const {board, experiences} = this.options;
    return board.forecasts(
      {
        service: delivery.service,
        workMs: experiences.of(delivery.rule).work.workMs,
        excludedTargetIds: delivery.triedTargetIds,
      },
      nowMs,
    );
  }

  /**
   * Chooses a target.
   *
   * @param delivery - request to send
   * @param forecasts - candidates
   * @param nowMs - current instant in milliseconds
   * @returns the choice, or undefined if all candidates are full
   */
  choose(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
  ): TargetChoice | undefined {
    const needs = this.needsOf(delivery, nowMs);
    return chooseTarget(forecasts, needs, this.options.random);
  }

  /**
   * Chooses a target for a second send, which must be likely to arrive within
   * the objective.
   *
   * @param delivery - request that is unanswered
   * @param nowMs - current instant in milliseconds
   * @returns the choice, or undefined if a second send is not worth it
   */
  chooseSecond(delivery: Delivery, nowMs: InstantMs): TargetChoice | undefined {
    const needs = this.needsOf(delivery, nowMs);
    const forecasts = this.forecasts(delivery, nowMs);
    const choice = chooseTarget(forecasts, needs, this.options.random);
    if (choice === undefined) {
      return undefined;
    }
    const {forecast} = choice;
    const isWorthIt =
      forecast.excessCount === 0 &&
      forecast.durationMs < needs.timeToObjectiveMs &&
      costOf(forecast, needs) < SECOND_SEND_MAX_COST;
    return isWorthIt ? choice : undefined;
  }

  /**
   * Lists the best targets whose load is not known well enough.
   *
   * @param delivery - request to send
   * @param forecasts - candidates
   * @param nowMs - current instant in milliseconds
   * @returns ids, best target first
   */
  targetsToAsk(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
  ): readonly string[] {
    if (forecasts.length === 1) {
      return [];
    }
    return rankTargets(forecasts, this.needsOf(delivery, nowMs))
      .slice(0, ASKED_COUNT)
      .filter(({forecast}) => forecast.loadAgeMs > FRESH_LOAD_MS)
      .map(({forecast}) => forecast.targetId);
  }

  /**
   * Computes how long a request may wait. One that waits longer would be
   * answered too late.
   *
   * @param rule - route of the request
   * @returns milliseconds
   */
  maxWaitMs(rule: RouteRule): number {
    const {objectiveMs} = rule;
    const spareMs = objectiveMs - this.options.experiences.of(rule).work.workMs;
    const leastMs = objectiveMs * MIN_WAIT_SHARE;
    return Math.min(objectiveMs * MAX_WAIT_SHARE, Math.max(leastMs, spareMs));
  }

  private needsOf(
    {rule, objectiveAtMs, finalAtMs}: Delivery,
    nowMs: InstantMs,
  ): RequestNeeds {
    return {
      timeToObjectiveMs: objectiveAtMs - nowMs,
      objectiveMs: rule.objectiveMs,
      timeToDeadlineMs: finalAtMs - nowMs,
      sizeKb: this.options.experiences.of(rule).sizeKb,
      maxExcessCount: MAX_EXCESS_COUNT,
    };
  }
}
