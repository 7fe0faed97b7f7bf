/**
 * Prometheus metrics of the daemon.
 *
 * @packageDocumentation
 */
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import type {RequestOutcome} from '../engine/index.js';
import type {PeerTraffic} from '../peer_grpc/index.js';

/** Reads the current gauge values when metrics are scraped. */
export interface MetricSources {
  readonly inFlight: () => number;
  readonly targetConnections: () => number;
  readonly members: () => number;
  readonly claimRecords: () => number;
  readonly cutOffSeconds: () => number;
}

/** Counters and gauges of one daemon. */
export class DaemonMetrics implements PeerTraffic {
  readonly registry = new Registry();
  private readonly requests = this.createCounter(
    'requests_total',
    'Requests of callers that were read as a whole, by service',
    ['service'],
  );
  private readonly relays = this.createCounter(
    'relays_total',
    'Requests relayed by a VM that reaches no target, by direction',
    ['direction'],
  );
  private readonly outcomes = this.createCounter(
    'outcomes_total',
    'Answers to callers, by verdict and reason; answered: response of a target',
    ['verdict', 'reason'],
  );
  private readonly signals = this.createCounter(
    'attempt_signals_total',
    'Steps of attempts at targets, by kind of step',
    ['signal'],
  );
  private readonly probes = this.createCounter(
    'probes_total',
    'Probes sent to targets, by service',
    ['service'],
  );
  private readonly events = this.createCounter(
    'events_total',
    'Events of the time line, by part and name',
    ['part', 'name'],
  );
  private readonly peerBytes = this.createCounter(
    'peer_message_bytes_total',
    'Bytes of gRPC messages between VMs, without HTTP/2 and TCP',
    ['direction', 'call'],
  );
  private readonly protections = this.createCounter(
    'protections_total',
    'Refusals and closes that protect the process from callers, by reason',
    ['reason'],
  );
  private readonly knownServices = new Set<string>();

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }

  /** Counts refusals or closes that protect the process. */
  onProtected(reason: string, count: number): void {
    this.protections.add(reason, undefined, count);
  }

  /** Registers gauges that read their values from `sources`. */
  registerGauges(sources: MetricSources): void {
    this.registerGauge(
      'in_flight',
      'Requests that are waiting or in flight (count)',
      sources.inFlight,
    );
    this.registerGauge(
      'target_connections',
      'Open connections to targets (count)',
      sources.targetConnections,
    );
    this.registerGauge(
      'members',
      'VMs in the table of this VM, dead ones included (count)',
      sources.members,
    );
    this.registerGauge(
      'cut_off_seconds',
      'Time for which this VM has reached no target; 0 while it does',
      sources.cutOffSeconds,
    );
    this.registerGauge(
      'claim_records',
      'Records of idempotency keys kept as home VM (count)',
      sources.claimRecords,
    );
  }

  /** Sets the services that get their own label value. */
  setServices(names: Iterable<string>): void {
    this.knownServices.clear();
    for (const name of names) {
      this.knownServices.add(name);
    }
  }

  /** Counts a request of a caller. */
  onRequest(service: string): void {
    // Callers choose the name, so unknown names share one label value.
    const label = this.knownServices.has(service) ? service : 'unknown';
    this.requests.add(label);
  }

  /** Counts an answer to a caller. */
  onOutcome(outcome: RequestOutcome): void {
    if (outcome.type === 'response') {
      this.outcomes.add('ran', 'answered');
    } else {
      this.outcomes.add(outcome.verdict, outcome.reason);
    }
  }

  /** Counts a signal of an attempt at a target. */
  onSignal(signal: string): void {
    this.signals.add(signal);
  }

  /** Counts a request that a peer relays to this VM, or this VM to a peer. */
  onRelay(direction: 'from-peer' | 'to-peer'): void {
    this.relays.add(direction);
  }

  /** Counts a probe of a target. */
  onProbe(service: string): void {
    this.probes.add(service);
  }

  /** Counts the bytes of a message to or from a peer. */
  onMessage(direction: string, call: string, sizeBytes: number): void {
    this.peerBytes.add(direction, call, sizeBytes);
  }

  /** Counts an event of the timeline. */
  onEvent(part: string, name: string): void {
    this.events.add(part, name);
  }

  private createCounter(
    name: string,
    help: string,
    labelNames: readonly string[],
  ): LabelledCounts {
    const counts = new LabelledCounts();
    new Counter({
      name: `sycamorepitch_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [first, second, count] of counts.entries()) {
          const values = second === undefined ? [first] : [first, second];
          this.labels(...values).inc(count);
        }
      },
    });
    return counts;
  }

  private registerGauge(name: string, help: string, read: () => number): void {
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
 * Counts by one or two label values. prom-client finds a counter by a string
 * built from all labels, which is too slow for each step of a request. Its
 * counters are therefore filled only when metrics are scraped.
 */
class LabelledCounts {
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

  /** Yields each combination of label values with its count. */
  *entries(): Generator<readonly [string, string | undefined, number]> {
    for (const [first, row] of this.counts) {
      for (const [second, count] of row) {
        yield [first, second, count];
      }
    }
  }
}
