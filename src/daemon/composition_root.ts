/**
 * Composition root of the daemon, the only module that binds classes to roles.
 *
 * @packageDocumentation
 */
import {randomInt, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type Logger from 'bunyan';
import {Container, type ServiceIdentifier} from 'inversify';
import {
  CallerServer,
  DEFAULT_CALLER_LIMITS,
  maxCallerConnections,
  NativeCallerProtocol,
  type CallerLimits,
  type ProtectionReason,
} from '../caller_http/index.js';
import {Clock, RandomSource, SeededRandom, SystemClock} from '../core/index.js';
import {RequestEngine} from '../engine/index.js';
import {MemoryBudget, memoryCapacityBytes} from '../memory/index.js';
import {GossipMembership, ownerIdOf, type Fact} from '../membership/index.js';
import {OperatorServer} from '../operator_http/index.js';
import {MessageStamp, PeerClient, PeerServer} from '../peer_grpc/index.js';
import {RelayTargetProtocol} from '../peer_relay/index.js';
import {PlatformReader} from '../platform_http/index.js';
import {createConfigStore, createVmListStore} from '../preset/index.js';
import {BudgetedProbeScheduler} from '../probing/index.js';
import {
  ClaimTable,
  CrashQuarantine,
  FingerprintQuarantine,
  HomeVm,
  KeyedClaimTable,
} from '../recovery/index.js';
import {ServiceTargetPool} from '../routing/index.js';
import type {DaemonSettings} from '../settings/index.js';
import {NativeTargetProtocol, TargetClient} from '../target_http/index.js';
import {HybridClock} from '../timeline/index.js';
import {ClaimRouter} from './claim_router.js';
import {ComponentLog} from './component_log.js';
import {Daemon} from './daemon.js';
import {DaemonMetrics} from './daemon_metrics.js';
import {DocumentExchange} from './document_exchange.js';
import {EffectRunner} from './effect_runner.js';
import {EventLog} from './event_log.js';
import {GrpcTransport} from './grpc_transport.js';
import {PauseGuard} from './pause_guard.js';
import {PeerService} from './peer_service.js';
import {PeerTransport} from './peer_transport.js';
import {RelayedRequestProtocol} from './relayed_request_protocol.js';
import {RingEventLog} from './ring_event_log.js';
import {WallClockStamp} from './wall_clock_stamp.js';
import {UrgentGossip} from './urgent_gossip.js';

/** Options of {@link composeDaemon}. */
export interface ComposeOptions {
  readonly settings: DaemonSettings;
  readonly logger: Logger;
}

const CONFIG_STORE: ServiceIdentifier<ReturnType<typeof createConfigStore>> =
  Symbol('ConfigStore');
const VM_LIST_STORE: ServiceIdentifier<ReturnType<typeof createVmListStore>> =
  Symbol('VmListStore');

/** Size of the fields that a VM adds to the head of a relayed request. */
const RELAY_HEAD_BYTES = 512;

/** Client for requests that peers carry. */
const PEER_CLIENT: ServiceIdentifier<TargetClient> = Symbol('PeerClient');

/** Server for requests of peers. */
const RELAY_SERVER: ServiceIdentifier<CallerServer> = Symbol('RelayServer');

/** Exclusive upper bound of random seeds, which are 31-bit integers. */
const SEED_BOUND = 2 ** 31 - 1;

/**
 * Builds a daemon that is not started yet.
 *
 * @param options - settings and log
 * @returns the daemon
 * @throws an error of a component, for example of the peer port
 *
 * @example
 * ```ts
 * const daemon = await composeDaemon({settings, logger});
 * await daemon.start();
 * ```
 */
export async function composeDaemon(options: ComposeOptions): Promise<Daemon> {
  const {settings} = options;
  const container = new Container({defaultScope: 'Singleton'});
  const seed = settings.randomSeed ?? randomInt(SEED_BOUND);
  bindInfrastructure(container, settings, seed);
  bindPolicies(container, settings);
  bindRequestPath(container, options);
  bindDocuments(container, options);
  bindDaemon(container, options);
  bindPeerProtocol(container, options);
  return container.getAsync(Daemon);
}

function bindInfrastructure(
  container: Container,
  settings: DaemonSettings,
  seed: number,
): void {
  container.bind(Clock).toConstantValue(new SystemClock());
  container.bind(RandomSource).toConstantValue(new SeededRandom({seed}));
  const metrics = new DaemonMetrics();
  container.bind(DaemonMetrics).toConstantValue(metrics);
  const hybridClock = new HybridClock();
  container
    .bind(EventLog)
    .toConstantValue(new RingEventLog(settings.vmId, hybridClock, metrics));
  container.bind(MessageStamp).toConstantValue(new WallClockStamp(hybridClock));
  container.bind(CONFIG_STORE).toConstantValue(createConfigStore());
  container.bind(VM_LIST_STORE).toConstantValue(createVmListStore());
}

function bindPolicies(container: Container, settings: DaemonSettings): void {
  const {vmId, failureDomain, peer} = settings;
  container.bind(GossipMembership).toDynamicValue(
    ({get}) =>
      new GossipMembership({
        self: {vmId, bootId: randomUUID(), host: peer.host, port: peer.port},
        startMs: get(Clock).nowMs(),
      }),
  );
  container
    .bind(ClaimTable)
    .toDynamicValue(
      ({get}) => new KeyedClaimTable({startMs: get(Clock).nowMs()}),
    );
  container.bind(HomeVm).toDynamicValue(
    ({get}) =>
      new HomeVm({
        membership: get(GossipMembership),
        claimTable: get(ClaimTable),
      }),
  );
  container
    .bind(CrashQuarantine)
    .toDynamicValue(() => new FingerprintQuarantine());
  container.bind(RequestEngine).toDynamicValue(
    ({get}) =>
      new RequestEngine({
        vmId,
        incarnationId: ownerIdOf(get(GossipMembership).self),
        failureDomain,
        random: get(RandomSource),
        createPool: poolOptions => new ServiceTargetPool(poolOptions),
        createScheduler: schedulerOptions =>
          new BudgetedProbeScheduler(schedulerOptions),
        quarantine: get(CrashQuarantine),
        relayAddress: settings.relay,
      }),
  );
}

/** Binds the components that forward requests of callers to targets. */
function bindRequestPath(container: Container, options: ComposeOptions): void {
  const {settings, logger} = options;
  container.bind(TargetClient).toDynamicValue(
    ({get}) =>
      new TargetClient({
        clock: get(Clock),
        protocol: new NativeTargetProtocol(),
      }),
  );
  container.bind(PEER_CLIENT).toDynamicValue(
    ({get}) =>
      new TargetClient({
        clock: get(Clock),
        protocol: new RelayTargetProtocol(),
      }),
  );
  container.bind(ClaimRouter).toDynamicValue(
    ({get}) =>
      new ClaimRouter({
        clock: get(Clock),
        membership: get(GossipMembership),
        home: get(HomeVm),
        transport: get(PeerTransport),
        log: new ComponentLog(logger, 'claims'),
      }),
  );
  container.bind(EffectRunner).toDynamicValue(({get}) => {
    const membership = get(GossipMembership);
    const urgent = new UrgentGossip({
      membership,
      transport: get(PeerTransport),
      log: new ComponentLog(logger, 'peers'),
      sleep,
    });
    return new EffectRunner({
      clock: get(Clock),
      engine: get(RequestEngine),
      targets: get(TargetClient),
      peers: get(PEER_CLIENT),
      claims: get(ClaimRouter),
      events: get(EventLog),
      metrics: get(DaemonMetrics),
      log: new ComponentLog(logger, 'engine'),
      publish: (key, value) => {
        membership.publish(key, value);
        urgent.onPublished(key);
      },
    });
  });
  const budget = new MemoryBudget(memoryCapacityBytes(settings.memoryMb));
  const limits = callerLimitsOf(settings, budget);
  const onProtected = (reason: ProtectionReason, count: number): void =>
    container.get(DaemonMetrics).onProtected(reason, count);
  container.bind(CallerServer).toDynamicValue(({get}) => {
    const runner = get(EffectRunner);
    const server = new CallerServer({
      clock: get(Clock),
      limits,
      protocol: new NativeCallerProtocol(),
      listener: runner,
      budget,
      onProtected,
    });
    runner.attach(server);
    return server;
  });
  container.bind(RELAY_SERVER).toDynamicValue(({get}) => {
    const runner = get(EffectRunner);
    const maxHeadBytes = limits.maxHeadBytes + RELAY_HEAD_BYTES;
    const server = new CallerServer({
      clock: get(Clock),
      limits: {...limits, maxHeadBytes},
      protocol: new RelayedRequestProtocol(),
      listener: runner,
      budget,
      onProtected,
      requestIdPrefix: 'p',
    });
    runner.attach(server);
    return server;
  });
}

function callerLimitsOf(
  {caller, maxDescriptors}: DaemonSettings,
  budget: MemoryBudget,
): CallerLimits {
  return {
    ...DEFAULT_CALLER_LIMITS,
    maxConnections: maxCallerConnections(maxDescriptors),
    maxHeadBytes: caller.maxHeaderBytes,
    maxBodyBytes: Math.min(caller.maxBodyBytes, budget.maxBodyBytes),
    requestTimeoutMs: caller.requestTimeoutMs,
    headTimeoutMs: Math.min(
      caller.requestTimeoutMs,
      DEFAULT_CALLER_LIMITS.headTimeoutMs,
    ),
    idleTimeoutMs: caller.idleTimeoutMs,
  };
}

/** Binds the components that read and distribute the platform's documents. */
function bindDocuments(container: Container, options: ComposeOptions): void {
  const {settings, logger} = options;
  container.bind(DocumentExchange).toDynamicValue(
    ({get}) =>
      new DocumentExchange({
        clock: get(Clock),
        membership: get(GossipMembership),
        transport: get(PeerTransport),
        config: get(CONFIG_STORE),
        vms: get(VM_LIST_STORE),
        events: get(EventLog),
        log: new ComponentLog(logger, 'documents'),
      }),
  );
  const platformLog = new ComponentLog(logger, 'platform');
  container.bind(PlatformReader).toDynamicValue(({get}) => {
    const documents = get(DocumentExchange);
    return new PlatformReader({
      baseUrls: settings.platformUrls,
      vmId: settings.vmId,
      clock: get(Clock),
      random: get(RandomSource),
      listener: {
        onDocument: published => documents.offer(published),
        onError: (name, error) =>
          platformLog.warn(
            `reading ${name} failed, ${error.type}: ${error.reason}`,
          ),
      },
    });
  });
}

/** Binds the daemon itself. */
function bindDaemon(container: Container, options: ComposeOptions): void {
  const {settings, logger} = options;
  container.bind(Daemon).toDynamicValue(
    ({get}) =>
      new Daemon({
        settings,
        clock: get(Clock),
        random: get(RandomSource),
        engine: get(RequestEngine),
        membership: get(GossipMembership),
        home: get(HomeVm),
        claimTable: get(ClaimTable),
        transport: get(PeerTransport),
        peerServer: get(PeerServer),
        pauses: get(PauseGuard),
        configStore: get(CONFIG_STORE),
        vmListStore: get(VM_LIST_STORE),
        documents: get(DocumentExchange),
        reader: get(PlatformReader),
        claims: get(ClaimRouter),
        runner: get(EffectRunner),
        targets: get(TargetClient),
        callers: get<CallerServer>(CallerServer),
        peers: get(PEER_CLIENT),
        relayServer: get(RELAY_SERVER),
        createOperator: view => new OperatorServer(view),
        metrics: get(DaemonMetrics),
        events: get(EventLog),
        log: new ComponentLog(logger, 'daemon'),
      }),
  );
}

function bindPeerProtocol(container: Container, options: ComposeOptions): void {
  const {settings, logger} = options;
  const log = new ComponentLog(logger, 'peers');
  // Resolved at each call, because the runner depends on the transport.
  const onFacts = (facts: readonly Fact[]): void => {
    const runner = container.get(EffectRunner);
    const engine = container.get(RequestEngine);
    for (const fact of facts) {
      runner.feed(nowMs => engine.onPeerFact(fact, nowMs));
    }
  };
  container.bind(PauseGuard).toDynamicValue(
    ({get}) =>
      new PauseGuard({
        clock: get(Clock),
        membership: get(GossipMembership),
        home: get(HomeVm),
        log: new ComponentLog(logger, 'process'),
      }),
  );
  container.bind(PeerTransport).toDynamicValue(
    ({get}) =>
      new GrpcTransport({
        clock: get(Clock),
        client: new PeerClient({
          clock: get(Clock),
          stamp: get(MessageStamp),
          traffic: get(DaemonMetrics),
        }),
        membership: get(GossipMembership),
        onFacts,
      }),
  );
  container.bind(PeerServer).toDynamicValue(({get}) => {
    const pauses = get(PauseGuard);
    const handler = new PeerService({
      clock: get(Clock),
      membership: get(GossipMembership),
      home: get(HomeVm),
      claims: get(ClaimRouter),
      config: get(CONFIG_STORE),
      vms: get(VM_LIST_STORE),
      onFacts,
      checkPause: () => pauses.check(),
    });
    return new PeerServer({
      host: settings.peer.host,
      port: settings.peer.port,
      handler,
      clock: get(Clock),
      stamp: get(MessageStamp),
      onFault: error => log.error('call of a peer failed', error),
      traffic: get(DaemonMetrics),
    });
  });
}
