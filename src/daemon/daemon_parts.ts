/**
 * Components of a daemon.
 *
 * @packageDocumentation
 */
import type {CallerServer} from '../caller_http/index.js';
import type {Clock, RandomSource} from '../core/index.js';
import type {RequestEngine} from '../engine/index.js';
import type {GossipMembership} from '../membership/index.js';
import type {OperatorServer, OperatorView} from '../operator_http/index.js';
import type {PeerServer} from '../peer_grpc/index.js';
import type {PlatformReader} from '../platform_http/index.js';
import type {
  ConfigDocument,
  DocumentStore,
  VmListDocument,
} from '../preset/index.js';
import type {ClaimTable, HomeVm} from '../recovery/index.js';
import type {DaemonSettings} from '../settings/index.js';
import type {TargetClient} from '../target_http/index.js';
import type {ClaimRouter} from './claim_router.js';
import type {ComponentLog} from './component_log.js';
import type {DaemonMetrics} from './daemon_metrics.js';
import type {DocumentExchange} from './document_exchange.js';
import type {EffectRunner} from './effect_runner.js';
import type {EventLog} from './event_log.js';
import type {PauseGuard} from './pause_guard.js';
import type {PeerTransport} from './peer_transport.js';

/** Components that the composition root passes to a daemon. */
export interface DaemonParts {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly engine: RequestEngine;
  readonly membership: GossipMembership;
  readonly home: HomeVm;
  readonly pauses: PauseGuard;
  readonly claimTable: ClaimTable;
  readonly transport: PeerTransport;
  readonly peerServer: PeerServer;
  readonly configStore: DocumentStore<ConfigDocument>;
  readonly vmListStore: DocumentStore<VmListDocument>;
  readonly documents: DocumentExchange;
  readonly reader: PlatformReader;
  readonly claims: ClaimRouter;
  readonly runner: EffectRunner;
  readonly targets: TargetClient;
  readonly callers: CallerServer;
  /** Client for requests that peers carry. */
  readonly peers: TargetClient;
  /** Server for requests of peers; listens only if the settings name it. */
  readonly relayServer: CallerServer;
  readonly createOperator: (view: OperatorView) => OperatorServer;
  readonly metrics: DaemonMetrics;
  readonly events: EventLog;
  readonly log: ComponentLog;
}
