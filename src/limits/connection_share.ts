/**
 * Division of a target's connections between VMs.
 *
 * @packageDocumentation
 */

/**
 * Computes the greatest number of connections that one VM opens to a target.
 * The divisor is the upper bound of VMs, not the number that seem alive, so
 * that the parts of a partitioned fleet together stay within the limit. A VM
 * always gets one connection; the limit is exceeded only by a preset with
 * fewer connections than VMs.
 *
 * @param connectionsPerTarget - connections that a target accepts
 * @param vmCeiling - upper bound of entry VMs alive at once
 * @returns connections of one VM to one target, at least 1
 *
 * @example
 * ```ts
 * connectionShare(280, 30); // 9
 * ```
 */
export function connectionShare(
  connectionsPerTarget: number,
  vmCeiling: number,
): number {
  return Math.max(1, Math.floor(connectionsPerTarget / vmCeiling));
}
