/**
 * Answers of a VM's operator port, shared by the daemon and the command line.
 *
 * @packageDocumentation
 */
import type {TimelineEvent} from '../timeline/index.js';
import type {DocumentVersion} from './types.js';

/** A version that a VM refused. */
export interface RefusedVersion extends DocumentVersion {
  readonly reason: string;
}

/** One document as seen by one VM; null before the first adoption. */
export interface DocumentStatus {
  readonly revision: number | null;
  readonly platformVersion: number | null;
  readonly sha256: string | null;
  /** Time since this VM adopted the version, in milliseconds. */
  readonly adoptedAgeMs: number | null;
  /** Greatest refused versions, greatest first. */
  readonly refused: readonly RefusedVersion[];
  /** Versions that lost against another one with the same revision. */
  readonly superseded: readonly DocumentVersion[];
}

/** The operators' document as seen by one VM. */
export interface ConfigStatus extends DocumentStatus {
  /** Preset in force; null before the first adoption. */
  readonly inForce: string | null;
}

/** A member as seen by one VM. */
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
  /** Figures of the request engine; shape as the daemon defines it. */
  readonly engine: Readonly<Record<string, unknown>>;
}

/** Answer of `GET /timeline`. */
export interface VmTimeline {
  readonly vmId: string;
  readonly events: readonly TimelineEvent[];
}
