/**
 * The daemon of an entry VM that follows published routes.
 *
 * @packageDocumentation
 */
import {maxCallerConnections} from '../caller_http/index.js';
import {PauseDetector} from '../core/index.js';
import type {
  Dispatch,
  FleetMessage,
  ReplicaUpdate,
  UpdateSource,
} from '../fleet/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  SourceError,
  StorePosition,
} from '../registry/index.js';
import {RouteTable, type ServiceRule} from '../routes/index.js';
import {deriveCallerLimits} from './caller_limits.js';
import type {EntryParts} from './entry_parts.js';
import {PeerFetches} from './peer_fetches.js';
import {PeriodicReports} from './periodic_reports.js';
import type {ReaderListener} from './published_reader.js';
import type {EntrySettings} from './settings.js';

/** Interval of the periodic work, in milliseconds. */
const TICK_INTERVAL_MS = 50;

/** Ticks between two checks of the target connections. */
const CONNECTION_CHECK_TICKS = 4;

/** Longest gap between ticks that does not count as a pause of the VM. */
const MAX_TICK_GAP_MS = 500;

/**
 * Change of the offset between wall clock and steady clock, in milliseconds,
 * from which on the VM counts as suspended.
 */
const MAX_CLOCK_JUMP_MS = 700;

/**
 * Time from the stop signal until all arriving requests are refused, in
 * milliseconds. A later one would be cut off if its target is slow, while
 * another VM can still serve it.
 */
const REFUSE_ARRIVALS_DELAY_MS = 2_800;

/**
 * Time from the stop signal until new connections are refused, in milliseconds.
 * The platform's load balancer checks readiness every second and removes a VM
 * after two failed checks.
 */
const STOP_LISTENING_DELAY_MS = 3_400;

/**
 * Time before the end of the grace period at which the process exits at the
 * latest, in milliseconds.
 */
const STOP_MARGIN_MS = 500;

/** Interval at which a leaving VM checks for open requests, in milliseconds. */
const STOP_CHECK_INTERVAL_MS = 50;

/** Runs the components of an entry VM and controls its lifecycle. */
export class EntryDaemon implements ReaderListener {
  private readonly pauses = new PauseDetector({maxGapMs: MAX_TICK_GAP_MS});
  private lifecycle: 'starting' | 'ready' | 'leaving' = 'starting';
  private tickCount = 0;
  private clockDriftMs: number | undefined;
  private hasEnded = false;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly reports: PeriodicReports;
  private readonly fetches: PeerFetches;

  /** @param parts - components that are not started yet */
  constructor(private readonly parts: EntryParts) {
    this.reports = new PeriodicReports(parts);
    this.fetches = new PeerFetches(parts, {
      applySnapshot: snapshot => this.applySnapshot(snapshot, 'peer'),
      applyDelta: delta => this.applyDelta(delta, 'peer'),
    });
  }

  /** Reports whether the VM accepts new connections. */
  get isReady(): boolean {
    return this.lifecycle === 'ready';
  }

  /** Current routes, or undefined until the first ones are published. */
  routes: RouteTable | undefined;

  /**
   * Opens the ports and starts the periodic work.
   *
   * @throws the error of a port that cannot be opened
   */
  async start(): Promise<void> {
    const {settings, fleet, callers, link, published, status} = this.parts;
    const {log, metrics, engine, targets, state, reader, clock} = this.parts;
    const {quarantine, board, relays, relayServer} = this.parts;
    fleet.setSeeds(settings.seedHosts);
    metrics.registerGauges({
      openRequests: () => engine.openCount,
      targetConnections: () => targets.connectionCount,
      fleetSize: () => fleet.fleetSize(clock.nowMs()),
      revision: () => state.revision,
      storeEra: () => state.era,
      routesVersion: () => state.routes?.version ?? 0,
      heldTargetCounts: () => state.heldTargetCounts,
      storeCalls: () => reader.callCount,
      quarantinedRequests: () => quarantine.quarantinedCount(clock.nowMs()),
      cutOffSeconds: () => {
        const sinceMs = relays.reachability.cutOffSinceMs;
        return sinceMs === undefined ? 0 : (clock.nowMs() - sinceMs) / 1000;
      },
      avoidedTargets: () => board.avoidedTargets(clock.nowMs()),
      evacuations: () => state.evacuationOrders,
      coldTargets: () => board.coldTargetCount(clock.nowMs()),
      waitingRequests: () => engine.waitingCount,
      heldBytes: () => this.parts.budget.usedBytes,
      maxHeldBytes: () => this.parts.budget.capacityBytes,
      confirmationAgeMs: () =>
        Math.min(fleet.confirmationAgeMs(clock.nowMs()), 1e9),
    });
    await link.open();
    await status.listen();
    await published.listen(settings.host, settings.peerPort);
    await relayServer.listen({
      host: settings.host,
      port: settings.relayPort,
    });
    await callers.listen(settings.caller);
    this.timers.push(setInterval(() => this.tick(), TICK_INTERVAL_MS));
    log.info('process', 'started', {
      vmId: settings.vmId,
      failureDomain: settings.failureDomain,
      startupMs: Math.round(process.uptime() * 1000),
    });
    this.tick();
  }

  /** Applies reloaded settings; only the seed hosts can change at run time. */
  applySettings(settings: EntrySettings): void {
    this.parts.fleet.setSeeds(settings.seedHosts);
    const seedHosts = settings.seedHosts.join(' ');
    this.parts.log.info('settings', 'reloaded', {seedHosts});
  }

  onSnapshot(snapshot: PublishedSnapshot): void {
    this.applySnapshot(snapshot, 'store');
  }

  onDelta(delta: PublishedDelta): void {
    this.applyDelta(delta, 'store');
  }

  onConfirmed(confirmedMs: number): void {
    this.parts.fleet.onConfirmed(confirmedMs);
  }

  onReadStatusChanged(
    isFailing: boolean,
    error: SourceError | undefined,
  ): void {
    const {fleet, log, clock} = this.parts;
    fleet.setReadFailing(isFailing);
    if (isFailing) {
      const {type = 'unknown', reason = ''} = error ?? {};
      log.info('store', 'reads are failing', {type, reason});
    } else {
      log.info('store', 'reads have recovered');
    }
    this.sendAll(fleet.announce(clock.nowMs()));
  }

  /** Handles a message of a peer. */
  onMessage(message: FleetMessage): void {
    const {fleet, sharing, limitSharing, drainSharing, clock} = this.parts;
    const nowMs = clock.nowMs();
    const {update, dispatches} = fleet.onMessage(message, nowMs);
    this.sendAll(dispatches);
    this.sendAll(sharing.onMessage(message, nowMs));
    limitSharing.onMessage(message, nowMs);
    drainSharing.onMessage(message, nowMs);
    if (message.type === 'load' || message.type === 'limit-grants') {
      this.parts.runner.feed(inputMs =>
        this.parts.engine.onTargetsChanged(inputMs),
      );
    }
    if (update.delta !== undefined && !this.applyDelta(update.delta, 'peer')) {
      this.fetches.startFetch(message.sender.host);
    } else if (update.isSenderAhead) {
      this.fetches.startFetch(message.sender.host);
    } else if (update.isSenderDifferent) {
      this.fetches.startReconciliation(message.sender.host);
    }
  }

  /**
   * Starts a graceful shutdown: reports not ready, serves requests until the
   * port is closed, and exits when all answers have been sent or shortly before
   * the grace period ends.
   */
  stop(): void {
    if (this.lifecycle === 'leaving') {
      return;
    }
    const {fleet, callers, relayServer, clock, log, engine} = this.parts;
    this.lifecycle = 'leaving';
    log.info('process', 'leaving', {openRequests: engine.openCount});
    fleet.setState('leaving');
    this.sendAll(fleet.announce(clock.nowMs()));
    callers.beginDrain();
    relayServer.beginDrain();
    const {stopGraceMs} = this.parts.settings;
    const endDelayMs = stopGraceMs - STOP_MARGIN_MS;
    engine.beginLeaving(clock.nowMs() + endDelayMs);
    this.timers.push(
      setTimeout(() => engine.refuseArrivals(), REFUSE_ARRIVALS_DELAY_MS),
      setTimeout(() => this.stopListening(), STOP_LISTENING_DELAY_MS),
    );
    this.timers.push(setTimeout(() => this.end(), endDelayMs));
  }

  private stopListening(): void {
    const servers = [this.parts.callers, this.parts.relayServer];
    servers.forEach(server => {
      server.stopListening();
      server.closeIdle();
    });
    this.parts.log.info('process', 'stopped listening');
    const check = (): void => {
      const isDone = servers.every(
        ({openCount, undeliveredCount}) => openCount + undeliveredCount === 0,
      );
      if (isDone && this.parts.engine.openCount === 0) {
        this.end();
      }
    };
    this.timers.push(setInterval(check, STOP_CHECK_INTERVAL_MS));
  }

  /** Closes all ports and connections at once. */
  close(): void {
    this.hasEnded = true;
    this.timers.forEach(timer => clearInterval(timer));
    this.parts.reader.setActive(false);
    this.parts.callers.destroy();
    this.parts.relayServer.destroy();
    this.parts.targets.close();
    this.parts.peers.close();
    this.parts.link.close();
    this.parts.published.close();
    this.parts.status.close();
  }

  private end(): void {
    const {engine, log} = this.parts;
    if (this.hasEnded) {
      return;
    }
    this.close();
    log.info('process', 'ended', {openRequests: engine.openCount});
    this.parts.exit();
  }

  private tick(): void {
    try {
      this.runPeriodicWork();
    } catch (error) {
      this.parts.log.error('process', 'periodic work failed', error);
    }
  }

  private runPeriodicWork(): void {
    const {clock, fleet, reader, state, sharing, prober} = this.parts;
    const {targets, peers} = this.parts;
    const nowMs = clock.nowMs();
    this.checkPause(nowMs);
    this.checkReachability(nowMs);
    this.expireTargets(nowMs);
    this.sendAll(fleet.onTick(nowMs));
    this.reports.onTick(nowMs);
    reader.setActive(fleet.shouldRead(nowMs));
    const work = sharing.onTick(state.targets, nowMs);
    this.sendAll(work.dispatches);
    this.shareLimits(nowMs);
    this.shareDrains(nowMs);
    work.probes.forEach(target => prober.probe(target));
    this.tickCount += 1;
    if (this.tickCount % CONNECTION_CHECK_TICKS === 0) {
      targets.tick();
      peers.tick();
    }
  }

  /** Finds out whether this VM reaches targets, and tells the fleet. */
  private checkReachability(nowMs: number): void {
    const {state, reachability, prober, fleet, log} = this.parts;
    const {runner, engine} = this.parts;
    const work = reachability.onTick(state.targets, nowMs);
    this.sendAll(work.dispatches);
    work.probes.forEach(target => prober.probe(target));
    if (work.change?.type === 'cut-off') {
      log.warn('targets', 'cut off from all targets', {
        failedTargets: work.change.failedCount,
        knownPeers: fleet.relayCandidates(nowMs).length,
      });
    } else if (work.change?.type === 'returned') {
      const durationMs = Math.round(nowMs - work.change.cutOffSinceMs);
      log.warn('targets', 'reached again', {durationMs});
    }
    if (work.change !== undefined) {
      runner.feed(inputMs => engine.onTargetsChanged(inputMs));
    }
  }

  /** Drops targets that a restored store still lacks after a while. */
  private expireTargets(nowMs: number): void {
    if (this.parts.replica.expire(nowMs)) {
      this.onStateChanged('expiry');
    }
  }

  /**
   * Discards confirmations after a pause or suspension, as they may be stale.
   */
  private checkPause(nowMs: number): void {
    const pause = this.pauses.observeTick(nowMs);
    const driftMs = Date.now() - nowMs;
    const jumpMs = Math.abs(driftMs - (this.clockDriftMs ?? driftMs));
    this.clockDriftMs = driftMs;
    if (pause === undefined && jumpMs < MAX_CLOCK_JUMP_MS) {
      return;
    }
    this.parts.fleet.resetConfirmations();
    this.parts.relays.reachability.onPause(nowMs);
    this.parts.log.info('process', 'paused or clock changed', {
      gapMs: Math.round(pause === undefined ? 0 : nowMs - pause.lastTickMs),
      clockJumpMs: Math.round(jumpMs),
    });
  }

  private shareLimits(nowMs: number): void {
    const {limits, limitSharing, state, runner, engine} = this.parts;
    this.sendAll(limitSharing.onTick(state.targets, nowMs));
    if (limits.list().length > 0) {
      // A head hands out grants to itself without a message.
      runner.feed(inputMs => engine.onTargetsChanged(inputMs));
    }
  }

  private shareDrains(nowMs: number): void {
    const {drainSharing, state, log} = this.parts;
    const {dispatches, added} = drainSharing.onTick(state.targets, nowMs);
    this.sendAll(dispatches);
    for (const {targetId, source, sinceMs} of added) {
      const ageMs = Math.round(nowMs - sinceMs);
      log.info('targets', 'target drains', {targetId, source, ageMs});
    }
  }

  /** Applies a snapshot; returns true if it changed the state. */
  private applySnapshot(
    snapshot: PublishedSnapshot,
    source: UpdateSource,
  ): boolean {
    const {replica, clock} = this.parts;
    const update = replica.offerSnapshot(snapshot, source, clock.nowMs());
    this.onUpdate(update, source);
    return update.isChanged;
  }

  /** Applies a delta; returns false if changes before it are missing. */
  private applyDelta(delta: PublishedDelta, source: UpdateSource): boolean {
    const {replica, clock} = this.parts;
    const update = replica.offerDelta(delta, source, clock.nowMs());
    this.onUpdate(update, source);
    return !update.isGap;
  }

  private onUpdate(update: ReplicaUpdate, source: UpdateSource): void {
    if (update.restoredFrom !== undefined) {
      this.logRestored(update.restoredFrom, source);
    }
    if (update.isChanged) {
      this.onStateChanged(source);
    }
    this.sendAll(update.dispatches);
  }

  private logRestored(before: StorePosition, source: 'store' | 'peer'): void {
    const {state, log} = this.parts;
    const {missing, draining, departed} = state.heldTargetCounts;
    log.warn('store', 'restored from an older copy', {
      previousEra: before.era,
      previousRevision: before.revision,
      era: state.era,
      revision: state.revision,
      source,
      routesVersion: state.routes?.version ?? 0,
      missingTargets: missing,
      heldDrains: draining,
      heldDepartures: departed,
    });
  }

  private onStateChanged(source: string): void {
    const {state, board, runner, engine, log} = this.parts;
    const {routesChanged, evacuationsChanged, changedTargetIds} =
      state.takeChange();
    if (evacuationsChanged) {
      this.applyEvacuations(source);
    }
    if (changedTargetIds.length > 0) {
      board.syncTargets(state.targets);
    }
    if (routesChanged && state.routes !== undefined) {
      this.routes = new RouteTable(state.routes);
      engine.applyRoutes(this.routes);
      board.setColdRates(coldRatesOf(state.routes.services));
      const {settings, budget} = this.parts;
      const limits = deriveCallerLimits(state.routes.bounds, {
        maxConnections: maxCallerConnections(settings.maxDescriptors),
        maxBodyBytes: budget.maxBodyBytes,
      });
      this.parts.callers.applyLimits(limits);
      this.parts.relayServer.applyLimits(limits);
    }
    if (routesChanged || changedTargetIds.length > 0) {
      log.info('published', 'adopted', {
        era: state.era,
        revision: state.revision,
        source,
        routesVersion: state.routes?.version ?? 0,
        targetCount: state.targets.size,
        changedTargetIds: changedTargetIds.slice(0, 10).join(' '),
      });
    }
    runner.feed(nowMs => engine.onTargetsChanged(nowMs));
    this.markReadyIfComplete();
  }

  private applyEvacuations(source: string): void {
    const {state, board, log} = this.parts;
    board.setEvacuatedDomains(state.evacuatedDomains);
    const orders = state.evacuationOrders.map(
      ({failureDomain, revision}) => `${failureDomain} ${revision}`,
    );
    log.warn('published', 'failure domains out of service', {
      source,
      era: state.era,
      revision: state.revision,
      count: orders.length,
      domainsAndRevisions: orders.join(', '),
    });
  }

  private markReadyIfComplete(): void {
    const {state, fleet, log} = this.parts;
    if (this.lifecycle === 'starting' && state.isComplete) {
      this.lifecycle = 'ready';
      fleet.setState('ready');
      const uptimeMs = Math.round(process.uptime() * 1000);
      log.info('process', 'ready', {uptimeMs});
    }
  }

  private sendAll(dispatches: readonly Dispatch[]): void {
    for (const dispatch of dispatches) {
      if (!this.parts.link.send(dispatch)) {
        const {type} = dispatch.message;
        this.parts.log.warn('fleet', 'message too large', {type});
      }
    }
  }
}

/** Returns what cold targets take, for the services that say so. */
function coldRatesOf(
  services: readonly ServiceRule[],
): ReadonlyMap<string, number> {
  return new Map(
    services.flatMap(({name, coldRequestsPerSecond: perSecond}) =>
      perSecond === undefined ? [] : [[name, perSecond] as const],
    ),
  );
}
