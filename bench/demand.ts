/**
 * Generates the demand of the simulated fleet: Poisson arrivals that follow a
 * load curve, and the copies that callers resend.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../src/core/index.js';
import type {CallerRequest} from '../src/engine/index.js';
import type {KindPreset, ServicePreset} from '../src/preset/index.js';
import {REMAINING_CAPACITY_SHARE} from './fake_target.js';
import {
  loadPreset,
  meanWorkMs,
  type KindShare,
  type Scenario,
} from './fleet_scenario.js';

/** Standard deviation of the logarithm of service times. */
const SERVICE_SIGMA = 0.5;

/** Request of a caller, shared by all its copies. */
export interface Job {
  readonly id: number;
  readonly kind: KindPreset;
  /** Worth as documented, even if the run ignores worth. */
  readonly worth: number;
  readonly workMs: number;
  readonly isPoisoned: boolean;
  readonly arrivedMs: number;
  copyCount: number;
  /** Number of times that targets started it. */
  runCount: number;
  /** True if every earlier copy ended with the verdict `not-run`. */
  isNotRun: boolean;
  isAnswered: boolean;
}

/** Copy of a request at a VM. */
export interface Copy {
  readonly job: Job;
  readonly request: CallerRequest;
  readonly arrivedMs: number;
  /** True once a target started it. */
  hasRun: boolean;
  /** True once its caller received the verdict `not-run`. */
  isReportedNotRun: boolean;
  /** True while it is queued in the VM. */
  isWaiting: boolean;
}

/** Generates the requests of a scenario. */
export class Demand {
  private readonly worths: ReadonlyMap<string, number>;
  private jobCount = 0;

  /**
   * @param scenario - mix and load curve
   * @param random - random source of the demand alone, so that all policies
   *     get the same demand
   */
  constructor(
    private readonly scenario: Scenario,
    private readonly random: RandomSource,
  ) {
    const {preset, deployment} = scenario;
    const documented = loadPreset(deployment, preset.name);
    const kinds = documented.services.get(deployment.service)?.kinds ?? [];
    this.worths = new Map(kinds.map(({name, worth}) => [name, worth]));
  }

  /** Returns the instant of the next arrival, in milliseconds. */
  nextArrivalMs(nowMs: number): number {
    const {deployment, loadAt} = this.scenario;
    const {slotsPerTarget} = this.service;
    const slots =
      deployment.targetCount * slotsPerTarget * REMAINING_CAPACITY_SHARE;
    const ratePerMs = (loadAt(nowMs) * slots) / meanWorkMs(this.scenario);
    return nowMs - Math.log(1 - this.random.nextFloat()) / ratePerMs;
  }

  /** Draws the kind and service time of a request. */
  draw(nowMs: number): Job {
    const share = this.drawShare();
    const factor = share.isLong ? this.scenario.longFactor : 1;
    const workMs = lognormal(share.meanMs * factor, this.random);
    return this.createJob(share.kind, workMs, false, nowMs);
  }

  /** Creates a request that crashes each target that starts it. */
  createPoisoned(nowMs: number): Job {
    const share = this.scenario.deployment.mix[0];
    return this.createJob(share?.kind ?? '', 20, true, nowMs);
  }

  /** Creates the next copy of a request. */
  createCopy(job: Job, nowMs: number): Copy {
    job.copyCount += 1;
    const {method, pathPrefix, idempotent} = job.kind;
    const isFirst = job.copyCount === 1 || job.isNotRun;
    const request: CallerRequest = {
      requestId: `${job.id}#${job.copyCount}`,
      service: this.scenario.deployment.service,
      method,
      path: `${pathPrefix}/${job.id}`,
      fingerprint: `hash-${job.id}`,
      resourceFingerprint: `hash-${job.id}`,
      bodySizeBytes: 0,
      idempotencyKey: idempotent ? undefined : `key-${job.id}`,
      attempt: isFirst ? 1 : job.copyCount,
      deadlineMs: undefined,
    };
    return {
      job,
      request,
      arrivedMs: nowMs,
      hasRun: false,
      isReportedNotRun: false,
      isWaiting: true,
    };
  }

  private get service(): ServicePreset {
    const {preset, deployment} = this.scenario;
    const service = preset.services.get(deployment.service);
    if (service === undefined) {
      throw new RangeError(`the preset lacks ${deployment.service}`);
    }
    return service;
  }

  private createJob(
    kindName: string,
    workMs: number,
    isPoisoned: boolean,
    nowMs: number,
  ): Job {
    const kind = this.service.kinds.find(({name}) => name === kindName);
    if (kind === undefined) {
      throw new RangeError(`the preset lacks the kind ${kindName}`);
    }
    return {
      id: this.jobCount++,
      kind,
      worth: this.worths.get(kindName) ?? 0,
      workMs,
      isPoisoned,
      arrivedMs: nowMs,
      copyCount: 0,
      runCount: 0,
      isNotRun: true,
      isAnswered: false,
    };
  }

  private drawShare(): KindShare {
    const {mix} = this.scenario.deployment;
    let remaining = this.random.nextFloat();
    for (const share of mix) {
      remaining -= share.share;
      if (remaining < 0) {
        return share;
      }
    }
    throw new RangeError('the shares of the mix must add up to 1');
  }
}

function lognormal(meanMs: number, random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  const normal = radius * Math.cos(2 * Math.PI * random.nextFloat());
  const mu = Math.log(meanMs) - SERVICE_SIGMA ** 2 / 2;
  return Math.exp(mu + SERVICE_SIGMA * normal);
}
