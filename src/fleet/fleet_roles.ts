/**
 * Assignment of roles to VMs: heads of failure domains and store readers.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {compareStrings, type MemberDirectory} from './member_directory.js';
import type {Member, MemberIdentity, MemberState} from './types.js';

/** Heads per failure domain: one active, one standby. */
const HEADS_PER_DOMAIN = 2;

/** Number of VMs that read the store at any time. */
const READER_COUNT = 2;

/** Status of this VM that determines its rank. */
export interface SelfStatus {
  readonly identity: MemberIdentity;
  readonly state: MemberState;
  readonly isReadFailing: boolean;
  readonly reachesTargets: boolean;
}

/** Heads of one failure domain. */
export interface DomainHeads {
  readonly failureDomain: string;
  /** Addresses, highest rank first. */
  readonly hosts: readonly string[];
}

/** Role assignment in this VM's view of the fleet. */
export interface FleetRoles {
  /** Heads of this VM's failure domain, highest rank first; may include it. */
  readonly localHeads: readonly string[];
  /** Heads of the other failure domains. */
  readonly otherHeads: readonly DomainHeads[];
  /** VMs that read the store; may include this VM. */
  readonly readers: readonly string[];
  /** Addresses of the other members of this VM's failure domain. */
  readonly localPeers: readonly string[];
}

/**
 * Assigns roles from the known members. While the views of VMs differ, some
 * work is duplicated and some VMs fall back to reading the store themselves.
 *
 * @param directory - known members
 * @param status - status of this VM
 * @param nowMs - current instant in milliseconds
 * @returns the role assignment
 */
export function assignRoles(
  directory: MemberDirectory,
  status: SelfStatus,
  nowMs: InstantMs,
): FleetRoles {
  const self: Member = {
    ...status.identity,
    state: status.state,
    isReadFailing: status.isReadFailing,
    reachesTargets: status.reachesTargets,
    lastHeardMs: nowMs,
  };
  const domains = new Map<string, Member[]>();
  for (const member of [...directory.alive(nowMs), self]) {
    const members = domains.get(member.failureDomain);
    if (members === undefined) {
      domains.set(member.failureDomain, [member]);
    } else {
      members.push(member);
    }
  }
  const heads = new Map<string, readonly Member[]>();
  for (const [domain, members] of domains) {
    const candidates = members.filter(({state}) => state !== 'leaving');
    const ranked = directory.rank(candidates);
    heads.set(domain, ranked.slice(0, HEADS_PER_DOMAIN));
  }
  const {failureDomain} = status.identity;
  const others = [...heads].filter(([domain]) => domain !== failureDomain);
  return {
    localHeads: hostsOf(heads.get(failureDomain) ?? []),
    otherHeads: others.map(([domain, members]) => ({
      failureDomain: domain,
      hosts: hostsOf(members),
    })),
    readers: chooseReaders(heads),
    localPeers: hostsOf(domains.get(failureDomain) ?? []).filter(
      host => host !== status.identity.host,
    ),
  };
}

/** Selects heads round-robin over the domains; failing readers come last. */
function chooseReaders(
  heads: ReadonlyMap<string, readonly Member[]>,
): readonly string[] {
  const domains = [...heads].sort(([a], [b]) => compareStrings(a, b));
  const candidates: Member[] = [];
  for (let position = 0; position < HEADS_PER_DOMAIN; position += 1) {
    for (const [, members] of domains) {
      const member = members[position];
      if (member !== undefined) {
        candidates.push(member);
      }
    }
  }
  const able = candidates.filter(({isReadFailing}) => !isReadFailing);
  const failing = candidates.filter(({isReadFailing}) => isReadFailing);
  return hostsOf([...able, ...failing].slice(0, READER_COUNT));
}

function hostsOf(members: readonly MemberIdentity[]): readonly string[] {
  return members.map(({host}) => host);
}
