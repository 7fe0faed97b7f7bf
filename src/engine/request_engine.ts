/**
 * The request engine, the pure core of a daemon.
 *
 * @packageDocumentation
 */
import {type InstantMs, PauseDetector} from '../core/index.js';
import type {Fact} from '../membership/index.js';
import type {Preset, VmListDocument} from '../preset/index.js';
import type {LoadReport} from '../routing/index.js';
import {Arrival} from './arrival.js';
import {AttemptFlow} from './attempt_flow.js';
import {ClaimFlow} from './claim_flow.js';
import {Completion} from './completion.js';
import {Dispatcher} from './dispatcher.js';
import {
  EngineContext,
  type RelayAddress,
  type RequestEngineOptions,
} from './engine_context.js';
import {type EngineStatus, readStatus} from './engine_status.js';
import {Expiry} from './expiry.js';
import {FactPublisher} from './fact_publisher.js';
import {PeerFacts, RELAY_FACT} from './peer_facts.js';
import {ServiceState} from './service_state.js';
import type {
  AttemptSignal,
  CallerRequest,
  ClaimReply,
  Effect,
} from './types.js';

/** Longest gap between inputs that is not a pause; ticks come every 10 ms. */
const MAX_GAP_MS = 250;

/**
 * Manages the lifecycle of all requests of one VM. Each method takes one input
 * and returns the effects that the adapters must perform, in order. Any input
 * after a gap of more than 250 ms first ends all requests whose deadline has
 * passed.
 *
 * @example
 * ```ts
 * const engine = new RequestEngine(options);
 * engine.applyPreset(preset, clock.nowMs());
 * engine.applyVmList(vmList, clock.nowMs());
 * perform(engine.onRequest(request, clock.nowMs()));
 * ```
 */
export class RequestEngine {
  private readonly context: EngineContext;
  private readonly pauses = new PauseDetector({maxGapMs: MAX_GAP_MS});
  private readonly attempts: AttemptFlow;
  private readonly dispatcher: Dispatcher;
  private readonly claims: ClaimFlow;
  private readonly arrival: Arrival;
  private readonly expiry: Expiry;
  private readonly publisher: FactPublisher;
  private readonly peerFacts: PeerFacts;
  private hasPublishedRelay = false;
  private isStopping = false;
  /** Listed targets of all services. */
  private targetCount = 0;

  /**
   * @param options - identity of the VM, random source and the modules that
   *     the engine composes
   */
  constructor(options: RequestEngineOptions) {
    const context = new EngineContext(options);
    const completion = new Completion(context);
    this.context = context;
    this.attempts = new AttemptFlow(context, completion, request =>
      request.service.queue.add(request),
    );
    this.dispatcher = new Dispatcher(context, completion, this.attempts);
    this.claims = new ClaimFlow(context, completion, this.dispatcher);
    this.arrival = new Arrival(
      context,
      completion,
      this.dispatcher,
      this.claims,
    );
    this.expiry = new Expiry(context, completion, this.attempts, this.claims);
    this.publisher = new FactPublisher(context);
    this.peerFacts = new PeerFacts(context);
  }

  /**
   * Activates a preset. Requests that have arrived keep their preset.
   *
   * @param preset - validated preset
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  applyPreset(preset: Preset, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.context.preset = preset;
    const names = [...preset.services.keys()];
    const newNames = names.filter(name => !this.context.services.has(name));
    newNames.forEach(name => this.addService(name, nowMs));
    for (const service of this.context.services.values()) {
      service.applyPreset(preset, nowMs);
    }
    // Only new services: a pool treats each list that it receives as newer, and
    // a newer list clears drain flags.
    this.syncTargets(newNames, nowMs);
    this.context.emitEvent('config', 'preset-applied', {preset: preset.name});
    this.dispatchAll(nowMs);
    return this.context.takeEffects();
  }

  /**
   * Replaces the list of targets.
   *
   * @param document - validated VM list
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  applyVmList(document: VmListDocument, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.context.setVmList(document);
    this.syncTargets([...this.context.services.keys()], nowMs);
    const details = {vmCount: document.vms.length};
    this.context.emitEvent('config', 'vm-list-applied', details);
    this.dispatchAll(nowMs);
    return this.context.takeEffects();
  }

  /**
   * Replaces the membership view of the entry VMs.
   *
   * @param view - `readyVmIds`: candidates for home VM, including this VM when
   *     it is ready; `liveVmIds`: VMs that share load and probes
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  applyMembership(
    view: {
      readonly readyVmIds: readonly string[];
      readonly liveVmIds: readonly string[];
    },
    nowMs: InstantMs,
  ): readonly Effect[] {
    this.handlePause(nowMs);
    this.context.readyVmIds = view.readyVmIds;
    const liveVmIds = new Set([...view.liveVmIds, this.context.options.vmId]);
    this.context.liveVmIds = [...liveVmIds].sort();
    for (const service of this.context.services.values()) {
      this.applyLiveVms(service);
    }
    this.dispatchAll(nowMs);
    return this.context.takeEffects();
  }

  /**
   * Handles a request of a caller.
   *
   * @param request - request whose head and body were read
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onRequest(request: CallerRequest, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.arrival.onRequest(request, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Handles a caller that closed its connection. No `respond` follows. The
   * attempt is cancelled unless it is non-idempotent and was sent.
   *
   * @param requestId - request of the caller; no effect if it has ended
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onCallerGone(requestId: string, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    const service = this.context.requests.get(requestId)?.service;
    this.expiry.onCallerGone(requestId, nowMs);
    this.dispatchOne(service, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Handles a signal about an attempt. After `sent` the adapter must check the
   * effects for a `cancel` of the token before it writes the first byte.
   *
   * @param token - token of the `send` effect
   * @param signal - signal of the adapter
   * @param nowMs - current instant in milliseconds, read just before the call
   * @returns effects to carry out
   */
  onAttemptSignal(
    token: string,
    signal: AttemptSignal,
    nowMs: InstantMs,
  ): readonly Effect[] {
    this.handlePause(nowMs);
    const service = this.attempts.onSignal(token, signal, nowMs);
    this.dispatchOne(service, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Handles the reply to a claim, or `unreachable` after a timeout.
   *
   * @param reply - reply, matched by token
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onClaimReply(reply: ClaimReply, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.claims.onReply(reply, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Handles the load report of a probe.
   *
   * @param service - name of the service
   * @param report - load report
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onReport(
    service: string,
    report: LoadReport,
    nowMs: InstantMs,
  ): readonly Effect[] {
    this.handlePause(nowMs);
    const state = this.context.services.get(service);
    this.context.reachability.onReached(report.targetId, nowMs);
    state?.onReport(report, 'probe', nowMs);
    this.dispatchOne(state, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Applies a fact of a peer. A malformed value is ignored and recorded.
   *
   * @param fact - fact that membership reported as new
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onPeerFact(fact: Fact, nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.peerFacts.onFact(fact, nowMs);
    return this.context.takeEffects();
  }

  /**
   * Expires requests, dispatches queues, sends probes and publishes facts.
   * Must be called every 10 ms.
   *
   * @param nowMs - current instant in milliseconds
   * @returns effects to carry out
   */
  onTick(nowMs: InstantMs): readonly Effect[] {
    this.handlePause(nowMs);
    this.expiry.expireDue(nowMs);
    this.checkReachability(nowMs);
    this.dispatchAll(nowMs);
    this.probeAll(nowMs);
    this.publisher.publishIfDue(nowMs);
    return this.context.takeEffects();
  }

  /**
   * Returns the number of requests that a planned shutdown must wait for.
   *
   * @returns requests that are not yet answered, finished and settled
   */
  inFlightCount(): number {
    return this.context.requests.size;
  }

  /**
   * Returns the time for which this VM has reached no target.
   *
   * @param nowMs - current instant in milliseconds
   * @returns milliseconds; 0 while it reaches targets
   */
  cutOffMs(nowMs: InstantMs): number {
    return nowMs - (this.context.reachability.cutOffSinceMs ?? nowMs);
  }

  /**
   * Begins a planned shutdown: peers pass no further requests to this VM.
   *
   * @returns effects to carry out
   */
  stopCarrying(): readonly Effect[] {
    this.isStopping = true;
    this.publishRelayAddress(undefined);
    return this.context.takeEffects();
  }

  /**
   * Returns the state for the status page.
   *
   * @param nowMs - current instant in milliseconds
   * @returns a snapshot; does not change with the engine
   */
  status(nowMs: InstantMs): EngineStatus {
    return readStatus(this.context, nowMs);
  }

  /** Handles a pause of the process, if any, before the current input. */
  private handlePause(nowMs: InstantMs): void {
    const pause = this.pauses.observeTick(nowMs);
    if (pause === undefined) {
      return;
    }
    const durationMs = Math.round(pause.resumedMs - pause.lastTickMs);
    this.context.emitEvent('process', 'pause', {durationMs});
    this.context.reachability.onPause(nowMs);
    for (const service of this.context.services.values()) {
      service.pool.onPause(nowMs);
    }
    this.expiry.expireDue(nowMs);
  }

  /** Finds out whether this VM reaches targets, and tells its peers. */
  private checkReachability(nowMs: InstantMs): void {
    const {reachability, options} = this.context;
    if (!this.hasPublishedRelay) {
      this.publishRelayAddress(options.relayAddress);
    }
    const change = reachability.update(this.targetCount, nowMs);
    if (change === undefined) {
      return;
    }
    const isCutOff = change.type === 'cut-off';
    const isCarrying = !isCutOff && !this.isStopping;
    this.publishRelayAddress(isCarrying ? options.relayAddress : undefined);
    // The failures of the targets were those of this VM's links.
    for (const service of this.context.services.values()) {
      service.pool.onPause(nowMs);
    }
    const sinceMs = isCutOff ? nowMs : change.cutOffSinceMs;
    const durationMs = Math.round(nowMs - sinceMs);
    const counts = this.context.relays.peers.takeCarriedCounts();
    const carriedCount = [...counts.values()].reduce((a, b) => a + b, 0);
    const details = {durationMs, carriedCount};
    this.context.emitEvent('target', change.type, details);
  }

  /** Tells peers where this VM carries requests; undefined for nowhere. */
  private publishRelayAddress(address: RelayAddress | undefined): void {
    if (this.context.options.relayAddress !== undefined) {
      const value = address === undefined ? '' : JSON.stringify(address);
      this.context.emit({type: 'publish', key: RELAY_FACT, value});
    }
    this.hasPublishedRelay = true;
  }

  private addService(name: string, nowMs: InstantMs): void {
    const {vmId, failureDomain, createPool, createScheduler} =
      this.context.options;
    const service = new ServiceState({
      name,
      pool: createPool({service: name, failureDomain, vmId}),
      scheduler: createScheduler({vmId, startMs: nowMs}),
      nowMs,
    });
    this.context.services.set(name, service);
    this.applyLiveVms(service);
  }

  private applyLiveVms(service: ServiceState): void {
    const {liveVmIds} = this.context;
    service.scheduler.setLiveVms(liveVmIds);
    service.pool.setLiveVmCount(liveVmIds.length);
  }

  private syncTargets(names: readonly string[], nowMs: InstantMs): void {
    const vms = this.context.vmList?.vms ?? [];
    for (const name of names) {
      this.context.services.get(name)?.syncTargets(vms, nowMs);
    }
    this.targetCount = [...this.context.services.values()].reduce(
      (count, {targets}) => count + targets.size,
      0,
    );
    this.peerFacts.onTargetsListed(nowMs);
  }

  private dispatchOne(
    service: ServiceState | undefined,
    nowMs: InstantMs,
  ): void {
    if (service !== undefined && service.queue.size > 0) {
      this.dispatcher.dispatch(service, nowMs);
    }
  }

  private dispatchAll(nowMs: InstantMs): void {
    for (const service of this.context.services.values()) {
      this.dispatchOne(service, nowMs);
    }
  }

  private probeAll(nowMs: InstantMs): void {
    for (const service of this.context.services.values()) {
      this.probeService(service, nowMs);
    }
  }

  private probeService(service: ServiceState, nowMs: InstantMs): void {
    const snapshot = service.snapshot;
    if (snapshot === undefined) {
      return;
    }
    const candidates = [...service.targets.values()].filter(
      target => !target.isLeaving,
    );
    const targetId = service.scheduler.next(candidates, nowMs);
    const target =
      targetId === undefined ? undefined : service.targets.get(targetId);
    if (target !== undefined) {
      const {host, port} = target;
      this.context.emit({
        type: 'probe',
        service: service.name,
        targetId: target.targetId,
        host,
        port,
        maxConnections: snapshot.maxConnections,
      });
    }
  }
}
