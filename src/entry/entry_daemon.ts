/**
 * The daemon of an entry VM that follows published routes.
 *
 * @packageDocumentation
 */
import type {CallerServer} from '../caller_http/index.js';
import {PauseDetector, type Clock} from '../core/index.js';
import type {DeliveryEngine, RoutedRequest} from '../delivery/index.js';
import type {
  Dispatch,
  FleetMessage,
  FleetNode,
  HeadView,
} from '../fleet/index.js';
import type {LoadBoard} from '../load/index.js';
import {
  fetchPublished,
  type DatagramLink,
  type PublishedServer,
} from '../peer_datagram/index.js';
import type {
  PublishedDelta,
  PublishedSnapshot,
  PublishedState,
  Revision,
  SourceError,
} from '../registry/index.js';
import {RouteTable} from '../routes/index.js';
import type {TargetClient} from '../target_http/index.js';
import {callerLimitsOf} from './caller_limits.js';
import type {DeliveryRunner} from './delivery_runner.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {EventLines} from './event_lines.js';
import type {LoadSharing} from './load_sharing.js';
import type {PublishedReader, ReaderListener} from './published_reader.js';
import type {EntrySettings} from './settings.js';
import type {StatusServer} from './status_server.js';
import type {TargetProber} from './target_prober.js';

/** Interval of periodic work. */
const TICK_MS = 50;

/** Ticks between two looks at connections. */
const CONNECTION_CHECK_TICKS = 4;

/** A gap between ticks from which on the VM counts as paused. */
const MAX_TICK_GAP_MS = 500;

/** Difference between wall clock and steady clock that a suspension leaves. */
const MAX_CLOCK_DRIFT_MS = 700;

/** Time to fetch from a peer. */
const FETCH_TIMEOUT_MS = 400;

/**
 * Time from a stop signal until new connections are refused. The platform's
 * balancer asks each second and needs two failed answers.
 */
const STOP_LISTENING_MS = 3_400;

/** Time before the end of the grace at which the process ends at the latest. */
const STOP_MARGIN_MS = 500;

/** Interval at which a leaving VM looks whether all requests have ended. */
const STOP_CHECK_MS = 50;

/** Parts of the daemon. */
export interface EntryParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly state: PublishedState;
  readonly fleet: FleetNode;
  readonly board: LoadBoard;
  readonly engine: DeliveryEngine;
  readonly runner: DeliveryRunner;
  readonly callers: CallerServer<RoutedRequest>;
  readonly targets: TargetClient;
  readonly prober: TargetProber;
  readonly sharing: LoadSharing;
  readonly reader: PublishedReader;
  readonly link: DatagramLink;
  readonly published: PublishedServer;
  readonly status: StatusServer;
  readonly metrics: EntryMetrics;
  readonly lines: EventLines;
  /** Ends the process; called once a planned stop is complete. */
  readonly exit: () => void;
}

/** Runs the parts and decides on the life of the VM. */
export class EntryDaemon implements ReaderListener {
  private readonly pauses = new PauseDetector({maxGapMs: MAX_TICK_GAP_MS});
  private lifecycle: 'starting' | 'ready' | 'leaving' = 'starting';
  private tickCount = 0;
  private clockDriftMs: number | undefined;
  private isFetching = false;
  private hasEnded = false;
  private readonly timers: NodeJS.Timeout[] = [];
  private lastHeads: HeadView | undefined;
  private lastView = '';

  /** @param parts - the parts, not started yet */
  constructor(private readonly parts: EntryParts) {}

  /** True if the VM takes new connections. */
  get isReady(): boolean {
    return this.lifecycle === 'ready';
  }

  /** Routes that requests follow now. */
  routes: RouteTable | undefined;

  /**
   * Opens the ports and starts the periodic work.
   *
   * @throws the error of a port that cannot be opened
   */
  async start(): Promise<void> {
    const {settings, fleet, callers, link, published, status} = this.parts;
    const {lines, metrics, engine, targets, state, reader, clock} = this.parts;
    fleet.setSeeds(settings.seedHosts);
    metrics.observe({
      openRequests: () => engine.openCount,
      targetConnections: () => targets.connectionCount,
      fleetSize: () => fleet.fleetSize(clock.nowMs()),
      revision: () => state.revision,
      storeCalls: () => reader.calls,
      confirmationAgeMs: () =>
        Math.min(fleet.confirmationAgeMs(clock.nowMs()), 1e9),
    });
    await link.open();
    await status.listen();
    await published.listen(settings.host, settings.peerPort);
    await callers.listen(settings.caller);
    this.timers.push(setInterval(() => this.tick(), TICK_MS));
    lines.state('process', 'started', {
      vmId: settings.vmId,
      failureDomain: settings.failureDomain,
      startupMs: Math.round(process.uptime() * 1000),
    });
    this.tick();
  }

  /** Takes over changed settings; only the seeds can change in a run. */
  applySettings(settings: EntrySettings): void {
    this.parts.fleet.setSeeds(settings.seedHosts);
    const seedHosts = settings.seedHosts.join(' ');
    this.parts.lines.state('settings', 'reloaded', {seedHosts});
  }

  onSnapshot(snapshot: PublishedSnapshot): void {
    this.takeSnapshot(snapshot, 'store');
  }

  onDelta(delta: PublishedDelta): void {
    this.takeDelta(delta, true);
  }

  onConfirmed(confirmedMs: number): void {
    this.parts.fleet.onConfirmed(confirmedMs);
  }

  onFailing(isFailing: boolean, error: SourceError | undefined): void {
    const {fleet, lines, clock} = this.parts;
    fleet.setReadFailing(isFailing);
    if (isFailing) {
      const {type = 'unknown', reason = ''} = error ?? {};
      lines.state('store', 'does not answer', {type, reason});
    } else {
      lines.state('store', 'answers again');
    }
    this.sendAll(fleet.announce(clock.nowMs()));
  }

  /** Takes in a message of a peer. */
  onMessage(message: FleetMessage): void {
    const {fleet, sharing, clock} = this.parts;
    const nowMs = clock.nowMs();
    const {news, dispatches} = fleet.onMessage(message, nowMs);
    this.sendAll(dispatches);
    if (message.type === 'load') {
      sharing.onTable(message, nowMs);
      this.parts.runner.feed(at => this.parts.engine.onNews(at));
    } else if (message.type === 'outcomes') {
      this.sendAll(sharing.onReport(message, nowMs));
    }
    if (news.delta !== undefined && !this.takeDelta(news.delta, false)) {
      this.fetchFrom(message.sender.host);
    } else if (news.isSenderAhead) {
      this.fetchFrom(message.sender.host);
    }
  }

  /** Leaves: not ready, serves what still comes, ends when all is answered. */
  stop(): void {
    if (this.lifecycle === 'leaving') {
      return;
    }
    const {fleet, callers, clock, lines, engine} = this.parts;
    this.lifecycle = 'leaving';
    lines.state('process', 'leaving', {openRequests: engine.openCount});
    fleet.setState('leaving');
    this.sendAll(fleet.announce(clock.nowMs()));
    callers.beginDrain();
    this.timers.push(setTimeout(() => this.stopListening(), STOP_LISTENING_MS));
    const {stopGraceMs} = this.parts.settings;
    this.timers.push(
      setTimeout(() => this.end(), stopGraceMs - STOP_MARGIN_MS),
    );
  }

  private stopListening(): void {
    this.parts.callers.stopListening();
    this.parts.callers.closeIdle();
    // What arrives now on connections still in use could not end in time.
    this.parts.engine.beginLeaving();
    this.parts.lines.state('process', 'stopped listening');
    const check = (): void => {
      const {engine, callers} = this.parts;
      if (engine.openCount === 0 && callers.openCount === 0) {
        this.end();
      }
    };
    this.timers.push(setInterval(check, STOP_CHECK_MS));
  }

  /** Closes all ports and connections at once. */
  close(): void {
    this.hasEnded = true;
    this.timers.forEach(timer => clearInterval(timer));
    this.parts.reader.setActive(false);
    this.parts.callers.destroy();
    this.parts.targets.close();
    this.parts.link.close();
    this.parts.published.close();
    this.parts.status.close();
  }

  private end(): void {
    const {engine, lines} = this.parts;
    if (this.hasEnded) {
      return;
    }
    this.close();
    lines.state('process', 'ended', {openRequests: engine.openCount});
    this.parts.exit();
  }

  private tick(): void {
    try {
      this.periodicWork();
    } catch (error) {
      this.parts.lines.error('process', 'periodic work failed', error);
    }
  }

  private periodicWork(): void {
    const {clock, fleet, reader, state, sharing, prober, targets} = this.parts;
    const nowMs = clock.nowMs();
    this.checkPause(nowMs);
    this.sendAll(fleet.onTick(nowMs));
    this.logView();
    reader.setActive(fleet.shouldRead(nowMs));
    const work = sharing.onTick(state.targets, nowMs);
    this.sendAll(work.dispatches);
    work.probes.forEach(target => prober.probe(target));
    this.tickCount += 1;
    if (this.tickCount % CONNECTION_CHECK_TICKS === 0) {
      targets.tick();
    }
  }

  /** After a pause or suspension, nothing known counts as confirmed. */
  private checkPause(nowMs: number): void {
    const pause = this.pauses.observeTick(nowMs);
    const driftMs = Date.now() - nowMs;
    const jumpMs = Math.abs(driftMs - (this.clockDriftMs ?? driftMs));
    this.clockDriftMs = driftMs;
    if (pause === undefined && jumpMs < MAX_CLOCK_DRIFT_MS) {
      return;
    }
    this.parts.fleet.distrustConfirmations();
    this.parts.lines.state('process', 'paused or clock changed', {
      gapMs: Math.round(pause === undefined ? 0 : nowMs - pause.lastTickMs),
      clockJumpMs: Math.round(jumpMs),
    });
  }

  private logView(): void {
    const {heads} = this.parts.fleet;
    if (heads === this.lastHeads) {
      return;
    }
    this.lastHeads = heads;
    const view = {
      heads: heads.ownHeads.join(' '),
      readers: heads.readers.join(' '),
      domainSize: heads.ownDomainHosts.length + 1,
    };
    const text = JSON.stringify(view);
    if (text !== this.lastView) {
      this.lastView = text;
      this.parts.lines.state('fleet', 'duties changed', view);
    }
  }

  private takeSnapshot(snapshot: PublishedSnapshot, source: string): void {
    const {state, clock} = this.parts;
    if (state.offerSnapshot(snapshot, clock.nowMs()) === 'advanced') {
      this.onStateChanged(source);
    }
  }

  /** Returns false if changes before these are missing. */
  private takeDelta(delta: PublishedDelta, isOwnRead: boolean): boolean {
    const {state, clock, fleet} = this.parts;
    const nowMs = clock.nowMs();
    const result = state.offerDelta(delta, nowMs);
    if (result === 'advanced') {
      this.onStateChanged(isOwnRead ? 'store' : 'peer');
      if (delta.changes.length > 0) {
        this.sendAll(fleet.passOn(delta, {isOwnRead, nowMs}));
      }
    }
    return result !== 'gap';
  }

  private onStateChanged(source: string): void {
    const {state, fleet, board, runner, engine, lines} = this.parts;
    fleet.setRevision(state.revision);
    const {routesChanged, changedTargetIds} = state.takeChange();
    if (changedTargetIds.length > 0) {
      board.syncTargets(state.targets);
    }
    if (routesChanged && state.routes !== undefined) {
      this.routes = new RouteTable(state.routes);
      engine.applyRoutes(this.routes);
      this.parts.callers.applyLimits(callerLimitsOf(state.routes.bounds));
    }
    if (routesChanged || changedTargetIds.length > 0) {
      lines.state('published', 'adopted', {
        revision: state.revision,
        source,
        routesVersion: state.routes?.version ?? 0,
        targetCount: state.targets.size,
        changedTargetIds: changedTargetIds.slice(0, 10).join(' '),
      });
    }
    runner.feed(nowMs => engine.onNews(nowMs));
    this.becomeReady();
  }

  private becomeReady(): void {
    const {state, fleet, lines} = this.parts;
    if (this.lifecycle === 'starting' && state.isComplete) {
      this.lifecycle = 'ready';
      fleet.setState('ready');
      const uptimeMs = Math.round(process.uptime() * 1000);
      lines.state('process', 'ready', {uptimeMs});
    }
  }

  private fetchFrom(host: string): void {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    void this.fetch(host, this.parts.state.revision).finally(() => {
      this.isFetching = false;
    });
  }

  private async fetch(host: string, after: Revision): Promise<void> {
    const {settings, fleet, clock, lines} = this.parts;
    const sentMs = clock.nowMs();
    const fetched = await fetchPublished({
      host,
      port: settings.peerPort,
      after,
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    if (fetched.isErr()) {
      const {type, reason} = fetched.error;
      lines.fault('published', 'not fetched from peer', {host, type, reason});
      return;
    }
    const {snapshot, delta, position} = fetched.value;
    if (snapshot !== undefined) {
      this.takeSnapshot(snapshot, 'peer');
    }
    if (delta !== undefined) {
      this.takeDelta(delta, false);
    }
    fleet.takeConfirmation(position, sentMs);
  }

  private sendAll(dispatches: readonly Dispatch[]): void {
    for (const dispatch of dispatches) {
      if (!this.parts.link.send(dispatch)) {
        const {type} = dispatch.message;
        this.parts.lines.fault('fleet', 'message too large', {type});
      }
    }
  }
}
