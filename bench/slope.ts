/**
 * Computes least-squares slopes for the cost benchmarks.
 *
 * @packageDocumentation
 */

/** Measured value `y` at a size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/**
 * Returns the least-squares slope of y over x.
 *
 * @param points - measured values
 * @returns change of y per unit of x; NaN for fewer than two sizes
 *
 * @example
 * ```ts
 * slopeOf([{x: 6, y: 12}, {x: 12, y: 24}]); // 2
 * ```
 */
export function slopeOf(points: readonly Point[]): number {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const covariance = points.map(({x, y}) => (x - meanX) * (y - meanY));
  const variance = points.map(({x}) => (x - meanX) ** 2);
  return mean(covariance) / mean(variance);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
