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
  /** Worth of the cheapest kind. */
  readonly lowestWorth: number;
  private readonly kindsByPrefixLength: readonly KindPreset[];

  constructor(preset: ServicePreset, vmCeiling: number) {
    this.preset = preset;
    this.maxConnections = connectionShare(
      preset.connectionsPerTarget,
      vmCeiling,
    );
    this.lowestWorth = Math.min(...preset.kinds.map(({worth}) => worth));
    this.kindsByPrefixLength = [...preset.kinds].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
  }

  /** Finds the kind with the method and the longest matching prefix. */
  kindOf(method: string, path: string): KindPreset | undefined {
    return this.kindsByPrefixLength.find(
      kind => kind.method === method && path.startsWith(kind.pathPrefix),
    );
  }
}
