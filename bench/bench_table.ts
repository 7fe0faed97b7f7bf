/**
 * Formats the figures of the benchmarks as text tables.
 *
 * @packageDocumentation
 */
import type {Histogram} from 'hdr-histogram-js';

/** Text table with columns as wide as their longest cell. */
export class BenchTable {
  private readonly rows: (readonly string[])[] = [];

  /** @param header - column titles */
  constructor(header: readonly string[]) {
    this.rows.push(header);
  }

  /**
   * Adds a row.
   *
   * @param cells - one cell per column
   */
  add(...cells: readonly string[]): void {
    this.rows.push(cells);
  }

  /** Prints the table to standard output. */
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
 * Formats percentiles of a histogram of microseconds.
 *
 * @param histogram - recorded values
 * @param percentiles - from 0 to 100, for example 50 and 99.9
 * @returns milliseconds with one decimal place, separated by slashes
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
 * Returns one percentile of a histogram of microseconds in milliseconds.
 *
 * @param histogram - recorded values
 * @param percentile - from 0 to 100
 * @returns milliseconds; 0 if the histogram is empty
 */
export function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / 1_000;
}

/** Formats a share as a percentage with two decimal places. */
export function formatShare(share: number): string {
  return (100 * share).toFixed(2);
}

/** Formats the ratio of a value to the baseline; `-` if the baseline is 0. */
export function formatRatio(value: number, baseline: number): string {
  return baseline === 0 ? '-' : (value / baseline).toFixed(2);
}
