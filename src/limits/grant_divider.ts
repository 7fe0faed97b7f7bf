/**
 * Division of a target's limit among the VMs that want to send to it.
 *
 * A limit is often smaller than the number of VMs, so equal shares would either
 * be unusable or add up to a burst. Instead one VM, the divider, hands out single
 * requests at the rate of the limit. A grant that is not used in time lapses.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Time for which a granted request may be sent. The requests of a window can
 * exceed the limit by as much as one validity.
 */
export const GRANT_VALIDITY_MS = 1_600;

/** Most unused grants that a divider saves up, as time at the limit's rate. */
const MAX_SAVED_MS = 250;

/** Time for which a report of a VM counts. */
const REPORT_TTL_MS = 1_500;

/**
 * Time for which VMs that no longer report hold back their part: they may be
 * cut off, and have a divider of their own.
 */
const ABSENCE_MS = 120_000;

/**
 * Part of a limit that may be handed out again after it has lapsed. All grants
 * that are open at a time may be used at once, so this adds to a burst.
 */
const MAX_REPEATED_SHARE = 0.2;

/** Bound of the lead or debt of a VM, in requests. */
const MAX_CREDIT = 2;

/** Greatest number of lapsed grants that is believed of a peer. */
const MAX_LAPSED = 1_000;

/** Greatest number of reporters that is believed of a peer. */
const MAX_REPORTERS = 100_000;

/** Demand of a VM for a limited target. */
export interface LimitDemand {
  readonly targetId: string;
  /** Requests per second that the VM could send to it, as a weight. */
  readonly demand: number;
  /** Grants that the VM has not used since its last report. */
  readonly lapsedCount: number;
}

/** Greatest number of VMs that reported to a divider at the same time. */
export interface ReporterPeak {
  readonly count: number;
  /** Time since then, in milliseconds. */
  readonly ageMs: number;
}

/** Requests that a VM may send to a target. */
export interface RequestGrant {
  readonly targetId: string;
  readonly count: number;
}

interface Report {
  readonly demands: ReadonlyMap<string, number>;
  readonly reportedMs: InstantMs;
}

interface TargetAccount {
  available: number;
  /** Lapsed grants that were not handed out again. */
  lapsed: number;
  /** Grants that may be handed out again. */
  repeatable: number;
  updatedMs: InstantMs;
  /** Requests by which each VM is ahead of (above 0) or behind its share. */
  readonly credits: Map<string, number>;
}

/**
 * Divides limits among VMs by their demand. All state is rebuilt from reports
 * within seconds, so any VM can take over.
 *
 * @example
 * ```ts
 * divider.onReport('10.0.0.7', {demands, reporterPeak}, nowMs);
 * const grants = divider.divide(new Map([['x1', 4.2]]), nowMs);
 * ```
 */
export class GrantDivider {
  private readonly reports = new Map<string, Report>();
  private readonly accounts = new Map<string, TargetAccount>();
  private peaks: {readonly count: number; readonly seenMs: InstantMs}[] = [];

  /**
   * Records the demand of a VM.
   *
   * @param host - address of the VM
   * @param report - its demand, and the greatest number of reporting VMs that
   *     a divider has told it
   * @param nowMs - current instant in milliseconds
   */
  onReport(
    host: string,
    report: {
      readonly demands: readonly LimitDemand[];
      readonly reporterPeak: ReporterPeak;
    },
    nowMs: InstantMs,
  ): void {
    const demands = new Map<string, number>();
    for (const {targetId, demand, lapsedCount} of report.demands) {
      demands.set(targetId, demand);
      const account = this.accounts.get(targetId);
      if (account !== undefined) {
        account.lapsed = Math.min(account.lapsed + lapsedCount, MAX_LAPSED);
      }
    }
    this.reports.set(host, {demands, reportedMs: nowMs});
    const {count, ageMs} = report.reporterPeak;
    this.recordPeak(Math.min(count, MAX_REPORTERS), nowMs - ageMs);
  }

  /** Greatest number of VMs that reported at the same time lately. */
  reporterPeak(nowMs: InstantMs): ReporterPeak {
    this.peaks = this.peaks.filter(({seenMs}) => nowMs - seenMs <= ABSENCE_MS);
    const greatest = this.peaks.reduce(
      (most, peak) => (peak.count > most.count ? peak : most),
      {count: 0, seenMs: nowMs},
    );
    return {count: greatest.count, ageMs: nowMs - greatest.seenMs};
  }

  /**
   * Hands out the requests that have become available since the last call.
   *
   * @param limits - requests per second by target
   * @param nowMs - current instant in milliseconds
   * @returns grants by the address of the VM
   */
  divide(
    limits: ReadonlyMap<string, number>,
    nowMs: InstantMs,
  ): ReadonlyMap<string, readonly RequestGrant[]> {
    this.dropOutdated(limits, nowMs);
    this.recordPeak(this.reports.size, nowMs);
    const presentShare =
      this.reports.size / Math.max(1, this.reporterPeak(nowMs).count);
    const grants = new Map<string, RequestGrant[]>();
    for (const [targetId, perSecond] of limits) {
      const account = this.accountOf(targetId, nowMs);
      const rate = perSecond * presentShare;
      const elapsedMs = Math.max(0, nowMs - account.updatedMs);
      const cap = 1 + (rate * MAX_SAVED_MS) / 1000;
      const earned = (rate * elapsedMs) / 1000;
      const saved = account.available + earned + takeRepeated(account, earned);
      const available = Math.min(saved, cap);
      const count = Math.floor(available);
      account.updatedMs = nowMs;
      account.available = available - count;
      for (const [host, granted] of this.divideByDemand(
        targetId,
        count,
        account,
      )) {
        const list = grants.get(host) ?? [];
        list.push({targetId, count: granted});
        grants.set(host, list);
      }
    }
    return grants;
  }

  /** Divides requests by demand; a remainder counts for the next time. */
  private divideByDemand(
    targetId: string,
    count: number,
    {credits}: TargetAccount,
  ): ReadonlyMap<string, number> {
    const granted = new Map<string, number>();
    const demands: (readonly [string, number])[] = [];
    let total = 0;
    for (const [host, report] of this.reports) {
      const demand = report.demands.get(targetId) ?? 0;
      if (demand > 0) {
        demands.push([host, demand]);
        total += demand;
      }
    }
    if (count === 0 || total === 0) {
      return granted;
    }
    for (const [host, demand] of demands) {
      const credit = (credits.get(host) ?? 0) + (count * demand) / total;
      credits.set(host, Math.min(credit, MAX_CREDIT + count));
    }
    for (let index = 0; index < count; index += 1) {
      let best = demands[0]?.[0] ?? '';
      for (const [host] of demands) {
        if ((credits.get(host) ?? 0) > (credits.get(best) ?? 0)) {
          best = host;
        }
      }
      credits.set(best, (credits.get(best) ?? 0) - 1);
      granted.set(best, (granted.get(best) ?? 0) + 1);
    }
    return granted;
  }

  private accountOf(targetId: string, nowMs: InstantMs): TargetAccount {
    let account = this.accounts.get(targetId);
    if (account === undefined) {
      account = {
        available: 0,
        lapsed: 0,
        repeatable: 0,
        updatedMs: nowMs,
        credits: new Map(),
      };
      this.accounts.set(targetId, account);
    }
    return account;
  }

  private dropOutdated(
    limits: ReadonlyMap<string, number>,
    nowMs: InstantMs,
  ): void {
    for (const [host, {reportedMs}] of this.reports) {
      if (nowMs - reportedMs > REPORT_TTL_MS) {
        this.reports.delete(host);
        this.accounts.forEach(({credits}) => credits.delete(host));
      }
    }
    for (const targetId of this.accounts.keys()) {
      if (!limits.has(targetId)) {
        this.accounts.delete(targetId);
      }
    }
  }

  private recordPeak(count: number, seenMs: InstantMs): void {
    const isCovered = this.peaks.some(
      peak => peak.count >= count && peak.seenMs >= seenMs,
    );
    if (!isCovered) {
      this.peaks = this.peaks.filter(
        peak => peak.count > count || peak.seenMs > seenMs,
      );
      this.peaks.push({count, seenMs});
    }
  }
}

/** Takes lapsed grants that may be handed out again from an account. */
function takeRepeated(account: TargetAccount, earned: number): number {
  const repeatable = account.repeatable + earned * MAX_REPEATED_SHARE;
  account.repeatable = Math.min(1, repeatable);
  const count = Math.min(account.repeatable, account.lapsed);
  account.repeatable -= count;
  // What could not be handed out again in time is gone.
  account.lapsed = Math.min(1, account.lapsed - count);
  return count;
}
