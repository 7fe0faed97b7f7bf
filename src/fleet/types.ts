/**
 * Members of the fleet of entry VMs and the messages between them.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {PublishedDelta, Revision} from '../registry/index.js';

/** What a VM says of its own readiness. */
export type MemberState = 'starting' | 'ready' | 'leaving';

/** Who a VM is; does not change during one run of its daemon. */
export interface MemberIdentity {
  readonly vmId: string;
  /** Random for each run of the daemon. */
  readonly bootId: number;
  readonly host: string;
  readonly failureDomain: string;
  /** Processor time that the VM has, in thousandths of a core. */
  readonly capacityMillicores: number;
}

/** A VM as another one knows it. */
export interface Member extends MemberIdentity {
  readonly state: MemberState;
  /** True while the VM cannot read what is published. */
  readonly isReadFailing: boolean;
  /** Instant of this VM's clock at which the member was last known alive. */
  readonly heardMs: InstantMs;
}

/** A member as one VM reports it to another. */
export interface ReportedMember extends MemberIdentity {
  readonly state: MemberState;
  readonly isReadFailing: boolean;
  /** Time since the member was last known alive. */
  readonly ageMs: number;
}

/** How far a VM knows what is published. */
export interface KnownPosition {
  readonly revision: Revision;
  /** Time since the store confirmed that nothing newer exists. */
  readonly ageMs: number;
}

/** Regular message: the sender is alive, and what it knows of the fleet. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly sender: ReportedMember;
  readonly position: KnownPosition;
  /** Members that the receiver may not know. */
  readonly members: readonly ReportedMember[];
  /** Members in the sender's failure domain; 0 if it does not know. */
  readonly domainSize: number;
  /** Members of all failure domains; 0 if the sender does not know. */
  readonly fleetSize: number;
}

/** Changes, pushed as they become known. */
export interface Changes {
  readonly type: 'changes';
  readonly sender: ReportedMember;
  readonly position: KnownPosition;
  readonly delta: PublishedDelta;
}

/** Load of one target as a VM observed it. */
export interface TargetObservation {
  readonly targetId: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes, as a multiple of the usual time. */
  readonly slowness: number;
  /** Time since the target stated the load; undefined if it never did. */
  readonly ageMs: number;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureShare: number;
  /** False if the last probe could not reach the target. */
  readonly isReachable: boolean;
}

/** Loads of targets, from the VM that probes them. */
export interface LoadTable {
  readonly type: 'load';
  readonly sender: ReportedMember;
  readonly observations: readonly TargetObservation[];
}

/** Outcomes of one VM's attempts at a target since its last report. */
export interface OutcomeCount {
  readonly targetId: string;
  readonly answeredCount: number;
  readonly failedCount: number;
}

/** A request that was in flight when a target crashed. */
export interface Implication {
  readonly fingerprint: string;
  readonly targetId: string;
}

/** Outcomes of a VM, sent to the head of its failure domain. */
export interface OutcomeReport {
  readonly type: 'outcomes';
  readonly sender: ReportedMember;
  readonly outcomes: readonly OutcomeCount[];
  readonly implications: readonly Implication[];
}

/** Any message between VMs. */
export type FleetMessage = Heartbeat | Changes | LoadTable | OutcomeReport;

/** A message and where it goes. */
export interface Dispatch {
  readonly hosts: readonly string[];
  readonly message: FleetMessage;
}
