/**
 * Settings of an entry daemon that follows published routes.
 *
 * @packageDocumentation
 */
import type {WindowLimit} from '../retries/index.js';

/** Address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What a VM knows of itself and its surroundings. */
export interface EntrySettings {
  readonly vmId: string;
  readonly failureDomain: string;
  /** Address of this VM for its peers. */
  readonly host: string;
  /** Where callers connect. */
  readonly caller: ListenAddress;
  /** Where the platform's balancer asks whether the VM is ready. */
  readonly ready: ListenAddress;
  /** Port for messages between VMs, the same on all of them. */
  readonly peerPort: number;
  /** Port for metrics. */
  readonly metricsPort: number;
  /** Addresses of some VMs to start from. */
  readonly seedHosts: readonly string[];
  /** Processor time of the VM in thousandths of a core. */
  readonly capacityMillicores: number;
  /** Bandwidth of the VM's link. */
  readonly linkMbitPerSecond: number;
  /** Time from a request to stop until the process is ended. */
  readonly stopGraceMs: number;
  /** Limit of resends of the whole fleet. */
  readonly resendLimit: WindowLimit;
  /** Probes of one target by the whole fleet, for each second. */
  readonly maxProbesPerSecond: number;
}
