/**
 * Which VMs have duties for others: heads of failure domains and readers.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {compareText, type MemberDirectory} from './member_directory.js';
import type {Member, MemberIdentity, MemberState} from './types.js';

/** Heads of each failure domain: one acts, the other stands by. */
const HEADS_PER_DOMAIN = 2;

/** VMs that read the store at any time. */
const READER_COUNT = 2;

/** State of this VM that others rank it by. */
export interface OwnStanding {
  readonly identity: MemberIdentity;
  readonly state: MemberState;
  readonly isReadFailing: boolean;
}

/** Heads of one failure domain. */
export interface DomainHeads {
  readonly failureDomain: string;
  /** Addresses, best first. */
  readonly hosts: readonly string[];
}

/** Duties as this VM sees them. */
export interface HeadView {
  /** Heads of the own failure domain, best first; may include this VM. */
  readonly ownHeads: readonly string[];
  /** Heads of the other failure domains. */
  readonly otherHeads: readonly DomainHeads[];
  /** VMs that read the store; may include this VM. */
  readonly readers: readonly string[];
  /** Other members of the own failure domain. */
  readonly ownDomainHosts: readonly string[];
}

/**
 * Derives the duties from the known members. VMs whose views differ for a
 * moment only do some work twice or lean on their own reads for a while.
 *
 * @param directory - known members
 * @param own - standing of this VM
 * @param nowMs - current instant in milliseconds
 * @returns the duties
 */
export function deriveHeads(
  directory: MemberDirectory,
  own: OwnStanding,
  nowMs: InstantMs,
): HeadView {
  const self: Member = {
    ...own.identity,
    state: own.state,
    isReadFailing: own.isReadFailing,
    heardMs: nowMs,
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
  const {failureDomain} = own.identity;
  const others = [...heads].filter(([domain]) => domain !== failureDomain);
  return {
    ownHeads: hostsOf(heads.get(failureDomain) ?? []),
    otherHeads: others.map(([domain, members]) => ({
      failureDomain: domain,
      hosts: hostsOf(members),
    })),
    readers: chooseReaders(heads),
    ownDomainHosts: hostsOf(domains.get(failureDomain) ?? []).filter(
      host => host !== own.identity.host,
    ),
  };
}

/** First heads of the domains in turn, those that fail to read last. */
function chooseReaders(
  heads: ReadonlyMap<string, readonly Member[]>,
): readonly string[] {
  const domains = [...heads].sort(([a], [b]) => compareText(a, b));
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
