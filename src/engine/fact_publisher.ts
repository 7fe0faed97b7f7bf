/**
 * Facts that this VM shares with its peers.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {TargetStatus} from '../routing/index.js';
import type {EngineContext} from './engine_context.js';
import type {KnownTarget, ServiceState} from './service_state.js';

/** Least time between two publications; equals the gossip interval. */
const PUBLISH_INTERVAL_MS = 250;

/**
 * Least time between two reports of one target by one VM. The 3 responsible
 * VMs of a target then share 3 reports a second, whatever the probe budget:
 * results of all probes would take 30 KB/s at 24 VMs, against a limit of 12.
 */
const REPORT_INTERVAL_MS = 1_000;

/** Value that deletes a fact. */
const DELETED = '';

/**
 * Publishes reports, drain signs and implications when they changed, and
 * records changes of target health as events. In-flight counts are not
 * published: at the age at which they arrive they changed no latency.
 *
 * @internal
 */
export class FactPublisher {
  private publishedMs: InstantMs | undefined;
  private published = new Map<string, string>();
  private readonly reportMeasuredMs = new Map<string, InstantMs>();
  private lastStatuses = new Map<string, TargetStatus>();

  constructor(private readonly context: EngineContext) {}

  /** Publishes what changed, at most every 250 ms unless it is urgent. */
  publishIfDue(nowMs: InstantMs): void {
    const lastMs = this.publishedMs ?? -Infinity;
    const isDue = nowMs - lastMs >= PUBLISH_INTERVAL_MS;
    if (!isDue && !this.context.hasUrgentFacts) {
      return;
    }
    this.context.hasUrgentFacts = false;
    this.publishedMs = nowMs;
    const facts = this.collect(nowMs);
    for (const [key, value] of facts) {
      if (this.published.get(key) !== value) {
        this.context.emit({type: 'publish', key, value});
      }
    }
    for (const key of this.published.keys()) {
      if (!facts.has(key)) {
        this.context.emit({type: 'publish', key, value: DELETED});
      }
    }
    this.published = facts;
  }

  private collect(nowMs: InstantMs): Map<string, string> {
    const facts = new Map<string, string>();
    const statuses = new Map<string, TargetStatus>();
    for (const service of this.context.services.values()) {
      this.collectService(service, statuses, facts, nowMs);
    }
    this.lastStatuses = statuses;
    const {quarantine} = this.context.options;
    for (const [fingerprint, targets] of quarantine.implications(nowMs)) {
      facts.set(`quarantine/${fingerprint}`, JSON.stringify(targets));
    }
    return facts;
  }

  private collectService(
    service: ServiceState,
    statuses: Map<string, TargetStatus>,
    facts: Map<string, string>,
    nowMs: InstantMs,
  ): void {
    for (const status of service.pool.statuses(nowMs)) {
      statuses.set(status.targetId, status);
      this.recordChange(status);
    }
    for (const target of service.targets.values()) {
      this.collectReport(target, facts, nowMs);
      collectDrain(target, statuses.get(target.targetId), facts);
    }
  }

  /**
   * The age is part of the value, so it is computed once for each report. A
   * drain sign in the report is a fact of its own.
   */
  private collectReport(
    target: KnownTarget,
    facts: Map<string, string>,
    nowMs: InstantMs,
  ): void {
    const report = target.probed;
    if (report === undefined) {
      return;
    }
    const key = `report/${target.targetId}`;
    const old = this.published.get(key);
    const lastMs = this.reportMeasuredMs.get(key) ?? -Infinity;
    const isDue = report.measuredMs - lastMs >= REPORT_INTERVAL_MS;
    if (old !== undefined && !isDue) {
      facts.set(key, old);
      return;
    }
    this.reportMeasuredMs.set(key, report.measuredMs);
    // A newer report may have the same text as the one before.
    this.published.delete(key);
    const ageMs = Math.max(0, Math.round(nowMs - report.measuredMs));
    facts.set(key, JSON.stringify([report.inFlight, ageMs]));
  }

  private recordChange(status: TargetStatus): void {
    const {targetId, health, draining} = status;
    const last = this.lastStatuses.get(targetId);
    if (last !== undefined && last.health !== health) {
      const details = {targetId, from: last.health, to: health};
      this.context.event('target', 'target-health', details);
    }
    if (draining && last?.draining !== true) {
      this.context.event('target', 'target-draining', {targetId});
    }
  }
}

/** A sign ends when a newer VM list has cleared the flag in the pool. */
function collectDrain(
  target: KnownTarget,
  status: TargetStatus | undefined,
  facts: Map<string, string>,
): void {
  if (status?.draining === false) {
    target.drainSeen = undefined;
  }
  if (target.drainSeen !== undefined) {
    const value = JSON.stringify({signal: target.drainSeen});
    facts.set(`drain/${target.targetId}`, value);
  }
}
