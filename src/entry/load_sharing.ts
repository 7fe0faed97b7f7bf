/**
 * Sharing of loads, outcomes and implications between VMs.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {
  Dispatch,
  FleetNode,
  Implication,
  LoadTable,
  OutcomeCount,
  OutcomeReport,
  TargetObservation,
} from '../fleet/index.js';
import type {LoadBoard} from '../load/index.js';
import type {CrashQuarantine} from '../recovery/index.js';
import type {KnownTarget} from '../registry/index.js';

/** Least interval of load tables within a failure domain. */
const TABLE_INTERVAL_MS = 200;

/** Bytes of one observation in a table. */
const OBSERVATION_BYTES = 26;

/** Part of the VM's link that load tables may take. */
const TABLE_LINK_SHARE = 0.08;

/** Least interval of load tables between failure domains. */
const CROSS_TABLE_INTERVAL_MS = 300;

/** Interval of outcome reports to the heads. */
const OUTCOME_INTERVAL_MS = 200;

/** Interval of probes of one target. */
const PROBE_INTERVAL_MS = 200;

/** Silence of the acting head after which the standby takes over. */
const HEAD_SILENCE_MS = 600;

/** Implications in one message at most. */
const MAX_IMPLICATIONS = 40;

/** Options of {@link LoadSharing}. */
export interface LoadSharingOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly fleet: FleetNode;
  readonly board: LoadBoard;
  readonly quarantine: CrashQuarantine;
  /** Greatest number of probes of one target for each second. */
  readonly maxProbesPerSecond: number;
  /** Bandwidth of the VM's link. */
  readonly linkMbitPerSecond: number;
}

/** What a tick asks of the adapters. */
export interface SharingWork {
  readonly dispatches: readonly Dispatch[];
  readonly probes: readonly KnownTarget[];
}

/**
 * The acting head of a failure domain probes its targets and sends their loads
 * to the other acting heads, and all that it knows to its members. So each
 * target is probed by one VM, and every VM knows every load.
 */
export class LoadSharing {
  private nextTableMs: InstantMs = 0;
  private nextCrossTableMs: InstantMs = 0;
  private nextOutcomesMs: InstantMs = 0;
  private ownTableMs: InstantMs = 0;
  private readonly probedMs = new Map<string, InstantMs>();
  private readonly announced = new Set<string>();

  /** @param options - identity and the tables to share */
  constructor(private readonly options: LoadSharingOptions) {}

  /**
   * Advances time.
   *
   * @param targets - registered targets
   * @param nowMs - current instant in milliseconds
   * @returns messages to send and targets to probe
   */
  onTick(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): SharingWork {
    const dispatches: Dispatch[] = [];
    this.reportOutcomes(dispatches, nowMs);
    this.announceImplications(dispatches, nowMs);
    if (!this.isProber(nowMs)) {
      return {dispatches, probes: []};
    }
    this.sendTables(dispatches, nowMs);
    return {dispatches, probes: this.dueProbes(targets, nowMs)};
  }

  /**
   * Takes in a load table.
   *
   * @param table - table of the acting head of a failure domain
   * @param nowMs - current instant in milliseconds
   */
  onTable(table: LoadTable, nowMs: InstantMs): void {
    const {board, failureDomain} = this.options;
    for (const observation of table.observations) {
      board.onObservation(observation, nowMs);
    }
    if (table.sender.failureDomain === failureDomain) {
      this.ownTableMs = nowMs;
    }
  }

  /**
   * Takes in outcomes and implications of another VM.
   *
   * @param report - report of the VM
   * @param nowMs - current instant in milliseconds
   * @returns messages to send
   */
  onReport(report: OutcomeReport, nowMs: InstantMs): readonly Dispatch[] {
    const {board, fleet, quarantine} = this.options;
    for (const outcome of report.outcomes) {
      board.onPeerOutcomes(outcome, nowMs);
    }
    const fresh = report.implications.filter(each => !this.isKnown(each));
    for (const {fingerprint, targetId} of fresh) {
      quarantine.onPeerImplication(fingerprint, targetId, nowMs);
    }
    if (fresh.length === 0 || !fleet.isHead) {
      return [];
    }
    return [this.implicationReport(fleet.heads.ownDomainHosts, fresh)];
  }

  private get tableBytesPerSecond(): number {
    return (this.options.linkMbitPerSecond * 1e6 * TABLE_LINK_SHARE) / 8;
  }

  /** The acting head, or the standby while the acting head is silent. */
  private isProber(nowMs: InstantMs): boolean {
    const {fleet} = this.options;
    return (
      fleet.isActingHead ||
      (fleet.isHead && nowMs - this.ownTableMs > HEAD_SILENCE_MS)
    );
  }

  private sendTables(dispatches: Dispatch[], nowMs: InstantMs): void {
    const {fleet, board, failureDomain} = this.options;
    if (nowMs >= this.nextTableMs) {
      const all = board.observations(undefined, nowMs);
      const hosts = fleet.heads.ownDomainHosts;
      this.addTable(dispatches, hosts, all);
      const bytes = hosts.length * all.length * OBSERVATION_BYTES;
      const paceMs = (bytes * 1000) / this.tableBytesPerSecond;
      this.nextTableMs = nowMs + Math.max(TABLE_INTERVAL_MS, paceMs);
    }
    if (nowMs >= this.nextCrossTableMs) {
      this.nextCrossTableMs = nowMs + CROSS_TABLE_INTERVAL_MS;
      const first = fleet.heads.otherHeads.flatMap(({hosts}) =>
        hosts.slice(0, 1),
      );
      const own = board.observations(failureDomain, nowMs);
      this.addTable(dispatches, first, own);
    }
  }

  private addTable(
    dispatches: Dispatch[],
    hosts: readonly string[],
    observations: readonly TargetObservation[],
  ): void {
    const {fleet} = this.options;
    if (hosts.length === 0 || observations.length === 0) {
      return;
    }
    dispatches.push({
      hosts,
      message: {
        type: 'load',
        sender: fleet.reportSelf(),
        observations,
      },
    });
  }

  private dueProbes(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): readonly KnownTarget[] {
    const {failureDomain, maxProbesPerSecond} = this.options;
    const intervalMs = Math.max(PROBE_INTERVAL_MS, 2_000 / maxProbesPerSecond);
    const due: KnownTarget[] = [];
    for (const target of targets.values()) {
      const probedMs = this.probedMs.get(target.targetId) ?? -Infinity;
      const isOwn = target.failureDomain === failureDomain;
      if (isOwn && !target.draining && nowMs - probedMs >= intervalMs) {
        this.probedMs.set(target.targetId, nowMs);
        due.push(target);
      }
    }
    this.forgetProbes(targets);
    return due;
  }

  private forgetProbes(targets: ReadonlyMap<string, KnownTarget>): void {
    for (const targetId of this.probedMs.keys()) {
      if (!targets.has(targetId)) {
        this.probedMs.delete(targetId);
      }
    }
  }

  /** Tells the head of each target's failure domain how attempts ended. */
  private reportOutcomes(dispatches: Dispatch[], nowMs: InstantMs): void {
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
      {failureDomain, hosts: fleet.heads.ownHeads},
      ...fleet.heads.otherHeads,
    ];
    for (const {failureDomain: domain, hosts} of heads) {
      const outcomes = byDomain.get(domain);
      const receivers = hosts.slice(0, 1).filter(each => each !== host);
      if (outcomes !== undefined && receivers.length > 0) {
        const sender = fleet.reportSelf();
        const message = {sender, outcomes, implications: []};
        dispatches.push({
          hosts: receivers,
          message: {type: 'outcomes', ...message},
        });
      }
    }
  }

  /** Tells all heads at once which requests were in flight at crashes. */
  private announceImplications(dispatches: Dispatch[], nowMs: InstantMs): void {
    const {fleet, quarantine} = this.options;
    const fresh: Implication[] = [];
    for (const [fingerprint, targetIds] of quarantine.implications(nowMs)) {
      for (const targetId of targetIds) {
        const implication = {fingerprint, targetId};
        if (fresh.length < MAX_IMPLICATIONS && !this.isKnown(implication)) {
          fresh.push(implication);
        }
      }
    }
    const hosts = [
      ...fleet.heads.ownHeads,
      ...fleet.heads.otherHeads.flatMap(each => each.hosts),
      ...(fleet.isHead ? fleet.heads.ownDomainHosts : []),
    ].filter(each => each !== this.options.host);
    if (fresh.length > 0 && hosts.length > 0) {
      dispatches.push(this.implicationReport([...new Set(hosts)], fresh));
    }
  }

  /** Tells whether an implication was seen, and notes that it is now. */
  private isKnown({fingerprint, targetId}: Implication): boolean {
    const key = `${fingerprint}@${targetId}`;
    if (this.announced.has(key)) {
      return true;
    }
    this.announced.add(key);
    const [oldest] = this.announced;
    if (this.announced.size > 5_000 && oldest !== undefined) {
      this.announced.delete(oldest);
    }
    return false;
  }

  private implicationReport(
    hosts: readonly string[],
    implications: readonly Implication[],
  ): Dispatch {
    const sender = this.options.fleet.reportSelf();
    const message = {sender, outcomes: [], implications};
    return {hosts, message: {type: 'outcomes', ...message}};
  }
}
