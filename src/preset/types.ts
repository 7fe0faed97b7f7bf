/**
 * Types of the two documents that the platform publishes: the presets and the
 * list of VMs.
 *
 * @packageDocumentation
 */

/** Names of the routing policies; all but the first are baselines. */
export type RoutingPolicyName =
  | 'estimated-load'
  | 'random'
  | 'round-robin'
  | 'least-in-flight'
  | 'two-choices';

/** Configuration of one kind of requests. */
export interface KindPreset {
  readonly name: string;
  /** HTTP method in upper case. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly idempotent: boolean;
  /** True for kinds that may use any target and are first in the queue. */
  readonly urgent: boolean;
  /** True for kinds that run many times longer than the rest. */
  readonly long: boolean;
  /** Configured worth of one answer; higher is served first. */
  readonly worth: number;
  /** Timeout if the caller sets none, in milliseconds. */
  readonly timeoutMs: number;
}

/** Configuration of one service. */
export interface ServicePreset {
  readonly name: string;
  readonly slotsPerTarget: number;
  readonly connectionsPerTarget: number;
  /** Probes per second that all VMs together send to the service at most. */
  readonly probeBudgetPerSecond: number;
  readonly routing: RoutingPolicyName;
  /** Share of the targets that may run long kinds, from 0 to 1. */
  readonly longLaneShare: number;
  /** Maximum share of the targets that may be ejected, from 0 to 1. */
  readonly maxEjectedShare: number;
  /** Retries as a share of first attempts, from 0 to 1. */
  readonly retryBudgetShare: number;
  /** Maximum number of queued requests in one VM. */
  readonly queueCapacity: number;
  /** Time over which a new target's share of requests ramps up. */
  readonly slowStartMs: number;
  /** False disables admission control by deadline (for measurements). */
  readonly admission: boolean;
  readonly kinds: readonly KindPreset[];
}

/** A preset: the configuration of all services. */
export interface Preset {
  readonly name: string;
  /** Upper bound of entry VMs alive at once, replacements included. */
  readonly vmCeiling: number;
  readonly services: ReadonlyMap<string, ServicePreset>;
}

/** The operators' document: all presets and the name of the one in force. */
export interface ConfigDocument {
  readonly revision: number;
  readonly inForce: string;
  readonly presets: ReadonlyMap<string, Preset>;
}

/** A VM in the platform's list. */
export interface ListedVm {
  readonly id: string;
  readonly role: 'entry' | 'target';
  /** Name of the service; undefined for entry VMs. */
  readonly service: string | undefined;
  /** IP address. */
  readonly host: string;
  /** Target: HTTP port. Entry VM: peer port. */
  readonly port: number;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of VMs. */
export interface VmListDocument {
  readonly vms: readonly ListedVm[];
}

/** Names of the documents. */
export type DocumentName = 'config' | 'vms';

/** Position of a document in the total order of its versions. */
export interface DocumentVersion {
  /** Number that operators increment with each publication; 0 for `vms`. */
  readonly revision: number;
  /** Version that the platform assigned; counted anew in each era. */
  readonly platformVersion: number;
  /**
   * Number of times that the platform was restored from an older copy; 0 if it
   * does not tell.
   */
  readonly platformEra: number;
  /** Hash of the body, 64 hexadecimal digits. */
  readonly sha256: string;
}

/** A document as transferred between the platform and VMs. */
export interface PublishedDocument {
  readonly name: DocumentName;
  readonly version: DocumentVersion;
  /** JSON text with comments. */
  readonly body: string;
}
