/**
 * Selection of targets for a request.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {ColdAllowance, RequestGrants} from '../limits/index.js';
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
import type {RouteStatisticsTable} from './route_statistics.js';

/** Bounds of the wait for a free target, as shares of the objective. */
const MIN_WAIT_SHARE = 1 / 8;
const MAX_WAIT_SHARE = 0.4;

/** Cost below which a hedge is likely enough to be answered in time. */
const MAX_HEDGE_COST = 0.8;

/**
 * Targets that are probed for their load before a request is sent. More probes
 * find a fast target more often, at the cost of one request each
 * (`bench/table_delivery.ts`).
 */
const PROBED_TARGET_COUNT = 5;

/** Maximum age of a load that is used without a probe. */
const FRESH_LOAD_MS = 20;

/** Requests that may queue at a target beyond its slots. */
const MAX_EXCESS_COUNT = 1;

/** Options of {@link TargetSelection}. */
export interface TargetSelectionOptions {
  readonly board: LoadBoard;
  readonly statistics: RouteStatisticsTable;
  readonly random: RandomSource;
  readonly grants: RequestGrants;
  /** Share of this VM in what cold targets take; undefined for no limit. */
  readonly coldAllowance: ColdAllowance | undefined;
}

/** Selects targets by the loads that this VM has recorded. */
export class TargetSelection {
  /** @param options - target loads, statistics of routes, random source */
  constructor(private readonly options: TargetSelectionOptions) {}

  /**
   * Forecasts a request at all targets that it has not tried yet and that this
   * VM may send to.
   */
  forecasts(delivery: Delivery, nowMs: InstantMs): readonly TargetForecast[] {
    const {board, grants, statistics} = this.options;
    const forecasts = board.forecasts(
      {
        service: delivery.service,
        workMs: statistics.of(delivery.rule).work.workMs,
        excludedTargetIds: delivery.triedTargetIds,
      },
      nowMs,
    );
    const {coldAllowance} = this.options;
    return forecasts.filter(
      ({targetId, cold}) =>
        grants.mayBeSent(targetId, nowMs) &&
        (cold === undefined || coldAllowance?.mayBeSent(cold, nowMs) !== false),
    );
  }

  /** Uses up what this VM may send to a limited or cold target. */
  onSent({targetId, cold}: TargetForecast, nowMs: InstantMs): void {
    const {grants, coldAllowance} = this.options;
    grants.onSent(targetId, nowMs);
    if (cold !== undefined) {
      coldAllowance?.onSent(cold, nowMs);
    }
  }

  /** Returns whether there is a target that the request has not tried. */
  hasUntried({service, triedTargetIds}: Delivery): boolean {
    const targets = this.options.board.eligibleTargets(service);
    return targets.some(({targetId}) => !triedTargetIds.includes(targetId));
  }

  /**
   * Chooses a target.
   *
   * @param delivery - request to send
   * @param forecasts - candidates
   * @param nowMs - current instant in milliseconds
   * @param mayQueue - false if the request may only take a free slot
   * @returns the choice, or undefined if all candidates are full
   */
  choose(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
    mayQueue = true,
  ): TargetChoice | undefined {
    const needs = {
      ...this.needsOf(delivery, nowMs),
      maxExcessCount: mayQueue ? MAX_EXCESS_COUNT : 0,
    };
    return chooseTarget(forecasts, needs, this.options.random);
  }

  /**
   * Chooses a target for a hedge that is likely to be answered within the
   * objective.
   *
   * @param delivery - unanswered request
   * @param nowMs - current instant in milliseconds
   * @returns the choice, or undefined if no target is worth a hedge
   */
  chooseHedge(delivery: Delivery, nowMs: InstantMs): TargetChoice | undefined {
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
      costOf(forecast, needs) < MAX_HEDGE_COST;
    return isWorthIt ? choice : undefined;
  }

  /**
   * Lists the best targets whose load is missing or outdated.
   *
   * @param delivery - request to send
   * @param forecasts - candidates
   * @param nowMs - current instant in milliseconds
   * @returns ids, best target first
   */
  targetsToProbe(
    delivery: Delivery,
    forecasts: readonly TargetForecast[],
    nowMs: InstantMs,
  ): readonly string[] {
    if (forecasts.length === 1) {
      return [];
    }
    const needs = this.needsOf(delivery, nowMs);
    return rankTargets(forecasts, needs, this.options.random)
      .slice(0, PROBED_TARGET_COUNT)
      .filter(({forecast}) => forecast.loadAgeMs > FRESH_LOAD_MS)
      .map(({forecast}) => forecast.targetId);
  }

  /**
   * Computes the maximum wait of a request; after a longer wait it would be
   * answered too late.
   *
   * @param rule - route of the request
   * @returns milliseconds
   */
  maxWaitMs(rule: RouteRule): number {
    const {objectiveMs} = rule;
    const slackMs = objectiveMs - this.options.statistics.of(rule).work.workMs;
    const minMs = objectiveMs * MIN_WAIT_SHARE;
    return Math.min(objectiveMs * MAX_WAIT_SHARE, Math.max(minMs, slackMs));
  }

  private needsOf(
    {rule, objectiveAtMs, expiresAtMs}: Delivery,
    nowMs: InstantMs,
  ): RequestNeeds {
    return {
      timeToObjectiveMs: objectiveAtMs - nowMs,
      objectiveMs: rule.objectiveMs,
      timeToDeadlineMs: expiresAtMs - nowMs,
      sizeKb: this.options.statistics.of(rule).sizeKb,
      maxExcessCount: MAX_EXCESS_COUNT,
    };
  }
}
