/**
 * Directory of the known members of the fleet, and their ranking.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {Member, MemberIdentity, ReportedMember} from './types.js';

/**
 * Time without a sign of life after which a member counts as down. Members send
 * a heartbeat every 400 ms and heads forward the member list of their failure
 * domain every 300 ms, so the timeout tolerates two consecutive lost datagrams.
 */
export const MEMBER_DOWN_MS = 1_200;

/** Time without a sign of life after which a member is removed. */
const MEMBER_EXPIRY_MS = 15_000;

/** Ratio between two adjacent capacity classes in the ranking of heads. */
const CAPACITY_CLASS_FACTOR = 2;

/** Stores the other members of the fleet by address. */
export class MemberDirectory {
  private readonly byHost = new Map<string, Member>();
  private readonly rankHashes = new Map<string, string>();

  /** @param self - identity of this VM */
  constructor(private readonly self: MemberIdentity) {}

  /**
   * Merges a report of a member. Older reports never replace newer ones.
   *
   * @param reported - member as the sender reports it
   * @param nowMs - current instant in milliseconds
   */
  observe(reported: ReportedMember, nowMs: InstantMs): void {
    if (reported.host === this.self.host) {
      return;
    }
    const lastHeardMs = nowMs - reported.ageMs;
    const known = this.byHost.get(reported.host);
    if (known !== undefined && known.lastHeardMs >= lastHeardMs) {
      return;
    }
    const {vmId, bootId, host, failureDomain, capacityMillicores} = reported;
    const {state, isReadFailing, reachesTargets} = reported;
    this.byHost.set(host, {
      vmId,
      bootId,
      host,
      failureDomain,
      capacityMillicores,
      state,
      isReadFailing,
      reachesTargets,
      lastHeardMs,
    });
  }

  /**
   * Removes members whose last sign of life is too old.
   *
   * @param nowMs - current instant in milliseconds
   */
  prune(nowMs: InstantMs): void {
    for (const [host, member] of this.byHost) {
      if (nowMs - member.lastHeardMs > MEMBER_EXPIRY_MS) {
        this.byHost.delete(host);
        this.rankHashes.delete(host);
      }
    }
  }

  /**
   * Lists other members that count as alive.
   *
   * @param nowMs - current instant in milliseconds
   * @param failureDomain - failure domain to filter by; undefined for all
   * @returns members in no particular order
   */
  alive(nowMs: InstantMs, failureDomain?: string): readonly Member[] {
    const members: Member[] = [];
    for (const member of this.byHost.values()) {
      const isWanted =
        failureDomain === undefined || member.failureDomain === failureDomain;
      if (isWanted && nowMs - member.lastHeardMs <= MEMBER_DOWN_MS) {
        members.push(member);
      }
    }
    return members;
  }

  /** Lists the failure domains with at least one known member. */
  failureDomains(): readonly string[] {
    const domains = new Set([this.self.failureDomain]);
    for (const member of this.byHost.values()) {
      domains.add(member.failureDomain);
    }
    return [...domains];
  }

  /**
   * Ranks the members of a failure domain for roles: ready ones first, then by
   * capacity class, then by hash. Whether a member reaches targets plays no part:
   * other VMs learn of it late, and would disagree about the ranks.
   *
   * @param members - candidates
   * @returns candidates, highest rank first
   */
  rank<M extends RankedMember>(members: readonly M[]): readonly M[] {
    return [...members].sort(
      (a, b) =>
        Number(b.state === 'ready') - Number(a.state === 'ready') ||
        capacityClass(b) - capacityClass(a) ||
        compareStrings(this.rankHashOf(a), this.rankHashOf(b)),
    );
  }

  private rankHashOf(member: MemberIdentity): string {
    let rankHash = this.rankHashes.get(member.host);
    if (rankHash === undefined) {
      rankHash = hashText(`head ${member.failureDomain} ${member.host}`);
      this.rankHashes.set(member.host, rankHash);
    }
    return rankHash;
  }
}

/** Fields that determine the rank of a member. */
export type RankedMember = MemberIdentity & Pick<Member, 'state'>;

function capacityClass({capacityMillicores}: MemberIdentity): number {
  return Math.floor(
    Math.log(Math.max(1, capacityMillicores)) / Math.log(CAPACITY_CLASS_FACTOR),
  );
}

/**
 * Compares two strings by code unit.
 *
 * @param a - first string
 * @param b - second string
 * @returns a negative, zero or positive number
 */
export function compareStrings(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
