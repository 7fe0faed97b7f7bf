/**
 * Counters and histograms of an entry daemon.
 *
 * @packageDocumentation
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Bounds of the histogram of answer times, in seconds. */
const ANSWER_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4];

/** Figures that are read when metrics are fetched. */
export interface EntryFigures {
  readonly openRequests: () => number;
  readonly targetConnections: () => number;
  readonly fleetSize: () => number;
  readonly revision: () => number;
  readonly confirmationAgeMs: () => number;
  readonly storeCalls: () => number;
}

/** Metrics of one process. */
export class EntryMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'sycamorepitch_requests_total',
    help: 'Requests of callers',
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
  private readonly answers = new Histogram({
    name: 'sycamorepitch_answer_seconds',
    help: 'Time from request to answer by outcome',
    labelNames: ['outcome'],
    buckets: ANSWER_BUCKETS_S,
    registers: [this.registry],
  });

  /** Counts a request. */
  onRequest(): void {
    this.requests.inc();
  }

  /** Counts an attempt. */
  onAttempt(): void {
    this.attempts.inc();
  }

  /** Counts the end of an attempt. */
  onAttemptEnded(signal: string): void {
    this.attemptEnds.inc({signal});
  }

  /** Counts an answer. */
  onAnswered(outcome: string, elapsedMs: number): void {
    this.answers.observe({outcome}, elapsedMs / 1000);
  }

  /** Sets where figures of the present state are read. */
  observe(figures: EntryFigures): void {
    this.gauge('open_requests', 'Requests in work', figures.openRequests);
    this.gauge(
      'target_connections',
      'Connections to targets',
      figures.targetConnections,
    );
    this.gauge('fleet_size', 'VMs in the fleet', figures.fleetSize);
    this.gauge('revision', 'Position in the store', figures.revision);
    this.gauge('store_calls', 'Calls of the store', figures.storeCalls);
    this.gauge(
      'confirmation_age_ms',
      'Age of the last confirmation that nothing newer is published',
      figures.confirmationAgeMs,
    );
  }

  /** Renders all metrics as text. */
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
