/**
 * Random numbers that can be replayed from a seed.
 *
 * @packageDocumentation
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Range of a 32-bit unsigned integer. */
const UINT32_RANGE = 2 ** 32;

/**
 * Source of random numbers for decisions.
 *
 * @example
 * ```ts
 * const index = random.nextInt(targets.length);
 * ```
 */
export abstract class RandomSource {
  /**
   * Draws a number from a uniform distribution.
   *
   * @returns a number from 0 (included) to 1 (excluded)
   */
  abstract nextFloat(): number;

  /**
   * Draws an integer from a uniform distribution.
   *
   * @param bound - upper bound, excluded; at least 1
   * @returns an integer from 0 (included) to `bound` (excluded)
   */
  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}

/**
 * Random source that yields the same numbers for the same seed.
 *
 * @example
 * ```ts
 * const random = new SeededRandom({seed: 42});
 * ```
 */
export class SeededRandom extends RandomSource {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * @param options - `seed`: an integer
   */
  constructor(options: {readonly seed: number}) {
    super();
    this.generator = xoroshiro128plus(options.seed);
  }

  override nextFloat(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }
}
