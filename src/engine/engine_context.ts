/**
 * State shared by the modules of the engine.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {Preset, VmListDocument} from '../preset/index.js';
import type {ProbeScheduler} from '../probing/index.js';
import {RequestQuarantine, type CrashQuarantine} from '../recovery/index.js';
import type {TargetPool} from '../routing/index.js';
import type {EventPart} from '../timeline/index.js';
import type {ActiveRequest} from './active_request.js';
import {DeadlineWheel} from './deadline_wheel.js';
import type {ServiceState} from './service_state.js';
import type {Effect} from './types.js';

/** Identity, random source and dependencies of the engine. */
export interface RequestEngineOptions {
  readonly vmId: string;
  /** `vmId/bootId`; prefix of all tokens and claimant id of all claims. */
  readonly incarnationId: string;
  readonly failureDomain: string;
  readonly random: RandomSource;
  /** Creates the target pool of a service when it first appears in a preset. */
  readonly createPool: (options: {
    readonly service: string;
    readonly failureDomain: string;
    readonly vmId: string;
  }) => TargetPool;
  /** Creates the probe scheduler of a service. */
  readonly createScheduler: (options: {
    readonly vmId: string;
    readonly startMs: InstantMs;
  }) => ProbeScheduler;
  readonly quarantine: CrashQuarantine;
}

/**
 * Holds requests, services, membership and the effects of the current input.
 *
 * @internal
 */
export class EngineContext {
  readonly options: RequestEngineOptions;
  readonly requests = new Map<string, ActiveRequest>();
  /** Requests by the token of their current attempt. */
  readonly attempts = new Map<string, ActiveRequest>();
  /** Requests by the token of their pending claim. */
  readonly pendingClaims = new Map<string, ActiveRequest>();
  readonly services = new Map<string, ServiceState>();
  readonly deadlines = new DeadlineWheel<ActiveRequest>();
  readonly quarantine: RequestQuarantine;
  preset: Preset | undefined;
  vmList: VmListDocument | undefined;
  readyVmIds: readonly string[] = [];
  liveVmIds: readonly string[];
  /** True if facts must be published at the next tick. */
  hasUrgentFacts = false;
  private effects: Effect[] = [];
  private tokenCount = 0;

  constructor(options: RequestEngineOptions) {
    this.options = options;
    this.quarantine = new RequestQuarantine(options.quarantine);
    this.liveVmIds = [options.vmId];
  }

  /** Adds an effect of the current input. */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Adds an event for the timeline. */
  emitEvent(
    part: EventPart,
    name: string,
    details: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.emit({type: 'event', part, name, details});
  }

  /** Returns the effects of the current input and starts a new list. */
  takeEffects(): readonly Effect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  /** Returns a token that is unique among attempts and claims. */
  nextToken(): string {
    this.tokenCount += 1;
    return `${this.options.incarnationId}/${this.tokenCount}`;
  }

  /** Returns the service of a target; undefined if the target is not listed. */
  serviceOfTarget(targetId: string): ServiceState | undefined {
    for (const service of this.services.values()) {
      if (service.targets.has(targetId)) {
        return service;
      }
    }
    return undefined;
  }
}
