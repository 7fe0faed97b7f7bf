/**
 * Figures for the operators' monitoring.
 *
 * @packageDocumentation
 */
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import type {Outcome} from '../engine/index.js';
import type {PeerTraffic} from '../peer_grpc/index.js';

/** Live values that are read when the figures are asked for. */
export interface MetricSources {
  readonly inFlight: () => number;
  readonly targetConnections: () => number;
  readonly members: () => number;
  readonly claimRecords: () => number;
}

/** Counters and gauges of one daemon. */
export class DaemonMetrics implements PeerTraffic {
  readonly registry = new Registry();
  private readonly requests = this.counter(
    'requests_total',
    'Requests of callers that were read as a whole, by service',
    ['service'],
  );
  private readonly outcomes = this.counter(
    'outcomes_total',
    'Answers to callers, by verdict and reason; answered: response of a target',
    ['verdict', 'reason'],
  );
  private readonly signals = this.counter(
    'attempt_signals_total',
    'Steps of attempts at targets, by kind of step',
    ['signal'],
  );
  private readonly probes = this.counter(
    'probes_total',
    'Probes sent to targets, by service',
    ['service'],
  );
  private readonly engineEvents = this.counter(
    'events_total',
    'Events of the time line, by part and name',
    ['part', 'name'],
  );
  private readonly peerBytes = this.counter(
    'peer_message_bytes_total',
    'Bytes of gRPC messages between VMs, without HTTP/2 and TCP',
    ['direction', 'call'],
  );
  private readonly knownServices = new Set<string>();

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }

  /** Registers gauges over live values. */
  observe(sources: MetricSources): void {
    this.gauge(
      'in_flight',
      'Requests that are waiting or in flight (count)',
      sources.inFlight,
    );
    this.gauge(
      'target_connections',
      'Open connections to targets (count)',
      sources.targetConnections,
    );
    this.gauge(
      'members',
      'VMs in the table of this VM, dead ones included (count)',
      sources.members,
    );
    this.gauge(
      'claim_records',
      'Records of idempotency keys kept as home VM (count)',
      sources.claimRecords,
    );
  }

  /** Sets the services that get a label of their own. */
  setServices(names: Iterable<string>): void {
    this.knownServices.clear();
    for (const name of names) {
      this.knownServices.add(name);
    }
  }

  /** Counts a request. */
  onRequest(service: string): void {
    // Callers choose the name, so unknown ones share a label.
    const label = this.knownServices.has(service) ? service : 'unknown';
    this.requests.inc({service: label});
  }

  /** Counts an answer. */
  onOutcome(outcome: Outcome): void {
    this.outcomes.inc(
      outcome.type === 'response'
        ? {verdict: 'ran', reason: 'answered'}
        : {verdict: outcome.verdict, reason: outcome.reason},
    );
  }

  /** Counts a step of an attempt. */
  onSignal(signal: string): void {
    this.signals.inc({signal});
  }

  /** Counts a probe. */
  onProbe(service: string): void {
    this.probes.inc({service});
  }

  /** Counts a message to or from a peer. */
  onMessage(direction: string, call: string, sizeBytes: number): void {
    this.peerBytes.inc({direction, call}, sizeBytes);
  }

  /** Counts an event. */
  onEvent(part: string, name: string): void {
    this.engineEvents.inc({part, name});
  }

  private counter<L extends string>(
    name: string,
    help: string,
    labelNames: readonly L[],
  ): Counter<L> {
    return new Counter({
      name: `sycamorepitch_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
    });
  }

  private gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `sycamorepitch_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
