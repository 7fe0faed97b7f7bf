/**
 * Exchange of target limits and of granted requests between VMs.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import {compareStrings} from '../fleet/index.js';
import type {
  Dispatch,
  FleetMessage,
  FleetNode,
  LimitGrants,
  LimitReport,
  ReportedLimit,
} from '../fleet/index.js';
import {
  GRANT_VALIDITY_MS,
  GrantDivider,
  type KnownLimit,
  type LimitDemand,
  type RequestGrant,
  type RequestGrants,
  type TargetLimits,
} from '../limits/index.js';
import type {LoadBoard} from '../load/index.js';
import type {KnownTarget} from '../registry/index.js';

/** Interval at which a VM reports its demand for limited targets. */
const REPORT_INTERVAL_MS = 500;

/** Interval at which the acting head of a domain hands out requests. */
const GRANT_INTERVAL_MS = 250;

/** Shortest interval at which a head repeats all limits. Changes go at once. */
const ANNOUNCEMENT_INTERVAL_MS = 1_000;

/** Most bytes per second that a head sends to repeat limits. */
const MAX_ANNOUNCEMENT_BYTES_PER_SECOND = 12_000;

/** Encoded size of one limit, in bytes. */
const LIMIT_BYTES = 25;

/** Most limits, demands or grants in one message. */
const MAX_ENTRIES_PER_MESSAGE = 80;

/**
 * Part of a limit that is handed out while no VM of the target's failure domain
 * is known: they may be cut off and use the limit.
 */
const FOREIGN_DOMAIN_SHARE = 0.25;

/** Options of {@link LimitSharing}. */
export interface LimitSharingOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly fleet: FleetNode;
  readonly board: LoadBoard;
  readonly limits: TargetLimits;
  readonly grants: RequestGrants;
  /** Returns whether this VM acts as head of its failure domain. */
  readonly actsAsHead: (nowMs: InstantMs) => boolean;
}

/**
 * Lets the fleet keep the limits that targets name. Each VM reports the limits
 * that it has seen, and its demand, to the heads of the target's failure domain;
 * the acting head hands out requests at the rate of the limit.
 */
export class LimitSharing {
  private readonly divider = new GrantDivider();
  private nextReportMs: InstantMs = 0;
  private nextGrantMs: InstantMs = 0;
  private nextAnnouncementMs: InstantMs = 0;
  private reportedCount = 0;
  /** Greatest number of reporters that a head has told, by failure domain. */
  private readonly reporterPeaks = new Map<string, TimedPeak>();
  /** Limits that this head has announced since the last repetition, by target. */
  private readonly announcedLimits = new Map<string, number>();

  /** @param options - identity, fleet, limits and grants of this VM */
  constructor(private readonly options: LimitSharingOptions) {}

  /**
   * Collects the messages that are due.
   *
   * @param targets - registered targets by id
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onTick(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): readonly Dispatch[] {
    const {limits, grants, actsAsHead} = this.options;
    grants.onTick(nowMs);
    const known = limits.list().filter(each => targets.has(each.targetId));
    const dispatches: Dispatch[] = [];
    const hasNewLimit = known.length > this.reportedCount;
    if (known.length > 0 && (hasNewLimit || nowMs >= this.nextReportMs)) {
      this.nextReportMs = nowMs + REPORT_INTERVAL_MS;
      this.addReports(dispatches, {known, targets}, nowMs);
    }
    this.reportedCount = known.length;
    if (known.length > 0 && actsAsHead(nowMs)) {
      if (nowMs >= this.nextGrantMs) {
        this.nextGrantMs = nowMs + GRANT_INTERVAL_MS;
        this.addGrants(dispatches, {known, targets}, nowMs);
      }
      this.addAnnouncements(dispatches, known, nowMs);
    }
    return dispatches;
  }

  /**
   * Merges a message of another VM; ignores messages about other matters.
   *
   * @param message - received message
   * @param nowMs - current instant in milliseconds
   */
  onMessage(message: FleetMessage, nowMs: InstantMs): void {
    if (message.type === 'limit-report') {
      this.mergeLimits(message.limits, nowMs);
      this.divider.onReport(message.sender.host, message, nowMs);
    } else if (message.type === 'limit-grants') {
      this.mergeLimits(message.limits, nowMs);
      const {count, ageMs} = message.reporterPeak;
      const peak = {count, seenMs: nowMs - ageMs};
      this.reporterPeaks.set(message.sender.failureDomain, peak);
      const validMs = Math.min(message.validMs, GRANT_VALIDITY_MS);
      for (const {targetId, count} of message.grants) {
        const grant = {targetId, count, expiresMs: nowMs + validMs};
        this.options.grants.onGrant(grant, nowMs);
      }
    }
  }

  private mergeLimits(
    reported: readonly ReportedLimit[],
    nowMs: InstantMs,
  ): void {
    const {board, limits} = this.options;
    for (const {targetId, perSecond, ageMs} of reported) {
      if (board.target(targetId) !== undefined) {
        const observedMs = nowMs - ageMs;
        limits.merge({targetId, perSecond, observedMs});
      }
    }
  }

  /** Reports limits and demand to both heads of each target's domain. */
  private addReports(
    dispatches: Dispatch[],
    {known, targets}: KnownLimits,
    nowMs: InstantMs,
  ): void {
    const {board, fleet, grants, host} = this.options;
    const byDomain = new Map<string, KnownLimit[]>();
    for (const limit of known) {
      const domain = this.dividingDomain(targets.get(limit.targetId));
      byDomain.set(domain, [...(byDomain.get(domain) ?? []), limit]);
    }
    for (const [domain, limits] of byDomain) {
      const demands: LimitDemand[] = [];
      for (const {targetId, perSecond} of limits) {
        const target = targets.get(targetId);
        if (target !== undefined && perSecond > 0 && board.isUsed(targetId)) {
          demands.push(grants.takeDemand(target, nowMs));
        }
      }
      const peak = this.reporterPeaks.get(domain) ?? NO_PEAK;
      const reporterPeak = {count: peak.count, ageMs: nowMs - peak.seenMs};
      const hosts = this.headsOf(domain);
      if (hosts.includes(host)) {
        this.divider.onReport(host, {demands, reporterPeak}, nowMs);
      }
      const others = hosts.filter(each => each !== host);
      for (const part of partsOf(limits)) {
        const ids = new Set(part.map(({targetId}) => targetId));
        const message: LimitReport = {
          type: 'limit-report',
          sender: fleet.reportSelf(),
          reporterPeak,
          limits: toReported(part, nowMs),
          demands: demands.filter(({targetId}) => ids.has(targetId)),
        };
        if (others.length > 0) {
          dispatches.push({hosts: others, message});
        }
      }
    }
  }

  private addGrants(
    dispatches: Dispatch[],
    {known, targets}: KnownLimits,
    nowMs: InstantMs,
  ): void {
    const {failureDomain, host, grants} = this.options;
    const rates = new Map<string, number>();
    for (const {targetId, perSecond} of known) {
      const target = targets.get(targetId);
      if (
        perSecond > 0 &&
        target !== undefined &&
        this.dividingDomain(target) === failureDomain
      ) {
        const isLocal = target.failureDomain === failureDomain;
        const share = isLocal ? 1 : FOREIGN_DOMAIN_SHARE;
        rates.set(targetId, perSecond * share);
      }
    }
    const limits = new Map(known.map(each => [each.targetId, each]));
    for (const [receiver, granted] of this.divider.divide(rates, nowMs)) {
      if (receiver === host) {
        const expiresMs = nowMs + GRANT_VALIDITY_MS;
        granted.forEach(each => grants.onGrant({...each, expiresMs}, nowMs));
        continue;
      }
      for (const part of partsOf(granted)) {
        const named = part.flatMap(({targetId}) => limits.get(targetId) ?? []);
        const message = this.createGrants(part, named, nowMs);
        dispatches.push({hosts: [receiver], message});
      }
    }
  }

  /** Announces limits to the members of the domain and the other heads. */
  private addAnnouncements(
    dispatches: Dispatch[],
    known: readonly KnownLimit[],
    nowMs: InstantMs,
  ): void {
    const {localPeers, otherHeads} = this.options.fleet.roles;
    const hosts = [
      ...localPeers,
      ...otherHeads.flatMap(({hosts: heads}) => heads.slice(0, 1)),
    ];
    if (hosts.length === 0) {
      return;
    }
    const isRefresh = nowMs >= this.nextAnnouncementMs;
    const announced = known.filter(
      ({targetId, perSecond}) =>
        isRefresh || this.announcedLimits.get(targetId) !== perSecond,
    );
    if (isRefresh) {
      this.announcedLimits.clear();
      const bytes = known.length * LIMIT_BYTES * hosts.length;
      const budgetMs = (bytes * 1000) / MAX_ANNOUNCEMENT_BYTES_PER_SECOND;
      this.nextAnnouncementMs =
        nowMs + Math.max(ANNOUNCEMENT_INTERVAL_MS, budgetMs);
    }
    for (const {targetId, perSecond} of announced) {
      this.announcedLimits.set(targetId, perSecond);
    }
    for (const part of partsOf(announced)) {
      dispatches.push({hosts, message: this.createGrants([], part, nowMs)});
    }
  }

  private createGrants(
    grants: readonly RequestGrant[],
    limits: readonly KnownLimit[],
    nowMs: InstantMs,
  ): LimitGrants {
    return {
      type: 'limit-grants',
      sender: this.options.fleet.reportSelf(),
      reporterPeak: this.divider.reporterPeak(nowMs),
      validMs: GRANT_VALIDITY_MS,
      limits: toReported(limits, nowMs),
      grants,
    };
  }

  /**
   * Returns the failure domain whose acting head divides the limit of a target:
   * its own, or another one that all VMs select alike while no VM of it is known.
   */
  private dividingDomain(target: KnownTarget | undefined): string {
    const {failureDomain, fleet} = this.options;
    const domains = [
      ...fleet.roles.otherHeads.map(each => each.failureDomain),
      failureDomain,
    ];
    const own = target?.failureDomain ?? failureDomain;
    if (domains.includes(own)) {
      return own;
    }
    domains.sort((a, b) =>
      compareStrings(hashText(`${own} ${a}`), hashText(`${own} ${b}`)),
    );
    return domains[0] ?? failureDomain;
  }

  private headsOf(domain: string): readonly string[] {
    const {failureDomain, fleet} = this.options;
    const {localHeads, otherHeads} = fleet.roles;
    return domain === failureDomain
      ? localHeads
      : (otherHeads.find(each => each.failureDomain === domain)?.hosts ?? []);
  }
}

/** Number of reporters at an instant of this VM's clock. */
interface TimedPeak {
  readonly count: number;
  readonly seenMs: InstantMs;
}

const NO_PEAK: TimedPeak = {count: 0, seenMs: 0};

/** Limits of registered targets. */
interface KnownLimits {
  readonly known: readonly KnownLimit[];
  readonly targets: ReadonlyMap<string, KnownTarget>;
}

function toReported(
  limits: readonly KnownLimit[],
  nowMs: InstantMs,
): readonly ReportedLimit[] {
  return limits.map(({targetId, perSecond, observedMs}) => ({
    targetId,
    perSecond,
    ageMs: Math.max(0, Math.round(nowMs - observedMs)),
  }));
}

/** Divides a list into parts that fit a message. */
function partsOf<T>(all: readonly T[]): readonly (readonly T[])[] {
  const parts: (readonly T[])[] = [];
  for (let start = 0; start < all.length; start += MAX_ENTRIES_PER_MESSAGE) {
    parts.push(all.slice(start, start + MAX_ENTRIES_PER_MESSAGE));
  }
  return parts;
}
