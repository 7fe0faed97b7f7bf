/**
 * Everything that a VM knows of the load and health of targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {OutcomeCount, TargetObservation} from '../fleet/index.js';
import type {ServiceLoad} from '../limits/index.js';
import type {KnownTarget} from '../registry/index.js';
import {expectedDurationMs, SPEED_PERIOD_MS} from './forecast.js';
import {SLOW_FROM, SpeedStatistics} from './speed_statistics.js';
import {TargetRecord} from './target_record.js';
import type {LoadSample, TargetForecast, TargetOutcome} from './types.js';

/** Mean slowness before anything is known. */
const INITIAL_MEAN_SLOWNESS = 1.3;

/** Weight of one report in the mean. */
const MEAN_GAIN = 0.01;

/** Targets that fail more often do not count as capacity. */
const MAX_FAILURE_SHARE = 0.7;

/** Options of {@link LoadBoard}. */
export interface LoadBoardOptions {
  readonly failureDomain: string;
}

/**
 * Load of all targets: stated by themselves on responses and probes, told by
 * peers, and corrected by what this VM has sent since.
 */
export class LoadBoard {
  private readonly records = new Map<string, TargetRecord>();
  private byService = new Map<string, TargetRecord[]>();
  private readonly speeds = new SpeedStatistics();
  private meanSpeed = 1 / INITIAL_MEAN_SLOWNESS;

  /** @param options - place of this VM */
  constructor(private readonly options: LoadBoardOptions) {}

  /**
   * Replaces the registered targets. Records of targets that have gone stay
   * while attempts of this VM are open there.
   *
   * @param targets - all registered targets
   */
  syncTargets(targets: ReadonlyMap<string, KnownTarget>): void {
    for (const [targetId, record] of this.records) {
      if (!targets.has(targetId)) {
        record.unregister();
        if (record.ownInFlight === 0) {
          this.records.delete(targetId);
        }
      }
    }
    for (const target of targets.values()) {
      const record = this.records.get(target.targetId);
      if (record === undefined) {
        this.records.set(target.targetId, new TargetRecord(target));
      } else {
        record.register(target);
      }
    }
    this.byService = new Map();
    for (const record of this.records.values()) {
      if (record.isOpen) {
        const {service} = record.target;
        const records = this.byService.get(service) ?? [];
        records.push(record);
        this.byService.set(service, records);
      }
    }
  }

  /**
   * Finds a target that is known.
   *
   * @param targetId - id of the target
   * @returns the target as registered, or undefined
   */
  target(targetId: string): KnownTarget | undefined {
    return this.records.get(targetId)?.target;
  }

  /**
   * Lists the targets that may get requests.
   *
   * @param service - name of the service
   * @returns targets in no particular order
   */
  openTargets(service: string): readonly KnownTarget[] {
    return (this.byService.get(service) ?? []).map(({target}) => target);
  }

  /**
   * Sums the load of a service.
   *
   * @param service - name of the service
   * @param nowMs - current instant in milliseconds
   * @returns slots and requests of all VMs
   */
  serviceLoad(service: string, nowMs: InstantMs): ServiceLoad {
    let slotCount = 0;
    let inFlightCount = 0;
    for (const record of this.byService.get(service) ?? []) {
      if (record.failureShare(nowMs) < MAX_FAILURE_SHARE) {
        slotCount += record.target.slots;
        inFlightCount += record.inFlight(nowMs);
      }
    }
    return {slotCount, inFlightCount};
  }

  /** Requests of this VM at a service. */
  ownInFlight(service: string): number {
    const records = this.byService.get(service) ?? [];
    return records.reduce((sum, record) => sum + record.ownInFlight, 0);
  }

  /** Notes that an attempt was handed to the connections of a target. */
  onSent(targetId: string, nowMs: InstantMs): void {
    this.records.get(targetId)?.onSent(nowMs);
  }

  /**
   * Notes how an attempt ended.
   *
   * @param targetId - target of the attempt
   * @param outcome - how it ended
   * @param nowMs - current instant in milliseconds
   */
  onEnded(targetId: string, outcome: TargetOutcome, nowMs: InstantMs): void {
    const record = this.records.get(targetId);
    if (record === undefined) {
      return;
    }
    record.onEnded(outcome, nowMs);
    if (!record.isRegistered && record.ownInFlight === 0) {
      this.records.delete(targetId);
    }
  }

  /** Takes in a load that a target stated. */
  onSample(targetId: string, sample: LoadSample): void {
    const record = this.records.get(targetId);
    if (record?.onSample(sample) === true) {
      const speed = 1 / Math.max(1, sample.slowness);
      this.meanSpeed += (speed - this.meanSpeed) * MEAN_GAIN;
      this.speeds.observe(sample.slowness);
    }
  }

  /** Takes in whether a probe reached a target. */
  onProbed(targetId: string, isReachable: boolean, nowMs: InstantMs): void {
    this.records.get(targetId)?.onProbed(isReachable, nowMs);
  }

  /** Takes in what a peer observed. */
  onObservation(observation: TargetObservation, nowMs: InstantMs): void {
    const {targetId, ageMs} = observation;
    const measuredMs = nowMs - ageMs;
    const record = this.records.get(targetId);
    if (record === undefined) {
      return;
    }
    this.onSample(targetId, {...observation, measuredMs});
    record.onPeerView(observation, nowMs);
  }

  /** Takes in outcomes of another VM's attempts. */
  onPeerOutcomes(outcome: OutcomeCount, nowMs: InstantMs): void {
    this.records.get(outcome.targetId)?.onPeerOutcomes(outcome, nowMs);
  }

  /**
   * Forecasts a request at all targets that it may be sent to.
   *
   * @param options - service, work of the request, and targets to leave out
   * @param nowMs - current instant in milliseconds
   * @returns forecasts in no particular order
   */
  forecasts(
    options: {
      readonly service: string;
      readonly workMs: number;
      readonly excludedTargetIds: readonly string[];
    },
    nowMs: InstantMs,
  ): readonly TargetForecast[] {
    const {service, workMs, excludedTargetIds} = options;
    const forecasts: TargetForecast[] = [];
    for (const record of this.byService.get(service) ?? []) {
      if (!excludedTargetIds.includes(record.target.targetId)) {
        forecasts.push(this.forecast(record, workMs, nowMs));
      }
    }
    return forecasts;
  }

  /**
   * Lists what peers should know of targets.
   *
   * @param failureDomain - domain of the targets; undefined for all
   * @param nowMs - current instant in milliseconds
   * @returns observations, targets without any left out
   */
  observations(
    failureDomain: string | undefined,
    nowMs: InstantMs,
  ): readonly TargetObservation[] {
    const observations: TargetObservation[] = [];
    for (const record of this.records.values()) {
      const isWanted =
        failureDomain === undefined ||
        record.target.failureDomain === failureDomain;
      if (record.isOpen && isWanted) {
        const observation = record.observation(nowMs);
        if (observation !== undefined) {
          observations.push(observation);
        }
      }
    }
    return observations;
  }

  /** Takes the outcomes of own attempts that were not reported yet. */
  takeOutcomes(): readonly OutcomeCount[] {
    const outcomes: OutcomeCount[] = [];
    for (const record of this.records.values()) {
      const outcome = record.takeOutcomes();
      if (outcome !== undefined) {
        outcomes.push(outcome);
      }
    }
    return outcomes;
  }

  private forecast(
    record: TargetRecord,
    workMs: number,
    nowMs: InstantMs,
  ): TargetForecast {
    const {target} = record;
    const meanSlowness = 1 / this.meanSpeed;
    const inFlight = record.inFlight(nowMs);
    const loadAgeMs = record.loadAgeMs(nowMs);
    const slowness = Number.isFinite(loadAgeMs)
      ? record.slowness
      : meanSlowness;
    const durationMs = expectedDurationMs({
      workMs,
      inFlight,
      slots: target.slots,
      slowness,
      ageMs: loadAgeMs,
      meanSlowness,
      isCold: target.coldUntilMs > nowMs,
    });
    return {
      targetId: target.targetId,
      durationMs,
      failureShare: record.failureShare(nowMs),
      isOwnDomain: target.failureDomain === this.options.failureDomain,
      excessCount: Math.max(0, inFlight + 1 - target.slots),
      slots: target.slots,
      freeSlots: Math.max(0, target.slots - inFlight),
      loadAgeMs,
      slowness,
      surpriseShare:
        slowness > SLOW_FROM
          ? 0
          : this.speeds.slowShare * Math.min(1, loadAgeMs / SPEED_PERIOD_MS),
      surpriseDurationMs:
        (durationMs / Math.max(1, slowness)) * this.speeds.slowFactor,
    };
  }
}
