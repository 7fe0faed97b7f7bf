/**
 * Components of the daemon of an entry VM.
 *
 * @packageDocumentation
 */
import type {CallerServer, ProtectionCounts} from '../caller_http/index.js';
import type {Clock} from '../core/index.js';
import type {DeliveryEngine, RoutedRequest} from '../delivery/index.js';
import type {FleetNode, PublishedReplica} from '../fleet/index.js';
import type {RequestGrants, TargetLimits} from '../limits/index.js';
import type {LoadBoard} from '../load/index.js';
import type {MemoryBudget} from '../memory/index.js';
import type {DatagramLink, PublishedServer} from '../peer_datagram/index.js';
import type {CrashQuarantine} from '../recovery/index.js';
import type {PublishedState} from '../registry/index.js';
import type {RelayPolicy} from '../relay/index.js';
import type {TargetClient} from '../target_http/index.js';
import type {DeliveryRunner} from './delivery_runner.js';
import type {DrainSharing} from './drain_sharing.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {EventLogger} from './event_logger.js';
import type {LimitSharing} from './limit_sharing.js';
import type {LoadSharing} from './load_sharing.js';
import type {PublishedReader} from './published_reader.js';
import type {ReachabilitySharing} from './reachability_sharing.js';
import type {EntrySettings} from './settings.js';
import type {StatusServer} from './status_server.js';
import type {TargetProber} from './target_prober.js';

/** Components of an `EntryDaemon`. */
export interface EntryParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly state: PublishedState;
  readonly fleet: FleetNode;
  readonly replica: PublishedReplica;
  readonly board: LoadBoard;
  readonly quarantine: CrashQuarantine;
  readonly limits: TargetLimits;
  readonly grants: RequestGrants;
  readonly engine: DeliveryEngine;
  readonly runner: DeliveryRunner;
  readonly callers: CallerServer<RoutedRequest>;
  /** Bytes that this VM holds for callers and peers. */
  readonly budget: MemoryBudget;
  readonly protections: ProtectionCounts;
  /** Server for requests that peers relay to this VM. */
  readonly relayServer: CallerServer<RoutedRequest>;
  readonly targets: TargetClient;
  /** Client for requests that peers carry. */
  readonly peers: TargetClient;
  readonly relays: RelayPolicy;
  readonly reachability: ReachabilitySharing;
  readonly prober: TargetProber;
  readonly sharing: LoadSharing;
  readonly limitSharing: LimitSharing;
  readonly drainSharing: DrainSharing;
  readonly reader: PublishedReader;
  readonly link: DatagramLink;
  readonly published: PublishedServer;
  readonly status: StatusServer;
  readonly metrics: EntryMetrics;
  readonly log: EventLogger;
  /** Ends the process; called once when a graceful shutdown is complete. */
  readonly exit: () => void;
}
