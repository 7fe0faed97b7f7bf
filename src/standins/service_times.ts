/**
 * Service times of a target stand-in: kinds, cold start, noisy neighbours.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {KindSpec, TargetSettings} from './target_settings.js';

/** Service time of requests that match no kind. */
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
 * times.onStart(performance.now());
 * const serviceMs = times.draw('GET', '/price', performance.now());
 * ```
 */
export class ServiceTimes {
  private startedMs = 0;
  private slowUntilMs = 0;
  private nextSlowMs = 0;

  /** @param options - settings of the target process and random source */
  constructor(private readonly options: ServiceTimesOptions) {}

  /**
   * Notes a start of the target, which is cold from now on.
   *
   * @param nowMs - current instant in milliseconds
   */
  onStart(nowMs: number): void {
    this.startedMs = nowMs;
    this.nextSlowMs = nowMs + this.drawNeighbourGap();
  }

  /**
   * Draws the service time of a request.
   *
   * @param method - HTTP method
   * @param path - path with query
   * @param nowMs - current instant in milliseconds
   * @returns milliseconds
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
    const drawn =
      distribution === 'fixed'
        ? meanMs
        : -Math.log(1 - random.nextFloat()) * meanMs;
    return drawn * this.factorAt(nowMs);
  }

  /** Factor by cold start and neighbours. */
  private factorAt(nowMs: number): number {
    const {coldFactor, warmUpMs, neighbours} = this.options.settings;
    const ageMs = nowMs - this.startedMs;
    const cold =
      ageMs < warmUpMs ? coldFactor - (coldFactor - 1) * (ageMs / warmUpMs) : 1;
    if (neighbours !== undefined && nowMs >= this.nextSlowMs) {
      this.slowUntilMs = nowMs + neighbours.durationMs;
      this.nextSlowMs = this.slowUntilMs + this.drawNeighbourGap();
    }
    const noisy = nowMs < this.slowUntilMs ? (neighbours?.factor ?? 1) : 1;
    return cold * noisy;
  }

  private drawNeighbourGap(): number {
    const {settings, random} = this.options;
    const meanGapMs = settings.neighbours?.meanGapMs;
    return meanGapMs === undefined
      ? Infinity
      : -Math.log(1 - random.nextFloat()) * meanGapMs;
  }
}
