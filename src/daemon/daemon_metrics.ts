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
  private readonly requests = this.tally(
    'requests_total',
    'Requests of callers that were read as a whole, by service',
    ['service'],
  );
  private readonly outcomes = this.tally(
    'outcomes_total',
    'Answers to callers, by verdict and reason; answered: response of a target',
    ['verdict', 'reason'],
  );
  private readonly signals = this.tally(
    'attempt_signals_total',
    'Steps of attempts at targets, by kind of step',
    ['signal'],
  );
  private readonly probes = this.tally(
    'probes_total',
    'Probes sent to targets, by service',
    ['service'],
  );
  private readonly engineEvents = this.tally(
    'events_total',
    'Events of the time line, by part and name',
    ['part', 'name'],
  );
  private readonly peerBytes = this.tally(
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
    this.requests.add(label);
  }

  /** Counts an answer. */
  onOutcome(outcome: Outcome): void {
    if (outcome.type === 'response') {
      this.outcomes.add('ran', 'answered');
    } else {
      this.outcomes.add(outcome.verdict, outcome.reason);
    }
  }

  /** Counts a step of an attempt. */
  onSignal(signal: string): void {
    this.signals.add(signal);
  }

  /** Counts a probe. */
  onProbe(service: string): void {
    this.probes.add(service);
  }

  /** Counts a message to or from a peer. */
  onMessage(direction: string, call: string, sizeBytes: number): void {
    this.peerBytes.add(direction, call, sizeBytes);
  }

  /** Counts an event. */
  onEvent(part: string, name: string): void {
    this.engineEvents.add(part, name);
  }

  private tally(
    name: string,
    help: string,
    labelNames: readonly string[],
  ): LabelledTally {
    const tally = new LabelledTally();
    new Counter({
      name: `sycamorepitch_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [first, second, count] of tally.entries()) {
          const values = second === undefined ? [first] : [first, second];
          this.labels(...values).inc(count);
        }
      },
    });
    return tally;
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

/**
 * Counts by one or two label values. prom-client looks its counters up by a
 * text built from all labels, which is too slow for each step of a request; so
 * its counters are filled when the figures are asked for.
 */
class LabelledTally {
  private readonly counts = new Map<string, Map<string | undefined, number>>();

  /** Adds to the count of the label values. */
  add(first: string, second?: string, amount = 1): void {
    let row = this.counts.get(first);
    if (row === undefined) {
      row = new Map();
      this.counts.set(first, row);
    }
    row.set(second, (row.get(second) ?? 0) + amount);
  }

  /** Lists label values and counts. */
  *entries(): Generator<readonly [string, string | undefined, number]> {
    for (const [first, row] of this.counts) {
      for (const [second, count] of row) {
        yield [first, second, count];
      }
    }
  }
}
