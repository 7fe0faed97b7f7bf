/**
 * Exchange of target loads, attempt outcomes and crash implications between
 * VMs.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {
  Dispatch,
  FleetMessage,
  FleetNode,
  Heartbeat,
  Implication,
  LoadTable,
  OutcomeCount,
  OutcomeReport,
  TargetLoadReport,
} from '../fleet/index.js';
import type {LoadBoard} from '../load/index.js';
import {IMPLICATION_TTL_MS, type CrashQuarantine} from '../recovery/index.js';
import type {TargetReachability} from '../relay/index.js';
import type {KnownTarget} from '../registry/index.js';

/**
 * Shortest interval of load tables within a failure domain, in milliseconds.
 */
const MIN_TABLE_INTERVAL_MS = 200;

/** Encoded size of one report in a load table, in bytes. */
const REPORT_BYTES = 26;

/**
 * Most bytes of load tables that a member receives per second. Above that,
 * tables list only targets to avoid, and VMs learn loads by the probes that they
 * send before a request.
 */
const MAX_TABLE_BYTES_PER_SECOND = 6_000;

/** Interval of tables that list only targets to avoid, in milliseconds. */
const AVOIDED_TABLE_INTERVAL_MS = 400;

/** Failure share from which on a target is listed as one to avoid. */
const MIN_AVOIDED_FAILURE_SHARE = 0.1;

/** Most reports in one message, which keeps it within a datagram. */
const MAX_REPORTS_PER_MESSAGE = 100;

/** Share of the VM's link bandwidth that load tables may use. */
const TABLE_LINK_SHARE = 0.08;

/** Interval of load tables between failure domains, in milliseconds. */
const CROSS_DOMAIN_TABLE_INTERVAL_MS = 300;

/** Interval of outcome reports to the domain heads, in milliseconds. */
const OUTCOME_INTERVAL_MS = 200;

/** Shortest interval of periodic probes of one target, in milliseconds. */
const PROBE_INTERVAL_MS = 200;

/** Most periodic probes of a head per second, however large its domain. */
const MAX_PERIODIC_PROBES_PER_SECOND = 100;

/**
 * Time without a load table of the acting head, in milliseconds, after which
 * the standby takes over.
 */
const HEAD_TIMEOUT_MS = 600;

/** Most implications in one message. */
const MAX_IMPLICATIONS = 40;

/** Interval at which the digest of the quarantine is computed. */
const DIGEST_INTERVAL_MS = 200;

/** Shortest interval at which the quarantine is sent to one peer. */
const MIN_REPAIR_INTERVAL_MS = 400;

/** Hexadecimal digits of a digest. */
const DIGEST_LENGTH = 8;

/** Options of {@link LoadSharing}. */
export interface LoadSharingOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly fleet: FleetNode;
  readonly board: LoadBoard;
  readonly quarantine: CrashQuarantine;
  readonly reachability: TargetReachability;
  /** Most probes of one target per second, by the whole fleet. */
  readonly maxProbesPerSecond: number;
  /** Bandwidth of the VM's network link, in megabits per second. */
  readonly linkMbitPerSecond: number;
}

/** Messages to send and targets to probe after a tick. */
export interface SharingActions {
  readonly dispatches: readonly Dispatch[];
  readonly probes: readonly KnownTarget[];
}

/**
 * Distributes target loads through the fleet. The acting head of a failure
 * domain probes the domain's targets, sends their loads to the acting heads of
 * other domains, and sends all known loads to the members of its own domain.
 * Thus each target is probed by one VM, and every VM has every load. In a large
 * fleet, tables list only targets that fail or cannot be reached, so that their
 * size does not grow with the number of targets.
 */
export class LoadSharing {
  private nextTableMs: InstantMs = 0;
  private nextCrossDomainTableMs: InstantMs = 0;
  private nextOutcomesMs: InstantMs = 0;
  private lastLocalTableMs: InstantMs = 0;
  private readonly lastProbeMs = new Map<string, InstantMs>();
  private readonly seenImplications = new Set<string>();
  private quarantineDigest = 0;
  private nextDigestMs: InstantMs = 0;
  private repairCount = 0;
  /** Instant at which the quarantine was last sent to a peer, by its host. */
  private readonly lastRepairMs = new Map<string, InstantMs>();

  /** @param options - identity of this VM, fleet, load board and quarantine */
  constructor(private readonly options: LoadSharingOptions) {}

  /**
   * Collects the messages and probes that are due.
   *
   * @param targets - registered targets by id
   * @param nowMs - current instant in milliseconds
   * @returns messages to send and targets to probe
   */
  onTick(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): SharingActions {
    const dispatches: Dispatch[] = [];
    const {reachability} = this.options;
    this.updateQuarantineDigest(nowMs);
    // The failures that this VM sees may be those of its own links.
    if (!reachability.isSuspect) {
      this.addOutcomeReports(dispatches, nowMs);
    }
    this.addImplicationReport(dispatches, nowMs);
    if (!this.observesDomain(nowMs)) {
      return {dispatches, probes: []};
    }
    if (!reachability.isSuspect) {
      this.addDueTables(dispatches, nowMs);
    }
    return {dispatches, probes: this.takeDueProbes(targets, nowMs)};
  }

  /**
   * Merges a message of another VM.
   *
   * @param message - received message
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onMessage(message: FleetMessage, nowMs: InstantMs): readonly Dispatch[] {
    switch (message.type) {
      case 'load':
        this.onTable(message, nowMs);
        return [];
      case 'outcomes':
        return this.onReport(message, nowMs);
      case 'heartbeat':
        return this.onHeartbeat(message, nowMs);
      default:
        return [];
    }
  }

  /**
   * Merges a load table into the board.
   *
   * @param table - table of the acting head of a failure domain
   * @param nowMs - current instant in milliseconds
   */
  onTable(table: LoadTable, nowMs: InstantMs): void {
    const {board, failureDomain} = this.options;
    if (!table.sender.reachesTargets) {
      return;
    }
    for (const report of table.reports) {
      board.onPeerReport(report, nowMs);
    }
    if (table.sender.failureDomain === failureDomain) {
      this.lastLocalTableMs = nowMs;
    }
  }

  /**
   * Merges outcomes and implications of another VM. A head forwards new
   * implications to the members of its failure domain.
   *
   * @param report - report of the other VM
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onReport(report: OutcomeReport, nowMs: InstantMs): readonly Dispatch[] {
    const {board, fleet, quarantine} = this.options;
    if (report.sender.reachesTargets) {
      for (const outcome of report.outcomes) {
        board.onPeerOutcomes(outcome, nowMs);
      }
    }
    for (const implication of report.implications) {
      const {fingerprint, targetId} = implication;
      quarantine.onPeerImplication(fingerprint, targetId, nowMs, implication);
    }
    for (const fingerprint of report.clearedFingerprints) {
      quarantine.onPeerCleared(fingerprint, nowMs);
    }
    const unseen = report.implications.filter(
      each => !this.checkAndMarkSeen(keyOf(each)),
    );
    const unseenCleared = report.clearedFingerprints.filter(
      each => !this.checkAndMarkSeen(each),
    );
    if (unseen.length + unseenCleared.length === 0 || !fleet.isHead) {
      return [];
    }
    const hosts = fleet.roles.localPeers;
    return [this.createImplicationReport(hosts, unseen, unseenCleared)];
  }

  /**
   * Compares the quarantine of a peer with that of this VM, and sends what the
   * peer may have missed: it may have started later, or been cut off.
   */
  private onHeartbeat(
    {sender, quarantineDigest}: Heartbeat,
    nowMs: InstantMs,
  ): readonly Dispatch[] {
    const {quarantine} = this.options;
    const {host} = sender;
    const sentMs = this.lastRepairMs.get(host) ?? -Infinity;
    const isDue = nowMs - sentMs >= MIN_REPAIR_INTERVAL_MS;
    if (quarantineDigest === this.quarantineDigest || !isDue) {
      return [];
    }
    const implications: Implication[] = [];
    for (const each of quarantine.quarantined(nowMs)) {
      for (const targetId of each.targetIds) {
        const {fingerprint, expiresMs} = each;
        const remainingMs = expiresMs - nowMs;
        implications.push({fingerprint, targetId, remainingMs});
      }
    }
    const cleared = [...quarantine.implications(nowMs)].flatMap(
      ([fingerprint, targetIds]) => (targetIds.length === 0 ? fingerprint : []),
    );
    if (implications.length + cleared.length === 0) {
      return [];
    }
    this.lastRepairMs.set(host, nowMs);
    return [
      this.createImplicationReport(
        [host],
        this.nextPart(implications),
        cleared.slice(-MAX_IMPLICATIONS),
      ),
    ];
  }

  /** Returns a part that fits a message; further calls return other parts. */
  private nextPart(all: readonly Implication[]): readonly Implication[] {
    const partCount = Math.ceil(all.length / MAX_IMPLICATIONS);
    this.repairCount += 1;
    const start =
      (this.repairCount % Math.max(1, partCount)) * MAX_IMPLICATIONS;
    return all.slice(start, start + MAX_IMPLICATIONS);
  }

  private updateQuarantineDigest(nowMs: InstantMs): void {
    if (nowMs < this.nextDigestMs) {
      return;
    }
    this.nextDigestMs = nowMs + DIGEST_INTERVAL_MS;
    const {fleet, quarantine} = this.options;
    const fingerprints = quarantine
      .quarantined(nowMs)
      .map(({fingerprint}) => fingerprint);
    this.quarantineDigest = digestOf(fingerprints);
    fleet.setQuarantineDigest(this.quarantineDigest);
    for (const [host, sentMs] of this.lastRepairMs) {
      if (nowMs - sentMs >= MIN_REPAIR_INTERVAL_MS) {
        this.lastRepairMs.delete(host);
      }
    }
  }

  private get tableBytesPerSecond(): number {
    return (this.options.linkMbitPerSecond * 1e6 * TABLE_LINK_SHARE) / 8;
  }

  /**
   * Reports whether this VM is the acting head, or the standby of one whose
   * load tables have stopped.
   */
  actsAsHead(nowMs: InstantMs): boolean {
    const {fleet} = this.options;
    return (
      fleet.isActingHead ||
      (fleet.isHead && nowMs - this.lastLocalTableMs > HEAD_TIMEOUT_MS)
    );
  }

  /** Reports whether this VM probes the targets of its failure domain. */
  private observesDomain(nowMs: InstantMs): boolean {
    const {fleet, reachability} = this.options;
    const isObserver =
      this.actsAsHead(nowMs) || fleet.isSubstituteObserver(nowMs);
    return isObserver && !reachability.isCutOff;
  }

  private addDueTables(dispatches: Dispatch[], nowMs: InstantMs): void {
    const {fleet, board, failureDomain} = this.options;
    if (nowMs >= this.nextTableMs) {
      const {reports, minIntervalMs} = this.tableFor(
        board.reports(undefined, nowMs),
      );
      const hosts = fleet.roles.localPeers;
      this.addTableDispatches(dispatches, hosts, reports);
      if (reports.length === 0) {
        // Tells the standby that this head is alive.
        const heads = fleet.roles.localHeads.filter(
          host => host !== this.options.host,
        );
        this.addTableDispatch(dispatches, heads, []);
      }
      const bytes = hosts.length * reports.length * REPORT_BYTES;
      const budgetIntervalMs = (bytes * 1000) / this.tableBytesPerSecond;
      this.nextTableMs = nowMs + Math.max(minIntervalMs, budgetIntervalMs);
    }
    if (nowMs >= this.nextCrossDomainTableMs) {
      this.nextCrossDomainTableMs = nowMs + CROSS_DOMAIN_TABLE_INTERVAL_MS;
      const actingHeadHosts = fleet.roles.otherHeads.flatMap(({hosts}) =>
        hosts.slice(0, 1),
      );
      const domainReports = board.reports(failureDomain, nowMs);
      const {reports} = this.tableFor(domainReports);
      this.addTableDispatches(dispatches, actingHeadHosts, reports);
    }
  }

  /** Selects the reports of a table, and its shortest interval, by its size. */
  private tableFor(all: readonly TargetLoadReport[]): {
    readonly reports: readonly TargetLoadReport[];
    readonly minIntervalMs: number;
  } {
    const bytesPerSecond =
      (all.length * REPORT_BYTES * 1000) / MIN_TABLE_INTERVAL_MS;
    if (bytesPerSecond <= MAX_TABLE_BYTES_PER_SECOND) {
      return {reports: all, minIntervalMs: MIN_TABLE_INTERVAL_MS};
    }
    const reports = all.filter(
      ({isReachable, failureShare}) =>
        !isReachable || failureShare >= MIN_AVOIDED_FAILURE_SHARE,
    );
    return {reports, minIntervalMs: AVOIDED_TABLE_INTERVAL_MS};
  }

  private addTableDispatches(
    dispatches: Dispatch[],
    hosts: readonly string[],
    reports: readonly TargetLoadReport[],
  ): void {
    for (let i = 0; i < reports.length; i += MAX_REPORTS_PER_MESSAGE) {
      const part = reports.slice(i, i + MAX_REPORTS_PER_MESSAGE);
      this.addTableDispatch(dispatches, hosts, part);
    }
  }

  private addTableDispatch(
    dispatches: Dispatch[],
    hosts: readonly string[],
    reports: readonly TargetLoadReport[],
  ): void {
    const {fleet} = this.options;
    if (hosts.length === 0) {
      return;
    }
    dispatches.push({
      hosts,
      message: {
        type: 'load',
        sender: fleet.reportSelf(),
        reports,
      },
    });
  }

  private takeDueProbes(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): readonly KnownTarget[] {
    const {board, failureDomain, maxProbesPerSecond} = this.options;
    const probed = [...targets.values()].filter(
      target =>
        target.failureDomain === failureDomain &&
        !board.isClosed(target.targetId),
    );
    const intervalMs = Math.max(
      PROBE_INTERVAL_MS,
      2_000 / maxProbesPerSecond,
      (probed.length * 1000) / MAX_PERIODIC_PROBES_PER_SECOND,
    );
    const due: KnownTarget[] = [];
    for (const target of probed) {
      const lastMs = this.lastProbeMs.get(target.targetId) ?? -Infinity;
      if (nowMs - lastMs >= intervalMs) {
        this.lastProbeMs.set(target.targetId, nowMs);
        due.push(target);
      }
    }
    this.pruneProbeTimes(targets);
    return due;
  }

  private pruneProbeTimes(targets: ReadonlyMap<string, KnownTarget>): void {
    for (const targetId of this.lastProbeMs.keys()) {
      if (!targets.has(targetId)) {
        this.lastProbeMs.delete(targetId);
      }
    }
  }

  /** Reports attempt outcomes to the head of each target's failure domain. */
  private addOutcomeReports(dispatches: Dispatch[], nowMs: InstantMs): void {
    if (nowMs < this.nextOutcomesMs) {
      return;
    }
    this.nextOutcomesMs = nowMs + OUTCOME_INTERVAL_MS;
    const {board, fleet, host, failureDomain} = this.options;
    const byDomain = new Map<string, OutcomeCount[]>();
    for (const outcome of board.takeOutcomes()) {
      const domain = board.target(outcome.targetId)?.failureDomain;
      if (domain !== undefined) {
        const outcomes = byDomain.get(domain) ?? [];
        outcomes.push(outcome);
        byDomain.set(domain, outcomes);
      }
    }
    const heads = [
      {failureDomain, hosts: fleet.roles.localHeads},
      ...fleet.roles.otherHeads,
    ];
    for (const {failureDomain: domain, hosts} of heads) {
      const outcomes = byDomain.get(domain);
      const receivers = hosts.slice(0, 1).filter(each => each !== host);
      if (outcomes !== undefined && receivers.length > 0) {
        const sender = fleet.reportSelf();
        const message = {
          sender,
          outcomes,
          implications: [],
          clearedFingerprints: [],
        };
        dispatches.push({
          hosts: receivers,
          message: {type: 'outcomes', ...message},
        });
      }
    }
  }

  /**
   * Reports new implications, that is requests in flight at a crash, to all
   * heads without waiting for the report interval.
   */
  private addImplicationReport(dispatches: Dispatch[], nowMs: InstantMs): void {
    const {fleet, quarantine} = this.options;
    const unseen: Implication[] = [];
    const cleared: string[] = [];
    for (const [fingerprint, targetIds] of quarantine.implications(nowMs)) {
      if (unseen.length + cleared.length >= MAX_IMPLICATIONS) {
        break;
      }
      if (targetIds.length === 0 && !this.checkAndMarkSeen(fingerprint)) {
        cleared.push(fingerprint);
      }
      for (const targetId of targetIds) {
        const remainingMs = IMPLICATION_TTL_MS;
        const implication = {fingerprint, targetId, remainingMs};
        if (!this.checkAndMarkSeen(keyOf(implication))) {
          this.seenImplications.delete(fingerprint);
          unseen.push(implication);
        }
      }
    }
    const hosts = [
      ...fleet.roles.localHeads,
      ...fleet.roles.otherHeads.flatMap(each => each.hosts),
      ...(fleet.isHead ? fleet.roles.localPeers : []),
    ].filter(each => each !== this.options.host);
    if (unseen.length + cleared.length > 0 && hosts.length > 0) {
      dispatches.push(
        this.createImplicationReport([...new Set(hosts)], unseen, cleared),
      );
    }
  }

  /** Records a key and returns whether it had been recorded before. */
  private checkAndMarkSeen(key: string): boolean {
    if (this.seenImplications.has(key)) {
      return true;
    }
    this.seenImplications.add(key);
    const [oldest] = this.seenImplications;
    if (this.seenImplications.size > 5_000 && oldest !== undefined) {
      this.seenImplications.delete(oldest);
    }
    return false;
  }

  private createImplicationReport(
    hosts: readonly string[],
    implications: readonly Implication[],
    clearedFingerprints: readonly string[],
  ): Dispatch {
    const sender = this.options.fleet.reportSelf();
    const message = {sender, outcomes: [], implications, clearedFingerprints};
    return {hosts, message: {type: 'outcomes', ...message}};
  }
}

function keyOf({fingerprint, targetId}: Implication): string {
  return `${fingerprint}@${targetId}`;
}

/** Returns a number that is equal for equal sets, and 0 for none. */
function digestOf(fingerprints: readonly string[]): number {
  if (fingerprints.length === 0) {
    return 0;
  }
  const text = [...fingerprints].sort().join(' ');
  return Number.parseInt(hashText(text).slice(0, DIGEST_LENGTH), 16);
}
