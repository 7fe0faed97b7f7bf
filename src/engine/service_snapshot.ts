/**
 * Settings of a service in one preset.
 *
 * @packageDocumentation
 */
import {connectionShare} from '../limits/index.js';
import type {KindPreset, ServicePreset} from '../preset/index.js';

/**
 * Immutable view of a service's preset. A request keeps the snapshot that was
 * active when it arrived.
 *
 * @internal
 */
export class ServiceSnapshot {
  readonly preset: ServicePreset;
  /** Maximum number of connections of this VM to one target. */
  readonly maxConnections: number;
  private readonly lowestWorth: number;
  private readonly highestWorth: number;
  private readonly kindsByPrefixLength: readonly KindPreset[];

  constructor(preset: ServicePreset, vmCeiling: number) {
    this.preset = preset;
    this.maxConnections = connectionShare(
      preset.connectionsPerTarget,
      vmCeiling,
    );
    const worths = preset.kinds.map(({worth}) => worth);
    this.lowestWorth = Math.min(...worths);
    this.highestWorth = Math.max(...worths);
    this.kindsByPrefixLength = [...preset.kinds].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
  }

  /** Returns true for kinds of the lowest worth if others have a higher one. */
  isLowestWorth({worth}: KindPreset): boolean {
    return worth === this.lowestWorth && worth < this.highestWorth;
  }

  /** Returns true for kinds above the lowest worth. */
  exceedsLowestWorth({worth}: KindPreset): boolean {
    return worth > this.lowestWorth;
  }

  /** Returns the kind with this method and the longest matching prefix. */
  kindOf(method: string, path: string): KindPreset | undefined {
    return this.kindsByPrefixLength.find(
      kind => kind.method === method && path.startsWith(kind.pathPrefix),
    );
  }
}
