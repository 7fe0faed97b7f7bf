/**
 * Daemon of one entry VM: start, periodic work and planned shutdown.
 *
 * @packageDocumentation
 */
import {ROUND_MS, type MembershipChange} from '../membership/index.js';
import type {OperatorServer, OperatorView} from '../operator_http/index.js';
import type {
  ConfigDocument,
  VmListDocument,
  VmStatus,
  VmTimeline,
} from '../preset/index.js';
import {PROGRAM_VERSION} from '../settings/index.js';
import type {DaemonParts} from './daemon_parts.js';
import type {DocumentListener} from './document_exchange.js';
import {ListenError, listenOn} from './listen_error.js';
import {PlannedShutdown} from './planned_shutdown.js';

/** Interval of the engine's ticks, in milliseconds. */
const TICK_INTERVAL_MS = 10;

/** Ticks between two checks for silent connections. */
const CONNECTION_CHECK_TICKS = 5;

/** Interval at which expired claim records are dropped, in milliseconds. */
const RECORD_EXPIRY_INTERVAL_MS = 1_000;

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  readonly caller: number;
  readonly operator: number;
}

type Lifecycle = 'starting' | 'ready' | 'leaving';

/** Runs the components of the daemon and controls its lifecycle. */
export class Daemon implements OperatorView, DocumentListener {
  private readonly operator: OperatorServer;
  private timers: NodeJS.Timeout[] = [];
  private state: Lifecycle = 'starting';
  private tickCount = 0;
  private lastMembershipView = '';
  private isExchanging = false;
  private shutdownDone: Promise<void> | undefined;
  private resolveEnded: () => void = () => undefined;
  /** Resolves when a planned shutdown is complete. */
  readonly ended = new Promise<void>(resolve => {
    this.resolveEnded = resolve;
  });

  /** @param parts - components that are not started yet */
  constructor(private readonly parts: DaemonParts) {
    this.operator = parts.createOperator(this);
  }

  /**
   * Opens the ports and starts the periodic work.
   *
   * @returns the ports, which differ from the settings if those have port 0
   * @throws ListenError if a port cannot be opened, for example because it is
   *     in use
   */
  async start(): Promise<DaemonPorts> {
    const {settings, callers, documents, reader, membership} = this.parts;
    documents.attach(this, reader);
    membership.addContacts(settings.seeds);
    this.parts.metrics.registerGauges({
      inFlight: () => this.parts.engine.inFlightCount(),
      targetConnections: () => this.parts.targets.connectionCount,
      members: () => membership.members().length,
      claimRecords: () => this.parts.claimTable.summary().recordCount,
      cutOffSeconds: () =>
        this.parts.engine.cutOffMs(this.parts.clock.nowMs()) / 1000,
    });
    const bound = await this.parts.peerServer.start();
    if (bound.isErr()) {
      throw new ListenError('peer', settings.peer, bound.error.message);
    }
    const operatorPort = await listenOn('operator', settings.operator, () =>
      this.operator.listen(settings.operator),
    );
    const {relay} = settings;
    if (relay !== undefined) {
      await listenOn('relay', relay, () =>
        this.parts.relayServer.listen(relay),
      );
    }
    const callerPort = await listenOn('caller', settings.caller, () =>
      callers.listen(settings.caller),
    );
    this.startTimer(TICK_INTERVAL_MS, () => this.tick());
    this.startTimer(ROUND_MS, () => this.gossip());
    this.startTimer(RECORD_EXPIRY_INTERVAL_MS, () => this.dropExpiredRecords());
    this.refreshMembership();
    this.parts.log.info(
      `VM ${settings.vmId} (version ${PROGRAM_VERSION}) listens, callers on port ${callerPort}, operators on port ${operatorPort}, peers on port ${bound.value}`,
    );
    return {caller: callerPort, operator: operatorPort};
  }

  /**
   * Shuts the daemon down: reports not ready, waits, finishes open requests,
   * hands claim records over, and announces the departure. A second call joins
   * the first.
   *
   * @returns a promise that resolves when the shutdown is complete
   */
  shutDown(): Promise<void> {
    this.shutdownDone ??= this.runShutdown();
    return this.shutdownDone;
  }

  /** Applies the preset that the configuration has in force. */
  onConfig(document: ConfigDocument): void {
    const preset = document.presets.get(document.inForce);
    if (preset === undefined) {
      return;
    }
    this.parts.metrics.setServices(preset.services.keys());
    const {runner, engine} = this.parts;
    runner.feed(nowMs => engine.applyPreset(preset, nowMs));
    this.markReadyIfComplete();
  }

  /** Applies the list of targets and the addresses of entry VMs. */
  onVmList(document: VmListDocument): void {
    const {membership, runner, engine} = this.parts;
    membership.addContacts(document.vms.filter(vm => vm.role === 'entry'));
    runner.feed(nowMs => engine.applyVmList(document, nowMs));
    this.markReadyIfComplete();
  }

  isReady(): boolean {
    return this.state === 'ready';
  }

  status(): VmStatus {
    const {membership, settings, clock, engine, claims, claimTable} =
      this.parts;
    const {configStore, vmListStore, reader} = this.parts;
    const nowMs = clock.nowMs();
    const inForce = configStore.adopted?.document.inForce ?? null;
    return {
      version: PROGRAM_VERSION,
      vmId: membership.self.vmId,
      bootId: membership.self.bootId,
      failureDomain: settings.failureDomain,
      state: this.state,
      ready: this.isReady(),
      documents: {
        config: {...configStore.status(nowMs), inForce},
        vms: vmListStore.status(nowMs),
      },
      members: membership.members().map(member => ({
        vmId: member.incarnation.vmId,
        bootId: member.incarnation.bootId,
        state: member.state,
        lastHeardAgeMs: Math.max(0, nowMs - member.lastHeardMs),
      })),
      engine: {
        ...engine.status(nowMs),
        readsPlatform: reader.started,
        platformCalls: reader.callCounts(),
        targetConnections: this.parts.targets.connectionCount,
        claimRecords: claimTable.summary().recordCount,
        openSettlements: claims.openSettlementCount,
      },
    };
  }

  timeline(): VmTimeline {
    const {membership, events} = this.parts;
    return {vmId: membership.self.vmId, events: events.events()};
  }

  async metrics(): Promise<{
    readonly contentType: string;
    readonly text: string;
  }> {
    const {registry} = this.parts.metrics;
    return {contentType: registry.contentType, text: await registry.metrics()};
  }

  private startTimer(intervalMs: number, work: () => void): void {
    const timer = setInterval(() => {
      try {
        work();
      } catch (error) {
        this.parts.log.error('periodic work failed', error);
      }
    }, intervalMs);
    this.timers.push(timer);
  }

  private tick(): void {
    const {runner, engine, targets, pauses} = this.parts;
    pauses.check();
    runner.feed(nowMs => engine.onTick(nowMs));
    this.tickCount += 1;
    if (this.tickCount % CONNECTION_CHECK_TICKS === 0) {
      targets.tick();
      this.parts.peers.tick();
    }
  }

  private gossip(): void {
    const {membership, clock} = this.parts;
    this.parts.pauses.check();
    const nowMs = clock.nowMs();
    const changes = membership.tick(nowMs);
    this.parts.home.onMembershipChanges(changes, nowMs);
    changes.forEach(change => this.recordMemberChange(change));
    this.refreshMembership();
    for (const {vmId, to} of changes) {
      if (to === 'ready' && vmId !== membership.self.vmId) {
        this.returnRecords(vmId);
      }
    }
    if (membership.replacedBy !== undefined && this.state !== 'leaving') {
      this.parts.log.warn(`replaced by ${membership.replacedBy}, leaving`);
      void this.shutDown();
    }
    this.parts.documents.fetchNewer();
    this.exchangeFacts();
  }

  /** Records and logs a state change of a member. */
  private recordMemberChange(change: MembershipChange): void {
    const {vmId, bootId, from, to, planned} = change;
    this.parts.events.record('membership', `vm-${to}`, {
      vmId,
      bootId,
      from: from ?? 'unknown',
      planned,
    });
    this.parts.log.info(`VM ${vmId} is ${to}`);
  }

  /** Exchanges facts with one peer, unless the last exchange is still open. */
  private exchangeFacts(): void {
    const {membership, random, transport, log} = this.parts;
    const peer = membership.nextPeer(random);
    if (peer === undefined || this.isExchanging) {
      return;
    }
    this.isExchanging = true;
    void transport
      .exchange(peer)
      .catch((error: unknown) => log.error('gossip failed', error))
      .finally(() => {
        this.isExchanging = false;
      });
  }

  /** Sends a VM the claim records that this VM kept as its substitute. */
  private returnRecords(vmId: string): void {
    const {home, claimTable, clock, claims, transport, log} = this.parts;
    const records = home.recordsFor(vmId, clock.nowMs());
    const address = claims.addressOf(vmId);
    if (records.length === 0 || address === undefined) {
      return;
    }
    const {lastEvictionMs} = claimTable.summary();
    void transport
      .handOver(address, records, lastEvictionMs)
      .then(acknowledged => {
        const result = acknowledged ? 'acknowledged' : 'did not acknowledge';
        log.info(`VM ${vmId} ${result} ${records.length} claim records`);
      })
      .catch((error: unknown) => log.error('hand-over failed', error));
  }

  private dropExpiredRecords(): void {
    const {claimTable, clock} = this.parts;
    claimTable.expire(clock.nowMs());
  }

  /** Applies membership changes to the engine and the choice of the reader. */
  private refreshMembership(): void {
    const {membership, runner, engine, documents} = this.parts;
    const readyVmIds = membership.readyVmIds();
    // Suspects count as live: a higher count makes this VM's share smaller.
    const live = membership
      .members()
      .filter(member => member.state !== 'dead')
      .map(member => member.incarnation.vmId);
    const liveVmIds = [...new Set([...live, membership.self.vmId])].sort();
    const view = JSON.stringify([readyVmIds, liveVmIds]);
    if (view === this.lastMembershipView) {
      return;
    }
    this.lastMembershipView = view;
    runner.feed(nowMs =>
      engine.applyMembership({readyVmIds, liveVmIds}, nowMs),
    );
    documents.updateReader(liveVmIds);
  }

  private markReadyIfComplete(): void {
    const {documents, membership, home, clock, log, events} = this.parts;
    if (this.state !== 'starting' || !documents.isComplete) {
      return;
    }
    this.state = 'ready';
    membership.setState('ready');
    home.onReady(clock.nowMs());
    events.record('process', 'ready', {});
    log.info('ready');
    this.refreshMembership();
  }

  private async runShutdown(): Promise<void> {
    const {settings, callers, log, events} = this.parts;
    log.info(
      `leaving, the caller port stays open for at least ${settings.leaveDelayMs} ms`,
    );
    events.record('process', 'leaving', {});
    this.state = 'leaving';
    const {runner, engine, relayServer} = this.parts;
    runner.feed(() => engine.stopCarrying());
    await new PlannedShutdown(this.parts).run();
    // Immediately, so that no further request is read and sent to a target.
    callers.destroy();
    relayServer.destroy();
    this.parts.peers.close();
    this.timers.forEach(clearInterval);
    this.parts.targets.close();
    this.operator.close();
    await this.parts.reader.stop();
    await this.parts.peerServer.stop();
    await this.parts.transport.close();
    log.info('all requests are finished, ending');
    this.resolveEnded();
  }
}
