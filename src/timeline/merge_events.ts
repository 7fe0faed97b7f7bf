/**
 * Merging of the events of several VMs.
 *
 * @packageDocumentation
 */
import {compareTimes} from './hybrid_clock.js';
import type {TimelineEvent} from './types.js';

/**
 * Merges the events of several VMs, ordered by timestamp and VM id. Events of
 * one VM with equal timestamps keep their order.
 *
 * @param lists - events of each VM, in any order
 * @returns all events, earliest first
 *
 * @example
 * ```ts
 * const events = mergeEvents([ringOfA.events(), ringOfB.events()]);
 * ```
 */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return lists.flat().sort(compareEvents);
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  const byTime = compareTimes(a.time, b.time);
  if (byTime !== 0 || a.vmId === b.vmId) {
    return byTime;
  }
  return a.vmId < b.vmId ? -1 : 1;
}
