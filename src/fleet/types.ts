/**
 * Members of the fleet of entry VMs and the messages between them.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {LimitDemand, ReporterPeak, RequestGrant} from '../limits/index.js';
import type {PublishedDelta, StorePosition} from '../registry/index.js';

/** Lifecycle state that a VM announces. */
export type MemberState = 'starting' | 'ready' | 'leaving';

/** Identity of a VM; constant during one run of its daemon. */
export interface MemberIdentity {
  readonly vmId: string;
  /** Random for each run of the daemon. */
  readonly bootId: number;
  readonly host: string;
  readonly failureDomain: string;
  /** Processor capacity of the VM, in thousandths of a core. */
  readonly capacityMillicores: number;
}

/** A member of the fleet as recorded by another VM. */
export interface Member extends MemberIdentity {
  readonly state: MemberState;
  /** True while the VM fails to read the store. */
  readonly isReadFailing: boolean;
  /** False while the VM is cut off from all targets. */
  readonly reachesTargets: boolean;
  /** Local instant of the last sign of life. */
  readonly lastHeardMs: InstantMs;
}

/** Member record as sent to another VM. */
export interface ReportedMember extends MemberIdentity {
  readonly state: MemberState;
  readonly isReadFailing: boolean;
  /** False while the VM is cut off from all targets. */
  readonly reachesTargets: boolean;
  /** Time since the last sign of life. */
  readonly ageMs: number;
}

/** Position of a VM in the published history, with its confirmation age. */
export interface KnownPosition extends StorePosition {
  /** Time since the store confirmed that no newer revision exists. */
  readonly ageMs: number;
  /** Digest of routes and targets in force; empty if unknown. */
  readonly digest: string;
}

/** Periodic sign of life with the sender's view of the fleet. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly sender: ReportedMember;
  readonly position: KnownPosition;
  /** Members that may be missing at the receiver. */
  readonly members: readonly ReportedMember[];
  /** Number of members in the sender's failure domain; 0 if unknown. */
  readonly domainSize: number;
  /** Number of members in all failure domains; 0 if unknown. */
  readonly fleetSize: number;
  /** Digest of the requests that the sender quarantines; 0 for none. */
  readonly quarantineDigest: number;
}

/** Published changes, pushed as soon as the sender applies them. */
export interface Changes {
  readonly type: 'changes';
  readonly sender: ReportedMember;
  readonly position: KnownPosition;
  readonly delta: PublishedDelta;
}

/** Load and failures of one target, as reported by a VM to its peers. */
export interface TargetLoadReport {
  readonly targetId: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Service time as a multiple of the usual service time. */
  readonly slowness: number;
  /** Time since the target reported the load; 0 if it never did. */
  readonly ageMs: number;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureShare: number;
  /** False if the last probe could not reach the target. */
  readonly isReachable: boolean;
}

/** Loads of targets, sent by the VM that probes them. */
export interface LoadTable {
  readonly type: 'load';
  readonly sender: ReportedMember;
  readonly reports: readonly TargetLoadReport[];
}

/** Outcomes of one VM's attempts at a target since its previous report. */
export interface OutcomeCount {
  readonly targetId: string;
  readonly answeredCount: number;
  readonly failedCount: number;
}

/** A request that was in flight when a target crashed. */
export interface Implication {
  readonly fingerprint: string;
  readonly targetId: string;
  /** Time until the implication expires, in milliseconds. */
  readonly remainingMs: number;
}

/** Outcome report of a VM, sent to the head of its failure domain. */
export interface OutcomeReport {
  readonly type: 'outcomes';
  readonly sender: ReportedMember;
  readonly outcomes: readonly OutcomeCount[];
  readonly implications: readonly Implication[];
  /** Requests that targets have answered after all. */
  readonly clearedFingerprints: readonly string[];
}

/** Announcement of a target that it drains, as reported by a VM. */
export interface ReportedDrainNotice {
  readonly targetId: string;
  /** Distinguishes starts of the target under its id. */
  readonly startedMs: number;
  /** Time since the target announced it. */
  readonly ageMs: number;
}

/** Drains that targets have announced in their responses. */
export interface DrainNotices {
  readonly type: 'drain-notices';
  readonly sender: ReportedMember;
  readonly notices: readonly ReportedDrainNotice[];
}

/** Limit that a target names, as reported by a VM. */
export interface ReportedLimit {
  readonly targetId: string;
  /** Requests per second of all VMs together; 0 if the limit has ended. */
  readonly perSecond: number;
  /** Time since the target said so. */
  readonly ageMs: number;
}

/** Limits that a VM knows, and its demand for their targets. */
export interface LimitReport {
  readonly type: 'limit-report';
  readonly sender: ReportedMember;
  /** Greatest number of reporting VMs that a head of the domain has told. */
  readonly reporterPeak: ReporterPeak;
  readonly limits: readonly ReportedLimit[];
  readonly demands: readonly LimitDemand[];
}

/** Requests that the receiver may send to limited targets. */
export interface LimitGrants {
  readonly type: 'limit-grants';
  readonly sender: ReportedMember;
  /** Greatest number of VMs that have lately reported to the sender. */
  readonly reporterPeak: ReporterPeak;
  /** Time for which the grants may be used. */
  readonly validMs: number;
  readonly limits: readonly ReportedLimit[];
  readonly grants: readonly RequestGrant[];
}

/** Union of all messages between VMs. */
export type FleetMessage =
  | Heartbeat
  | Changes
  | LoadTable
  | OutcomeReport
  | DrainNotices
  | LimitReport
  | LimitGrants;

/** A message with the hosts to send it to. */
export interface Dispatch {
  readonly hosts: readonly string[];
  readonly message: FleetMessage;
}
