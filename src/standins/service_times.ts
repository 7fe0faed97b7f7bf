/**
 * Service times of a target stand-in with cold start and noisy neighbours.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {KindSpec, TargetSettings} from './target_settings.js';

/** Service time distribution of requests that match no kind. */
const DEFAULT_KIND: KindSpec = {
  method: '*',
  pathPrefix: '/',
  meanMs: 1,
  distribution: 'fixed',
};

/** Options of {@link ServiceTimes}. */
export interface ServiceTimesOptions {
  readonly settings: TargetSettings;
  readonly random: RandomSource;
}

/**
 * Draws the service times of one target.
 *
 * @example
 * ```ts
 * const times = new ServiceTimes({settings, random});
 * times.recordStart(performance.now());
 * const serviceMs = times.draw('GET', '/price', performance.now());
 * ```
 */
export class ServiceTimes {
  private startedMs = 0;
  private slowdownEndMs = 0;
  private nextSlowdownMs = 0;

  /** @param options - settings of the target process and random source */
  constructor(private readonly options: ServiceTimesOptions) {}

  /**
   * Records a start of the target, which begins its warm-up.
   *
   * @param nowMs - current instant in milliseconds
   */
  recordStart(nowMs: number): void {
    this.startedMs = nowMs;
    this.nextSlowdownMs = nowMs + this.drawNeighbourGapMs();
  }

  /**
   * Draws the service time of a request.
   *
   * @param method - HTTP method
   * @param path - path with query
   * @param nowMs - current instant in milliseconds
   * @returns the service time in milliseconds
   */
  draw(
    method: string | undefined,
    path: string | undefined,
    nowMs: number,
  ): number {
    const {settings, random} = this.options;
    const kind = settings.kinds
      .filter(
        entry =>
          entry.method === method && (path ?? '').startsWith(entry.pathPrefix),
      )
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
    const {meanMs, distribution} = kind ?? DEFAULT_KIND;
    const baseMs =
      distribution === 'fixed'
        ? meanMs
        : -Math.log(1 - random.nextFloat()) * meanMs;
    return baseMs * this.slowdownFactorAt(nowMs);
  }

  /** Returns the factor on service times by cold start and noisy neighbours. */
  private slowdownFactorAt(nowMs: number): number {
    const {coldFactor, warmUpMs, neighbours} = this.options.settings;
    const ageMs = nowMs - this.startedMs;
    const coldStartFactor =
      ageMs < warmUpMs ? coldFactor - (coldFactor - 1) * (ageMs / warmUpMs) : 1;
    if (neighbours !== undefined && nowMs >= this.nextSlowdownMs) {
      this.slowdownEndMs = nowMs + neighbours.durationMs;
      this.nextSlowdownMs = this.slowdownEndMs + this.drawNeighbourGapMs();
    }
    const neighbourFactor =
      nowMs < this.slowdownEndMs ? (neighbours?.factor ?? 1) : 1;
    return coldStartFactor * neighbourFactor;
  }

  /** Draws the time until the next slowdown; infinite without neighbours. */
  private drawNeighbourGapMs(): number {
    const {settings, random} = this.options;
    const meanGapMs = settings.neighbours?.meanGapMs;
    return meanGapMs === undefined
      ? Infinity
      : -Math.log(1 - random.nextFloat()) * meanGapMs;
  }
}
