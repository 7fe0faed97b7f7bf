/**
 * Composition root: the only place that knows which class fills which part.
 *
 * @packageDocumentation
 */
import {randomInt, randomUUID} from 'node:crypto';
import type Logger from 'bunyan';
import {Container, type ServiceIdentifier} from 'inversify';
import {CallerServer, DEFAULT_CALLER_LIMITS} from '../caller_http/index.js';
import {Clock, RandomSource, SeededRandom, SystemClock} from '../core/index.js';
import {RequestEngine} from '../engine/index.js';
import {GossipMembership, Membership, ownerIdOf} from '../membership/index.js';
import {OperatorServer} from '../operator_http/index.js';
import {PlatformReader} from '../platform_http/index.js';
import {createConfigStore, createVmListStore} from '../preset/index.js';
import {BudgetedProbeScheduler} from '../probing/index.js';
import {
  ClaimBook,
  CrashQuarantine,
  FingerprintQuarantine,
  HomeVm,
  KeyedClaimBook,
} from '../recovery/index.js';
import {ServiceTargetPool} from '../routing/index.js';
import type {DaemonSettings} from '../settings/index.js';
import {TargetClient} from '../target_http/index.js';
import {ClaimRouter} from './claim_router.js';
import {ComponentLog} from './component_log.js';
import {Daemon} from './daemon.js';
import {DaemonMetrics} from './daemon_metrics.js';
import {DocumentExchange} from './document_exchange.js';
import {EffectRunner} from './effect_runner.js';
import {EventLog} from './event_log.js';
import {LoneTransport} from './lone_transport.js';
import {MemoryEventLog} from './memory_event_log.js';
import {PeerTransport} from './peer_transport.js';

/** What a daemon is composed from. */
export interface ComposeOptions {
  readonly settings: DaemonSettings;
  readonly logger: Logger;
}

const CONFIG_STORE: ServiceIdentifier<ReturnType<typeof createConfigStore>> =
  Symbol('ConfigStore');
const VM_LIST_STORE: ServiceIdentifier<ReturnType<typeof createVmListStore>> =
  Symbol('VmListStore');

/** Seeds are 31-bit integers. */
const SEED_BOUND = 2 ** 31 - 1;

/**
 * Builds a daemon that is not started yet.
 *
 * @param options - settings and log
 * @returns the daemon
 * @throws an error of the parts, for example of the peer port
 */
export async function composeDaemon(options: ComposeOptions): Promise<Daemon> {
  const {settings} = options;
  const container = new Container({defaultScope: 'Singleton'});
  const seed = settings.randomSeed ?? randomInt(SEED_BOUND);
  bindBase(container, settings, seed);
  bindDecisions(container, settings);
  bindAdapters(container, options);
  return container.getAsync(Daemon);
}

function bindBase(
  container: Container,
  settings: DaemonSettings,
  seed: number,
): void {
  container.bind(Clock).toConstantValue(new SystemClock());
  container.bind(RandomSource).toConstantValue(new SeededRandom({seed}));
  container.bind(DaemonMetrics).toConstantValue(new DaemonMetrics());
  container.bind(EventLog).toConstantValue(new MemoryEventLog(settings.vmId));
  container.bind(CONFIG_STORE).toConstantValue(createConfigStore());
  container.bind(VM_LIST_STORE).toConstantValue(createVmListStore());
}

function bindDecisions(container: Container, settings: DaemonSettings): void {
  const {vmId, failureDomain, peer} = settings;
  container.bind(Membership).toDynamicValue(
    ({get}) =>
      new GossipMembership({
        self: {vmId, bootId: randomUUID(), host: peer.host, port: peer.port},
        startMs: get(Clock).nowMs(),
      }),
  );
  container
    .bind(ClaimBook)
    .toDynamicValue(
      ({get}) => new KeyedClaimBook({startMs: get(Clock).nowMs()}),
    );
  container
    .bind(HomeVm)
    .toDynamicValue(
      ({get}) =>
        new HomeVm({membership: get(Membership), book: get(ClaimBook)}),
    );
  container
    .bind(CrashQuarantine)
    .toDynamicValue(() => new FingerprintQuarantine());
  container.bind(RequestEngine).toDynamicValue(
    ({get}) =>
      new RequestEngine({
        vmId,
        incarnationId: ownerIdOf(get(Membership).self),
        failureDomain,
        random: get(RandomSource),
        createPool: poolOptions => new ServiceTargetPool(poolOptions),
        createScheduler: schedulerOptions =>
          new BudgetedProbeScheduler(schedulerOptions),
        quarantine: get(CrashQuarantine),
      }),
  );
}

function bindAdapters(container: Container, options: ComposeOptions): void {
  const {settings, logger} = options;
  const logOf = (name: string): ComponentLog => new ComponentLog(logger, name);
  container.bind(PeerTransport).toConstantValue(new LoneTransport());
  container
    .bind(TargetClient)
    .toDynamicValue(({get}) => new TargetClient({clock: get(Clock)}));
  container.bind(ClaimRouter).toDynamicValue(
    ({get}) =>
      new ClaimRouter({
        clock: get(Clock),
        membership: get(Membership),
        home: get(HomeVm),
        transport: get(PeerTransport),
        log: logOf('claims'),
      }),
  );
  container.bind(DocumentExchange).toDynamicValue(
    ({get}) =>
      new DocumentExchange({
        clock: get(Clock),
        membership: get(Membership),
        transport: get(PeerTransport),
        config: get(CONFIG_STORE),
        vms: get(VM_LIST_STORE),
        events: get(EventLog),
        log: logOf('documents'),
      }),
  );
  const platformLog = logOf('platform');
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
          platformLog.warn(`${name} not read, ${error.type}: ${error.reason}`),
      },
    });
  });
  container.bind(EffectRunner).toDynamicValue(({get}) => {
    const membership = get(Membership);
    return new EffectRunner({
      clock: get(Clock),
      engine: get(RequestEngine),
      targets: get(TargetClient),
      claims: get(ClaimRouter),
      events: get(EventLog),
      metrics: get(DaemonMetrics),
      log: logOf('engine'),
      publish: (key, value) => membership.publish(key, value),
    });
  });
  container.bind(CallerServer).toDynamicValue(({get}) => {
    const runner = get(EffectRunner);
    const {caller} = settings;
    const server = new CallerServer({
      clock: get(Clock),
      limits: {
        ...DEFAULT_CALLER_LIMITS,
        maxHeadBytes: caller.maxHeaderBytes,
        maxBodyBytes: caller.maxBodyBytes,
        requestTimeoutMs: caller.requestTimeoutMs,
        headTimeoutMs: Math.min(
          caller.requestTimeoutMs,
          DEFAULT_CALLER_LIMITS.headTimeoutMs,
        ),
        idleTimeoutMs: caller.idleTimeoutMs,
      },
      listener: runner,
    });
    runner.attach(server);
    return server;
  });
  container.bind(Daemon).toDynamicValue(
    ({get}) =>
      new Daemon({
        settings,
        clock: get(Clock),
        random: get(RandomSource),
        engine: get(RequestEngine),
        membership: get(Membership),
        home: get(HomeVm),
        book: get(ClaimBook),
        transport: get(PeerTransport),
        configStore: get(CONFIG_STORE),
        vmListStore: get(VM_LIST_STORE),
        documents: get(DocumentExchange),
        reader: get(PlatformReader),
        claims: get(ClaimRouter),
        runner: get(EffectRunner),
        targets: get(TargetClient),
        callers: get(CallerServer),
        createOperator: view => new OperatorServer(view),
        metrics: get(DaemonMetrics),
        events: get(EventLog),
        log: logOf('daemon'),
      }),
  );
}
