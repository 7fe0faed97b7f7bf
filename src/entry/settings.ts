/**
 * Settings of an entry daemon.
 *
 * @packageDocumentation
 */
import type {WindowLimit} from '../retries/index.js';

/** Address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Identity, addresses and resource limits of an entry VM. */
export interface EntrySettings {
  readonly vmId: string;
  readonly failureDomain: string;
  /** Host address at which peers reach this VM. */
  readonly host: string;
  /** Address of the caller port. */
  readonly caller: ListenAddress;
  /** Address of the readiness check of the platform's load balancer. */
  readonly ready: ListenAddress;
  /** Port for messages between VMs, the same on all VMs. */
  readonly peerPort: number;
  /** Port for requests that peers pass to this VM, the same on all VMs. */
  readonly relayPort: number;
  /** Port of the metrics endpoint. */
  readonly metricsPort: number;
  /** Host addresses of some VMs for the first contact with the fleet. */
  readonly seedHosts: readonly string[];
  /** CPU capacity of the VM in thousandths of a core. */
  readonly capacityMillicores: number;
  /** Memory that the process may use, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  /** Bandwidth of the VM's network link, in megabits per second. */
  readonly linkMbitPerSecond: number;
  /** Time from a stop signal until the process is ended. */
  readonly stopGraceMs: number;
  /** Retry limit of the whole fleet. */
  readonly resendLimit: WindowLimit;
  /** Most probes of one target per second, by the whole fleet. */
  readonly maxProbesPerSecond: number;
}
