/**
 * Composition root of the entry daemon.
 *
 * @packageDocumentation
 */
import 'reflect-metadata';
import type Logger from 'bunyan';
import {Container} from 'inversify';
import {
  CallerServer,
  maxCallerConnections,
  ProtectionCounts,
  type CallerLimits,
  type CallerProtocol,
  type ProtectionReason,
} from '../caller_http/index.js';
import {Clock, RandomSource, SeededRandom, SystemClock} from '../core/index.js';
import {DeliveryEngine, type RoutedRequest} from '../delivery/index.js';
import {FleetNode, PublishedReplica} from '../fleet/index.js';
import {ColdAllowance, RequestGrants, TargetLimits} from '../limits/index.js';
import {LoadBoard} from '../load/index.js';
import {MemoryBudget, memoryCapacityBytes} from '../memory/index.js';
import {ProbeTokenBucket} from '../probing/index.js';
import {DatagramLink, PublishedServer} from '../peer_datagram/index.js';
import {CrashQuarantine, FingerprintQuarantine} from '../recovery/index.js';
import {RelayCallerProtocol, RelayTargetProtocol} from '../peer_relay/index.js';
import {PublishedSource, PublishedState} from '../registry/index.js';
import {RelayPeers, RelayPolicy, TargetReachability} from '../relay/index.js';
import {TargetClient, type TargetProtocol} from '../target_http/index.js';
import {INITIAL_LIMITS} from './caller_limits.js';
import {DeliveryRunner} from './delivery_runner.js';
import {DrainSharing} from './drain_sharing.js';
import {EntryDaemon} from './entry_daemon.js';
import {EntryMetrics} from './entry_metrics.js';
import {EventLogger} from './event_logger.js';
import {LimitSharing} from './limit_sharing.js';
import {LoadSharing} from './load_sharing.js';
import {ReachabilitySharing} from './reachability_sharing.js';
import {PublishedReader} from './published_reader.js';
import type {EntrySettings} from './settings.js';
import {StatusServer} from './status_server.js';
import {TargetProber} from './target_prober.js';

/**
 * Number of targets at which a request may be lost before the whole fleet
 * refuses it. Three crashes may be coincidence where responses get lost; a
 * fourth target is not put at risk.
 */
const QUARANTINE_TARGET_COUNT = 3;

/**
 * Share of the probe budget for on-demand probes, which a VM sends before it
 * forwards a request. The periodic probes of the domain heads take up to 7 per
 * second of the rest.
 */
const ON_DEMAND_PROBE_SHARE = 0.6;

/** Binding of the client for requests that peers carry. */
const PEER_CLIENT = Symbol('peer client');

/** Binding of the server for requests that peers relay. */
const RELAY_SERVER = Symbol('relay server');

/** Options of {@link composeEntry}, which differ between platforms. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly callerProtocol: CallerProtocol<RoutedRequest>;
  readonly targetProtocol: TargetProtocol;
  readonly source: PublishedSource;
  readonly logger: Logger;
  /** Seed of the process's random number generator. */
  readonly seed: number;
  /** Ends the process; called once when a graceful shutdown is complete. */
  readonly exit: () => void;
}

/**
 * Builds an entry daemon without starting it.
 *
 * @param options - settings, protocols and metadata store
 * @returns the daemon
 */
export function composeEntry(options: EntryOptions): EntryDaemon {
  const container = new Container({defaultScope: 'Singleton'});
  bindPolicies(container, options);
  bindAdapters(container, options);
  bindPeers(container, options);
  container.bind(EntryDaemon).toDynamicValue(
    ({get}) =>
      new EntryDaemon({
        settings: options.settings,
        clock: get(Clock),
        state: get(PublishedState),
        fleet: get(FleetNode),
        replica: get(PublishedReplica),
        board: get(LoadBoard),
        quarantine: get(CrashQuarantine),
        limits: get(TargetLimits),
        grants: get(RequestGrants),
        engine: get(DeliveryEngine),
        runner: get(DeliveryRunner),
        callers: get<CallerServer<RoutedRequest>>(CallerServer),
        budget: get(MemoryBudget),
        protections: get(ProtectionCounts),
        relayServer: get<CallerServer<RoutedRequest>>(RELAY_SERVER),
        targets: get(TargetClient),
        peers: get<TargetClient>(PEER_CLIENT),
        relays: get(RelayPolicy),
        reachability: get(ReachabilitySharing),
        prober: get(TargetProber),
        sharing: get(LoadSharing),
        limitSharing: get(LimitSharing),
        drainSharing: get(DrainSharing),
        reader: get(PublishedReader),
        link: get(DatagramLink),
        published: get(PublishedServer),
        status: get(StatusServer),
        metrics: get(EntryMetrics),
        log: get(EventLogger),
        exit: options.exit,
      }),
  );
  return container.get(EntryDaemon);
}

/** Binds the components without I/O: shared state, policies and engine. */
function bindPolicies(container: Container, options: EntryOptions): void {
  const {settings, seed} = options;
  const {failureDomain} = settings;
  container.bind(Clock).toDynamicValue(() => new SystemClock());
  container.bind(RandomSource).toDynamicValue(() => new SeededRandom({seed}));
  container.bind(PublishedState).toDynamicValue(() => new PublishedState());
  container
    .bind(LoadBoard)
    .toDynamicValue(() => new LoadBoard({failureDomain, vmKey: settings.host}));
  container.bind(TargetLimits).toDynamicValue(() => new TargetLimits());
  container
    .bind(RequestGrants)
    .toDynamicValue(({get}) => new RequestGrants(get(TargetLimits)));
  container.bind(CrashQuarantine).toDynamicValue(
    () =>
      new FingerprintQuarantine({
        quarantineTargetCount: QUARANTINE_TARGET_COUNT,
      }),
  );
  container.bind(FleetNode).toDynamicValue(
    ({get}) =>
      new FleetNode({
        identity: {
          vmId: settings.vmId,
          bootId: Math.floor(get(RandomSource).nextFloat() * 2 ** 31),
          host: settings.host,
          failureDomain,
          capacityMillicores: settings.capacityMillicores,
        },
        random: get(RandomSource),
        startMs: get(Clock).nowMs(),
      }),
  );
  container
    .bind(PublishedReplica)
    .toDynamicValue(
      ({get}) => new PublishedReplica(get(PublishedState), get(FleetNode)),
    );
  container
    .bind(TargetReachability)
    .toDynamicValue(() => new TargetReachability());
  container.bind(RelayPolicy).toDynamicValue(({get}) => {
    const fleet = get(FleetNode);
    const random = get(RandomSource);
    return new RelayPolicy({
      reachability: get(TargetReachability),
      random,
      peers: new RelayPeers({
        failureDomain,
        random,
        candidates: nowMs => fleet.relayCandidates(nowMs),
      }),
    });
  });
  container.bind(DeliveryEngine).toDynamicValue(({get}) => {
    const fleet = get(FleetNode);
    const probes = new ProbeTokenBucket();
    return new DeliveryEngine({
      board: get(LoadBoard),
      quarantine: get(CrashQuarantine),
      random: get(RandomSource),
      resendLimit: settings.resendLimit,
      targetLimits: get(TargetLimits),
      grants: get(RequestGrants),
      relays: get(RelayPolicy),
      coldAllowance: new ColdAllowance({
        vmKey: settings.host,
        fleetSize: nowMs => fleet.fleetSize(nowMs),
        startMs: get(Clock).nowMs(),
      }),
      fleetSize: nowMs => fleet.fleetSize(nowMs),
      takeProbes: (count, nowMs) => {
        const targetCount = get(PublishedState).targets.size;
        const perSecond = settings.maxProbesPerSecond * ON_DEMAND_PROBE_SHARE;
        const share = targetCount / fleet.fleetSize(nowMs);
        return probes.tryTake(count, perSecond * share, nowMs);
      },
    });
  });
}

/** Binds the adapters for callers, targets and operators. */
function bindAdapters(container: Container, options: EntryOptions): void {
  const {settings, logger} = options;
  container.bind(EventLogger).toDynamicValue(({get}) => {
    const clock = get(Clock);
    return new EventLogger(logger, () => clock.nowMs());
  });
  container.bind(EntryMetrics).toDynamicValue(() => new EntryMetrics());
  container.bind(ProtectionCounts).toDynamicValue(() => new ProtectionCounts());
  const onProtected = (reason: ProtectionReason, count: number): void => {
    container.get(EntryMetrics).onProtected(reason, count);
    container.get(ProtectionCounts).add(reason, count);
  };
  container
    .bind(MemoryBudget)
    .toDynamicValue(
      () => new MemoryBudget(memoryCapacityBytes(settings.memoryMb)),
    );
  container
    .bind(TargetClient)
    .toDynamicValue(
      ({get}) =>
        new TargetClient({clock: get(Clock), protocol: options.targetProtocol}),
    );
  container.bind(PEER_CLIENT).toDynamicValue(
    ({get}) =>
      new TargetClient({
        clock: get(Clock),
        protocol: new RelayTargetProtocol(),
      }),
  );
  container.bind(DeliveryRunner).toDynamicValue(
    ({get}) =>
      new DeliveryRunner({
        clock: get(Clock),
        engine: get(DeliveryEngine),
        targets: get(TargetClient),
        peers: get<TargetClient>(PEER_CLIENT),
        relayPort: settings.relayPort,
        board: get(LoadBoard),
        prober: get(TargetProber),
        metrics: get(EntryMetrics),
        log: get(EventLogger),
      }),
  );
  container.bind(CallerServer).toDynamicValue(({get}) => {
    const runner = get(DeliveryRunner);
    const server = new CallerServer<RoutedRequest>({
      clock: get(Clock),
      limits: initialLimitsOf(settings),
      protocol: options.callerProtocol,
      listener: runner,
      budget: get(MemoryBudget),
      onProtected,
    });
    runner.attach(server);
    return server;
  });
  container.bind(RELAY_SERVER).toDynamicValue(({get}) => {
    const runner = get(DeliveryRunner);
    const server = new CallerServer<RoutedRequest>({
      clock: get(Clock),
      limits: initialLimitsOf(settings),
      protocol: new RelayCallerProtocol(options.callerProtocol),
      listener: runner,
      budget: get(MemoryBudget),
      onProtected,
      requestIdPrefix: 'p',
    });
    runner.attach(server);
    return server;
  });
  container.bind(TargetProber).toDynamicValue(({get}) => {
    return new TargetProber({
      clock: get(Clock),
      targets: get(TargetClient),
      board: get(LoadBoard),
      reachability: get(TargetReachability),
      // Resolved at each call, because the daemon depends on the prober.
      routes: () => container.get(EntryDaemon).routes,
    });
  });
  container.bind(StatusServer).toDynamicValue(
    ({get}) =>
      new StatusServer({
        ready: settings.ready,
        metricsPort: settings.metricsPort,
        metrics: get(EntryMetrics),
        isReady: () => container.get(EntryDaemon).isReady,
      }),
  );
}

function initialLimitsOf({maxDescriptors}: EntrySettings): CallerLimits {
  const maxConnections = maxCallerConnections(maxDescriptors);
  return {...INITIAL_LIMITS, maxConnections};
}

/** Binds the adapters for peers and the metadata store. */
function bindPeers(container: Container, options: EntryOptions): void {
  const {settings} = options;
  const {host, failureDomain, maxProbesPerSecond, linkMbitPerSecond} = settings;
  container.bind(LoadSharing).toDynamicValue(
    ({get}) =>
      new LoadSharing({
        host,
        failureDomain,
        fleet: get(FleetNode),
        board: get(LoadBoard),
        quarantine: get(CrashQuarantine),
        reachability: get(TargetReachability),
        maxProbesPerSecond,
        linkMbitPerSecond,
      }),
  );
  container.bind(ReachabilitySharing).toDynamicValue(
    ({get}) =>
      new ReachabilitySharing({
        reachability: get(TargetReachability),
        board: get(LoadBoard),
        fleet: get(FleetNode),
      }),
  );
  container
    .bind(DrainSharing)
    .toDynamicValue(
      ({get}) =>
        new DrainSharing({fleet: get(FleetNode), board: get(LoadBoard)}),
    );
  container.bind(LimitSharing).toDynamicValue(({get}) => {
    const sharing = get(LoadSharing);
    return new LimitSharing({
      host,
      failureDomain,
      fleet: get(FleetNode),
      board: get(LoadBoard),
      limits: get(TargetLimits),
      grants: get(RequestGrants),
      actsAsHead: nowMs => sharing.actsAsHead(nowMs),
    });
  });
  container.bind(PublishedReader).toDynamicValue(({get}) => {
    const state = get(PublishedState);
    const fleet = get(FleetNode);
    const daemon = (): EntryDaemon => container.get(EntryDaemon);
    return new PublishedReader({
      source: options.source,
      clock: get(Clock),
      random: get(RandomSource),
      position: () => state.position,
      role: () => ({
        isAssigned: fleet.isReader,
        fleetSize: fleet.fleetSize(get(Clock).nowMs()),
      }),
      listener: {
        onSnapshot: snapshot => daemon().onSnapshot(snapshot),
        onDelta: delta => daemon().onDelta(delta),
        onConfirmed: confirmedMs => daemon().onConfirmed(confirmedMs),
        onReadStatusChanged: (isFailing, error) =>
          daemon().onReadStatusChanged(isFailing, error),
      },
    });
  });
  container.bind(PublishedServer).toDynamicValue(({get}) => {
    const fleet = get(FleetNode);
    const clock = get(Clock);
    return new PublishedServer(
      get(PublishedState),
      () => fleet.position(clock.nowMs()),
      clock,
    );
  });
  container.bind(DatagramLink).toDynamicValue(({get}) => {
    const log = get(EventLogger);
    return new DatagramLink({
      host,
      port: settings.peerPort,
      listener: {
        onMessage: message => container.get(EntryDaemon).onMessage(message),
        onFault: reason => log.warn('fleet', 'datagram failed', {reason}),
      },
    });
  });
}
