/**
 * Share of a VM in the connections of a target.
 *
 * @packageDocumentation
 */

/**
 * Computes the maximum number of connections from one VM to a target. The
 * divisor is the upper bound of VMs rather than the number that seem alive, so
 * that the partitions of a split fleet together stay within the limit. Each VM
 * gets at least one connection, so the limit is exceeded only by a preset with
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
