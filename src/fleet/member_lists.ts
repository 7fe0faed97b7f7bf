/**
 * Members that a VM lists to others.
 *
 * @packageDocumentation
 */
import type {InstantMs, RandomSource} from '../core/index.js';
import type {Member, ReportedMember} from './types.js';

/**
 * Members that a head lists in addition while some VMs reach no target. Drawn
 * anew each time, so that the VMs that need them learn of many.
 */
const MAX_LISTED_RELAY_CANDIDATES = 8;

/** Age above which a member is no longer listed in heartbeats. */
const MAX_LISTED_AGE_MS = 1_500;

/**
 * Returns the members as they are sent, without those that were last heard of
 * too long ago.
 *
 * @param members - members to list
 * @param nowMs - current instant in milliseconds
 */
export function toReported(
  members: readonly Member[],
  nowMs: InstantMs,
): readonly ReportedMember[] {
  const reported: ReportedMember[] = [];
  for (const {lastHeardMs, ...member} of members) {
    const ageMs = Math.round(nowMs - lastHeardMs);
    if (ageMs <= MAX_LISTED_AGE_MS) {
      reported.push({...member, ageMs});
    }
  }
  return reported;
}

/**
 * Draws members that reach targets.
 *
 * @param members - members that are alive
 * @param random - source of random numbers
 * @param failureDomain - domain of the members; undefined for any
 */
export function drawRelayCandidates(
  members: readonly Member[],
  random: RandomSource,
  failureDomain: string | undefined,
): readonly Member[] {
  const able = members.filter(
    each =>
      each.reachesTargets &&
      each.state === 'ready' &&
      (failureDomain ?? each.failureDomain) === each.failureDomain,
  );
  const drawn: Member[] = [];
  while (drawn.length < MAX_LISTED_RELAY_CANDIDATES && able.length > 0) {
    const index = Math.floor(random.nextFloat() * able.length);
    drawn.push(...able.splice(index, 1));
  }
  return drawn;
}
