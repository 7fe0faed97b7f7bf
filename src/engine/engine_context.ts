/**
 * State shared by the modules of the engine.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {Preset, VmListDocument} from '../preset/index.js';
import type {ProbeScheduler} from '../probing/index.js';
import {RequestQuarantine, type CrashQuarantine} from '../recovery/index.js';
import {
  RelayPeers,
  RelayPolicy,
  TargetReachability,
  type RelayCandidate,
} from '../relay/index.js';
import type {TargetPool} from '../routing/index.js';
import type {EventPart} from '../timeline/index.js';
import type {ActiveRequest} from './active_request.js';
import {DeadlineWheel} from './deadline_wheel.js';
import type {ServiceState} from './service_state.js';
import type {Effect} from './types.js';

/**
 * Time within which targets must respond to end a cut. Only the probes of the
 * agreed budget look for them, which may be few.
 */
const REACHED_WINDOW_MS = 5_000;

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
  /** Address at which this VM carries requests of peers; undefined for none. */
  readonly relayAddress?: RelayAddress | undefined;
}

/** Address for requests that peers pass on. */
export interface RelayAddress {
  readonly host: string;
  readonly port: number;
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
  readonly reachability = new TargetReachability({
    reachedWindowMs: REACHED_WINDOW_MS,
  });
  readonly relays: RelayPolicy;
  /** Addresses of the peers that reach targets, by VM. */
  readonly relayAddresses = new Map<string, RelayAddress>();
  preset: Preset | undefined;
  /** Failure domains of the listed entry VMs. */
  private failureDomains: ReadonlyMap<string, string> = new Map();
  private currentVmList: VmListDocument | undefined;
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
    const {failureDomain, random} = options;
    this.relays = new RelayPolicy({
      reachability: this.reachability,
      random,
      peers: new RelayPeers({
        failureDomain,
        random,
        candidates: () => this.relayCandidates(),
      }),
    });
  }

  /** List of VMs in force; undefined before the first one. */
  get vmList(): VmListDocument | undefined {
    return this.currentVmList;
  }

  /** Replaces the list of VMs. */
  setVmList(document: VmListDocument): void {
    this.currentVmList = document;
    const entryVms = document.vms.filter(({role}) => role === 'entry');
    this.failureDomains = new Map(
      entryVms.map(({id, failureDomain}) => [id, failureDomain]),
    );
  }

  /** Lists the ready peers that reach targets; their host is the VM's id. */
  private relayCandidates(): readonly RelayCandidate[] {
    if (this.options.relayAddress === undefined) {
      return [];
    }
    return this.readyVmIds
      .filter(
        vmId => vmId !== this.options.vmId && this.relayAddresses.has(vmId),
      )
      .map(vmId => ({
        host: vmId,
        failureDomain: this.failureDomains.get(vmId) ?? '',
      }));
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
