/**
 * Results of an open-loop run.
 *
 * @packageDocumentation
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Histogram values are in microseconds. */
const MICROSECONDS_PER_MS = 1_000;

/** Result of a request after all its copies. */
export type FinalResult =
  'answered' | 'refused' | 'uncertain' | 'already-ran' | 'failed' | 'wrong';

/** Result counts and latencies of one request kind. */
export class KindReport {
  readonly counts: Record<FinalResult, number> = {
    answered: 0,
    refused: 0,
    uncertain: 0,
    'already-ran': 0,
    failed: 0,
    wrong: 0,
  };
  /** Requests that ended after their timeout. */
  lateCount = 0;
  /** Copies sent after the first result of a request. */
  resendCount = 0;
  /** Copies that got no answer, other than by a refused connection. */
  noAnswerCount = 0;
  private readonly latency: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });

  /** @param worth - worth of one answered request */
  constructor(readonly worth: number) {}

  /**
   * Records a finished request; latency is measured from its planned arrival.
   */
  record(result: FinalResult, latencyMs: number, isLate: boolean): void {
    this.counts[result] += 1;
    if (isLate) {
      this.lateCount += 1;
    }
    if (result === 'answered') {
      const latencyUs = Math.round(latencyMs * MICROSECONDS_PER_MS);
      this.latency.recordValue(Math.max(1, latencyUs));
    }
  }

  /** Returns a latency percentile of the answered requests, in milliseconds. */
  percentileMs(percentile: number): number {
    return this.latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** Returns the fields of the JSON report. */
  toJSON(): object {
    return {
      ...this.counts,
      late: this.lateCount,
      resends: this.resendCount,
      noAnswers: this.noAnswerCount,
      worthServed: (this.counts.answered - this.lateCount) * this.worth,
      p50Ms: this.percentileMs(50),
      p99Ms: this.percentileMs(99),
      p999Ms: this.percentileMs(99.9),
    };
  }
}

/** Result of the comparison with the targets' ledgers. */
export interface LedgerCheck {
  /** Ids of non-idempotent requests that ran more than once. */
  readonly doubleRuns: readonly string[];
  /** Run counts of non-idempotent requests by id. */
  readonly onceRuns: Readonly<Record<string, number>>;
  /** Ids of requests that ran although all copies were answered `not-run`. */
  readonly falseNotRun: readonly string[];
  /** Probes that the targets received. */
  readonly probes: number;
}

/** Results of a run. */
export interface CallerReport {
  readonly seed: number;
  readonly durationMs: number;
  readonly kinds: ReadonlyMap<string, KindReport>;
  /** Comparison with the ledgers; undefined if no ledger could be read. */
  readonly ledger: LedgerCheck | undefined;
}

const COLUMNS = [
  'kind',
  'answered',
  'late',
  'refused',
  'uncertain',
  'already-ran',
  'failed',
  'wrong',
  'resends',
  'p50 ms',
  'p99 ms',
  'p99.9 ms',
] as const;

/**
 * Formats the results as a table.
 *
 * @param report - results of a run
 * @returns the table with a trailing line break
 *
 * @example
 * ```ts
 * process.stdout.write(formatReport(report));
 * ```
 */
export function formatReport(report: CallerReport): string {
  const rows = [...report.kinds].map(([name, kind]) => [
    name,
    String(kind.counts.answered),
    String(kind.lateCount),
    String(kind.counts.refused),
    String(kind.counts.uncertain),
    String(kind.counts['already-ran']),
    String(kind.counts.failed),
    String(kind.counts.wrong),
    String(kind.resendCount),
    kind.percentileMs(50).toFixed(1),
    kind.percentileMs(99).toFixed(1),
    kind.percentileMs(99.9).toFixed(1),
  ]);
  const table = [COLUMNS, ...rows];
  const widths = COLUMNS.map((_, i) =>
    Math.max(...table.map(row => row[i]?.length ?? 0)),
  );
  const lines = table.map(row =>
    row
      .map((cell, i) =>
        i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0),
      )
      .join('  '),
  );
  const {ledger} = report;
  lines.push('');
  lines.push(
    ledger === undefined
      ? 'target ledgers: not read'
      : `double runs: ${ledger.doubleRuns.length}, ` +
          `"not-run" answers to requests that ran: ${ledger.falseNotRun.length}, ` +
          `probes: ${ledger.probes}`,
  );
  lines.push(
    `seed ${report.seed}, latencies measured from the planned arrival`,
  );
  return `${lines.join('\n')}\n`;
}

/**
 * Formats the results as JSON.
 *
 * @param report - results of a run
 * @returns JSON text
 *
 * @example
 * ```ts
 * await writeFile('result.json', reportToJson(report));
 * ```
 */
export function reportToJson(report: CallerReport): string {
  const {seed, durationMs, kinds, ledger} = report;
  const {onceRuns = {}, ...checks} = ledger ?? {};
  const fields = {seed, durationMs, kinds: Object.fromEntries(kinds)};
  return JSON.stringify({...fields, ledger: checks, onceRuns}, undefined, 2);
}
