/**
 * Text tables of the benchmarks.
 *
 * @packageDocumentation
 */
import type {Histogram} from 'hdr-histogram-js';

/** Table with columns as wide as their longest cell. */
export class BenchTable {
  private readonly rows: (readonly string[])[] = [];

  /** @param header - titles of the columns */
  constructor(header: readonly string[]) {
    this.rows.push(header);
  }

  /**
   * Adds a row.
   *
   * @param cells - one cell for each column
   */
  add(...cells: readonly string[]): void {
    this.rows.push(cells);
  }

  /** Prints the table to the standard output. */
  print(): void {
    const widths = (this.rows[0] ?? []).map((_, column) =>
      Math.max(...this.rows.map(row => row[column]?.length ?? 0)),
    );
    for (const row of this.rows) {
      const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
      console.log(cells.join('  ').trimEnd());
    }
  }
}

/**
 * Reads percentiles of a histogram of microseconds.
 *
 * @param histogram - recorded values
 * @param percentiles - for example 50 and 99.9
 * @returns milliseconds with one decimal, separated by slashes
 */
export function formatPercentiles(
  histogram: Histogram,
  percentiles: readonly number[] = [50, 99, 99.9],
): string {
  return percentiles
    .map(percentile => percentileMs(histogram, percentile).toFixed(1))
    .join('/');
}

/**
 * Reads one percentile of a histogram of microseconds.
 *
 * @param histogram - recorded values
 * @param percentile - from 0 to 100
 * @returns milliseconds; 0 without values
 */
export function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / 1_000;
}

/** Formats a share as a percentage with two decimals. */
export function formatShare(share: number): string {
  return (100 * share).toFixed(2);
}

/** Formats a ratio to the first row of a comparison. */
export function formatRatio(value: number, first: number): string {
  return first === 0 ? '-' : (value / first).toFixed(2);
}
