/**
 * Publication of facts to peers.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {TargetStatus} from '../routing/index.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState, ServiceTarget} from './service_state.js';

/** Minimum time between two publications; equals the gossip interval. */
const PUBLISH_INTERVAL_MS = 250;

/**
 * Minimum time between two reports of one target by one VM. The 3 responsible
 * VMs of a target then publish 3 reports per second, whatever the probe budget:
 * the results of all probes would take 30 KB/s at 24 VMs; the limit is 12 KB/s.
 */
const REPORT_INTERVAL_MS = 1_000;

/** Value that deletes a fact. */
const DELETED = '';

/**
 * Publishes load reports, drain signals and crash implications when they
 * change, and records changes of target health as events. In-flight counts of
 * this VM are not published: at their age on arrival they changed no latency.
 *
 * @internal
 */
export class FactPublisher {
  private publishedMs: InstantMs | undefined;
  private published = new Map<string, string>();
  private readonly reportMeasuredMs = new Map<string, InstantMs>();
  private lastStatuses = new Map<string, TargetStatus>();

  constructor(private readonly context: EngineContext) {}

  /** Publishes changed facts, at most every 250 ms unless one is urgent. */
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
      this.recordStatusChange(status);
    }
    for (const target of service.targets.values()) {
      this.collectReport(target, facts, nowMs);
      collectDrainSignal(target, statuses.get(target.targetId), facts);
    }
  }

  /**
   * Adds the latest report of a target from a probe of this VM. Its age is part
   * of the value and is therefore computed only once for each report. A drain
   * flag in the report is published as a separate fact.
   */
  private collectReport(
    target: ServiceTarget,
    facts: Map<string, string>,
    nowMs: InstantMs,
  ): void {
    const report = target.lastProbeReport;
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
    // A newer report with the same value must be published again.
    this.published.delete(key);
    const ageMs = Math.max(0, Math.round(nowMs - report.measuredMs));
    facts.set(key, JSON.stringify([report.inFlight, ageMs]));
  }

  private recordStatusChange(status: TargetStatus): void {
    const {targetId, health, draining} = status;
    const last = this.lastStatuses.get(targetId);
    if (last !== undefined && last.health !== health) {
      const details = {targetId, from: last.health, to: health};
      this.context.emitEvent('target', 'target-health', details);
    }
    if (draining && last?.draining !== true) {
      this.context.emitEvent('target', 'target-draining', {targetId});
    }
  }
}

/**
 * Adds the drain signal that this VM observed at a target. The signal ends when
 * a newer VM list has cleared the drain flag in the pool.
 */
function collectDrainSignal(
  target: ServiceTarget,
  status: TargetStatus | undefined,
  facts: Map<string, string>,
): void {
  if (status?.draining === false) {
    target.ownDrainSignal = undefined;
  }
  if (target.ownDrainSignal !== undefined) {
    const value = JSON.stringify({signal: target.ownDrainSignal});
    facts.set(`drain/${target.targetId}`, value);
  }
}
