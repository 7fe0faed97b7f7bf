/**
 * Prometheus metrics of an entry daemon.
 *
 * @packageDocumentation
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {AvoidedTarget} from '../load/index.js';
import type {Evacuation, HeldTargetCounts} from '../registry/index.js';

/** Bucket bounds of the answer time histogram, in seconds. */
const ANSWER_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4];

/** Reads the current gauge values when metrics are scraped. */
export interface EntryMetricSources {
  readonly openRequests: () => number;
  readonly targetConnections: () => number;
  readonly fleetSize: () => number;
  readonly revision: () => number;
  readonly storeEra: () => number;
  readonly routesVersion: () => number;
  readonly heldTargetCounts: () => HeldTargetCounts;
  readonly cutOffSeconds: () => number;
  readonly avoidedTargets: () => readonly AvoidedTarget[];
  readonly evacuations: () => readonly Evacuation[];
  readonly coldTargets: () => number;
  readonly waitingRequests: () => number;
  readonly heldBytes: () => number;
  readonly maxHeldBytes: () => number;
  readonly confirmationAgeMs: () => number;
  readonly storeCalls: () => number;
  readonly quarantinedRequests: () => number;
}

/** Counters, histograms and gauges of one process. */
export class EntryMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'sycamorepitch_requests_total',
    help: 'Requests of callers',
    registers: [this.registry],
  });
  private readonly relays = new Counter({
    name: 'sycamorepitch_relays_total',
    help: 'Requests relayed by a VM that reaches no target, by direction',
    labelNames: ['direction'],
    registers: [this.registry],
  });
  private readonly protections = new Counter({
    name: 'sycamorepitch_protections_total',
    help: 'Refusals and closes that protect the process, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'sycamorepitch_attempts_total',
    help: 'Attempts at targets',
    registers: [this.registry],
  });
  private readonly attemptEnds = new Counter({
    name: 'sycamorepitch_attempt_ends_total',
    help: 'Ends of attempts by signal',
    labelNames: ['signal'],
    registers: [this.registry],
  });
  private readonly answerTimes = new Histogram({
    name: 'sycamorepitch_answer_seconds',
    help: 'Time from request to answer by outcome',
    labelNames: ['outcome'],
    buckets: ANSWER_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly targetLimits = new Gauge({
    name: 'sycamorepitch_target_limit_per_second',
    help: 'Requests per second that a target takes from all VMs together',
    labelNames: ['target'],
    registers: [this.registry],
  });

  private readonly grantedRates = new Gauge({
    name: 'sycamorepitch_target_granted_per_second',
    help: 'Requests per second that this VM may send to a limited target',
    labelNames: ['target'],
    registers: [this.registry],
  });

  /** Replaces the rates at which this VM may send to limited targets. */
  setGrantedRates(ratesPerSecond: ReadonlyMap<string, number>): void {
    this.grantedRates.reset();
    for (const [target, perSecond] of ratesPerSecond) {
      this.grantedRates.set({target}, perSecond);
    }
  }

  /** Sets the limit that a target names; 0 for none. */
  setTargetLimit(targetId: string, perSecond: number): void {
    if (perSecond > 0) {
      this.targetLimits.set({target: targetId}, perSecond);
    } else {
      this.targetLimits.remove({target: targetId});
    }
  }

  /** Counts a request of a caller. */
  onRequest(): void {
    this.requests.inc();
  }

  /** Counts a request that a peer relays to this VM, or this VM to a peer. */
  onRelay(direction: 'from-peer' | 'to-peer'): void {
    this.relays.inc({direction});
  }

  /** Counts refusals or closes that protect the process. */
  onProtected(reason: string, count: number): void {
    this.protections.inc({reason}, count);
  }

  /** Counts an attempt at a target. */
  onAttempt(): void {
    this.attempts.inc();
  }

  /** Counts the end of an attempt by its signal. */
  onAttemptEnded(signal: string): void {
    this.attemptEnds.inc({signal});
  }

  /** Records the time to an answer, in milliseconds, by its outcome. */
  onAnswered(outcome: string, elapsedMs: number): void {
    this.answerTimes.observe({outcome}, elapsedMs / 1000);
  }

  /** Registers gauges that read their values from `sources`. */
  registerGauges(sources: EntryMetricSources): void {
    this.gauge('open_requests', 'Requests in work', sources.openRequests);
    this.gauge(
      'target_connections',
      'Connections to targets',
      sources.targetConnections,
    );
    this.gauge('fleet_size', 'VMs in the fleet', sources.fleetSize);
    this.gauge('revision', 'Position in the store', sources.revision);
    this.gauge('store_era', 'Era of the store', sources.storeEra);
    this.gauge(
      'routes_version',
      'Version of the routes in force',
      sources.routesVersion,
    );
    this.registerHeldTargets(sources.heldTargetCounts);
    this.gauge(
      'cut_off_seconds',
      'Time for which this VM has reached no target; 0 while it does',
      sources.cutOffSeconds,
    );
    this.registerAvoidedTargets(sources.avoidedTargets);
    this.registerEvacuations(sources.evacuations);
    this.gauge(
      'cold_targets',
      'Cold targets that get no more than their rate from the fleet',
      sources.coldTargets,
    );
    this.gauge(
      'waiting_requests',
      'Requests that wait for room at their service',
      sources.waitingRequests,
    );
    this.gauge(
      'held_bytes',
      'Bytes of bodies and unread answers that this VM holds',
      sources.heldBytes,
    );
    this.gauge(
      'max_held_bytes',
      'Bytes of bodies and unread answers that this VM may hold',
      sources.maxHeldBytes,
    );
    this.gauge('store_calls', 'Calls of the store', sources.storeCalls);
    this.gauge(
      'quarantined_requests',
      'Requests that no target gets, since several were lost with them',
      sources.quarantinedRequests,
    );
    this.gauge(
      'confirmation_age_ms',
      'Age of the last confirmation that nothing newer is published',
      sources.confirmationAgeMs,
    );
  }

  private registerHeldTargets(readCounts: () => HeldTargetCounts): void {
    new Gauge({
      name: 'sycamorepitch_held_targets',
      help: 'Targets whose state differs from what the restored store lists',
      labelNames: ['reason'],
      registers: [this.registry],
      collect() {
        const {missing, draining, departed} = readCounts();
        this.set({reason: 'missing'}, missing);
        this.set({reason: 'draining'}, draining);
        this.set({reason: 'departed'}, departed);
      },
    });
  }

  private registerAvoidedTargets(read: () => readonly AvoidedTarget[]): void {
    new Gauge({
      name: 'sycamorepitch_avoided_target',
      help: 'Targets that this VM avoids, by reason',
      labelNames: ['target', 'reason'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {targetId, reason} of read()) {
          this.set({target: targetId, reason}, 1);
        }
      },
    });
  }

  private registerEvacuations(read: () => readonly Evacuation[]): void {
    new Gauge({
      name: 'sycamorepitch_evacuated_domain',
      help: 'Revision of the order that took a failure domain out of service',
      labelNames: ['failure_domain'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {failureDomain, revision} of read()) {
          this.set({failure_domain: failureDomain}, revision);
        }
      },
    });
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
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
