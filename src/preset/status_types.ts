/**
 * Answers of a VM's operator port, shared by the daemon and the CLI.
 *
 * @packageDocumentation
 */
import type {TimelineEvent} from '../timeline/index.js';
import type {DocumentVersion} from './types.js';

/** A version refused by a VM. */
export interface RefusedVersion extends DocumentVersion {
  readonly reason: string;
}

/** Status of a document in one VM; null fields before the first adoption. */
export interface DocumentStatus {
  readonly revision: number | null;
  readonly platformVersion: number | null;
  readonly platformEra: number | null;
  readonly sha256: string | null;
  /** Time since this VM adopted the version, in milliseconds. */
  readonly adoptedAgeMs: number | null;
  /** Greatest refused versions, greatest first. */
  readonly refused: readonly RefusedVersion[];
  /** Versions superseded by another one with the same revision. */
  readonly superseded: readonly DocumentVersion[];
}

/** Status of the operators' document in one VM. */
export interface ConfigStatus extends DocumentStatus {
  /** Preset in force; null before the first adoption. */
  readonly inForce: string | null;
}

/** Status of a member in the view of one VM. */
export interface MemberStatus {
  readonly vmId: string;
  readonly bootId: string;
  readonly state: string;
  /** Time since the last sign of life, in milliseconds. */
  readonly lastHeardAgeMs: number;
}

/** Answer of `GET /status`. */
export interface VmStatus {
  /** Version of the daemon, such as `0.1.0`. */
  readonly version: string;
  readonly vmId: string;
  readonly bootId: string;
  readonly failureDomain: string;
  /** Lifecycle state of the VM, such as `ready`. */
  readonly state: string;
  readonly ready: boolean;
  readonly documents: {
    readonly config: ConfigStatus;
    readonly vms: DocumentStatus;
  };
  readonly members: readonly MemberStatus[];
  /** Figures of the request engine; the daemon defines their shape. */
  readonly engine: Readonly<Record<string, unknown>>;
}

/** Answer of `GET /timeline`. */
export interface VmTimeline {
  readonly vmId: string;
  readonly events: readonly TimelineEvent[];
}
