/**
 * Random numbers that are reproducible from a seed.
 *
 * @packageDocumentation
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Range of a 32-bit unsigned integer. */
const UINT32_RANGE = 2 ** 32;

/**
 * Source of uniformly distributed random numbers.
 *
 * @example
 * ```ts
 * const index = random.nextInt(targets.length);
 * ```
 */
export abstract class RandomSource {
  /**
   * Returns a uniformly distributed number.
   *
   * @returns a number in the range [0, 1)
   */
  abstract nextFloat(): number;

  /**
   * Returns a uniformly distributed integer.
   *
   * @param bound - exclusive upper bound; at least 1
   * @returns an integer in the range [0, `bound`)
   */
  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}

/**
 * Random source that generates the same sequence for the same seed.
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
