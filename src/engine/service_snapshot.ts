/**
 * Treatment of a service as of one preset.
 *
 * @packageDocumentation
 */
import {connectionShare} from '../limits/index.js';
import type {KindPreset, ServicePreset} from '../preset/index.js';

/**
 * Immutable view of a service's preset. A request keeps the one that was
 * active when it arrived.
 *
 * @internal
 */
export class ServiceSnapshot {
  readonly preset: ServicePreset;
  /** Connections of this VM to one target. */
  readonly maxConnections: number;
  private readonly lowestWorth: number;
  private readonly greatestWorth: number;
  private readonly kindsByPrefixLength: readonly KindPreset[];

  constructor(preset: ServicePreset, vmCeiling: number) {
    this.preset = preset;
    this.maxConnections = connectionShare(
      preset.connectionsPerTarget,
      vmCeiling,
    );
    const worths = preset.kinds.map(({worth}) => worth);
    this.lowestWorth = Math.min(...worths);
    this.greatestWorth = Math.max(...worths);
    this.kindsByPrefixLength = [...preset.kinds].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
  }

  /** True for kinds of the lowest worth, if others are worth more. */
  isCheapest({worth}: KindPreset): boolean {
    return worth === this.lowestWorth && worth < this.greatestWorth;
  }

  /** True for kinds of more than the lowest worth. */
  exceedsLowestWorth({worth}: KindPreset): boolean {
    return worth > this.lowestWorth;
  }

  /** Finds the kind with the method and the longest matching prefix. */
  kindOf(method: string, path: string): KindPreset | undefined {
    return this.kindsByPrefixLength.find(
      kind => kind.method === method && path.startsWith(kind.pathPrefix),
    );
  }
}
