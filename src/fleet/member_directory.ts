/**
 * The members of the fleet that a VM knows, and their order.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {Member, MemberIdentity, ReportedMember} from './types.js';

/**
 * A member not heard of for this time counts as down. Members send a heartbeat each
 * 400 ms and the list of a failure domain is passed on each 300 ms, so two lost
 * datagrams in a row are survived.
 */
export const MEMBER_DOWN_MS = 1_200;

/** A member that is down for this time is forgotten. */
const FORGET_MS = 15_000;

/** Difference of capacity that counts when heads are ranked, as a factor. */
const CAPACITY_STEP = 2;

/** Members by address. */
export class MemberDirectory {
  private readonly byHost = new Map<string, Member>();
  private readonly weights = new Map<string, string>();

  /** @param self - identity of this VM */
  constructor(private readonly self: MemberIdentity) {}

  /**
   * Takes in what is said of a member. Older knowledge never replaces newer.
   *
   * @param reported - member as the sender reports it
   * @param nowMs - current instant in milliseconds
   */
  observe(reported: ReportedMember, nowMs: InstantMs): void {
    if (reported.host === this.self.host) {
      return;
    }
    const heardMs = nowMs - reported.ageMs;
    const known = this.byHost.get(reported.host);
    if (known !== undefined && known.heardMs >= heardMs) {
      return;
    }
    const {vmId, bootId, host, failureDomain, capacityMillicores} = reported;
    const {state, isReadFailing} = reported;
    this.byHost.set(host, {
      vmId,
      bootId,
      host,
      failureDomain,
      capacityMillicores,
      state,
      isReadFailing,
      heardMs,
    });
  }

  /**
   * Forgets members that have been down for long.
   *
   * @param nowMs - current instant in milliseconds
   */
  prune(nowMs: InstantMs): void {
    for (const [host, member] of this.byHost) {
      if (nowMs - member.heardMs > FORGET_MS) {
        this.byHost.delete(host);
        this.weights.delete(host);
      }
    }
  }

  /**
   * Lists other members that count as alive.
   *
   * @param nowMs - current instant in milliseconds
   * @param failureDomain - only members of this one; undefined for all
   * @returns members in no particular order
   */
  alive(nowMs: InstantMs, failureDomain?: string): readonly Member[] {
    const members: Member[] = [];
    for (const member of this.byHost.values()) {
      const isWanted =
        failureDomain === undefined || member.failureDomain === failureDomain;
      if (isWanted && nowMs - member.heardMs <= MEMBER_DOWN_MS) {
        members.push(member);
      }
    }
    return members;
  }

  /** Failure domains of which any member is known. */
  failureDomains(): readonly string[] {
    const domains = new Set([this.self.failureDomain]);
    for (const member of this.byHost.values()) {
      domains.add(member.failureDomain);
    }
    return [...domains];
  }

  /**
   * Ranks the members of a failure domain for duties: ready ones first, then
   * those with clearly more processor time, then by hash.
   *
   * @param members - candidates
   * @returns candidates, best first
   */
  rank<M extends RankedMember>(members: readonly M[]): readonly M[] {
    return [...members].sort(
      (a, b) =>
        Number(b.state === 'ready') - Number(a.state === 'ready') ||
        capacityClass(b) - capacityClass(a) ||
        compareText(this.weightOf(a), this.weightOf(b)),
    );
  }

  private weightOf(member: MemberIdentity): string {
    let weight = this.weights.get(member.host);
    if (weight === undefined) {
      weight = hashText(`head ${member.failureDomain} ${member.host}`);
      this.weights.set(member.host, weight);
    }
    return weight;
  }
}

/** What decides on the rank of a member. */
export type RankedMember = MemberIdentity & Pick<Member, 'state'>;

function capacityClass({capacityMillicores}: MemberIdentity): number {
  return Math.floor(
    Math.log(Math.max(1, capacityMillicores)) / Math.log(CAPACITY_STEP),
  );
}

/**
 * Compares two texts by code unit.
 *
 * @param a - first text
 * @param b - second text
 * @returns a negative, zero or positive number
 */
export function compareText(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
