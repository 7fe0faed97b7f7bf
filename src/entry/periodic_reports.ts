/**
 * Log lines and metrics that a VM writes at intervals.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {FleetRoles} from '../fleet/index.js';
import type {EntryParts} from './entry_parts.js';

/** Interval at which granted rates are logged and shown, in milliseconds. */
const GRANTED_RATES_INTERVAL_MS = 5_000;

/** Interval at which counts of carried and refused requests are logged. */
const COUNTS_INTERVAL_MS = 5_000;

/** Most peers in one log line. */
const MAX_LISTED_PEERS = 20;

/** Most limited targets in one log line. */
const MAX_LISTED_RATES = 20;

/** Parts whose state is reported. */
export type ReportedParts = Pick<
  EntryParts,
  | 'budget'
  | 'fleet'
  | 'grants'
  | 'limits'
  | 'log'
  | 'metrics'
  | 'protections'
  | 'relays'
>;

/** Reports roles, limits, and counts of carried and refused requests. */
export class PeriodicReports {
  private lastRoles: FleetRoles | undefined;
  private lastLoggedRoles = '';
  private nextGrantedRatesMs: InstantMs = 0;
  private nextCountsMs: InstantMs = 0;

  /** @param parts - parts whose state is reported */
  constructor(private readonly parts: ReportedParts) {}

  /** Writes what is due or has changed. */
  onTick(nowMs: InstantMs): void {
    this.logRoles();
    this.logLimits(nowMs);
    if (nowMs >= this.nextCountsMs) {
      this.nextCountsMs = nowMs + COUNTS_INTERVAL_MS;
      this.logCarriedCounts();
      this.logProtections();
    }
  }

  private logCarriedCounts(): void {
    const counts = [...this.parts.relays.peers.takeCarriedCounts()];
    if (counts.length > 0) {
      const listed = counts.slice(0, MAX_LISTED_PEERS);
      const perPeer = listed.map(([host, count]) => `${host} ${count}`);
      const total = counts.reduce((sum, [, count]) => sum + count, 0);
      const fields = {total, peers: perPeer.join(', ')};
      this.parts.log.warn('targets', 'requests carried by peers', fields);
    }
  }

  private logProtections(): void {
    const {protections, budget, log} = this.parts;
    const counts = protections.take();
    if (counts !== undefined) {
      const {usedBytes: heldBytes, capacityBytes: maxHeldBytes} = budget;
      const fields = {counts, heldBytes, maxHeldBytes};
      log.warn('callers', 'refused or closed to protect the process', fields);
    }
  }

  private logLimits(nowMs: number): void {
    const {limits, log, metrics} = this.parts;
    for (const {targetId, perSecond} of limits.onTick(nowMs)) {
      metrics.setTargetLimit(targetId, perSecond);
      if (perSecond > 0) {
        log.warn('limits', 'target limited', {targetId, perSecond});
      } else {
        log.warn('limits', 'target no longer limited', {targetId});
      }
    }
    if (nowMs >= this.nextGrantedRatesMs) {
      this.reportGrantedRates(nowMs);
    }
  }

  /** Shows what this VM may send to each limited target. */
  private reportGrantedRates(nowMs: number): void {
    const {grants, log, metrics} = this.parts;
    this.nextGrantedRatesMs = nowMs + GRANTED_RATES_INTERVAL_MS;
    const rates = new Map<string, number>();
    for (const [targetId, count] of grants.takeGrantedCounts()) {
      rates.set(targetId, (count * 1000) / GRANTED_RATES_INTERVAL_MS);
    }
    metrics.setGrantedRates(rates);
    if (rates.size > 0) {
      const listed = [...rates].slice(0, MAX_LISTED_RATES);
      const perSecond = listed.map(([id, rate]) => `${id} ${rate}`).join(', ');
      const fields = {targetCount: rates.size, perSecond};
      log.warn('limits', 'granted', fields);
    }
  }

  private logRoles(): void {
    const {roles} = this.parts.fleet;
    if (roles === this.lastRoles) {
      return;
    }
    this.lastRoles = roles;
    const fields = {
      heads: roles.localHeads.join(' '),
      readers: roles.readers.join(' '),
      domainSize: roles.localPeers.length + 1,
    };
    const text = JSON.stringify(fields);
    if (text !== this.lastLoggedRoles) {
      this.lastLoggedRoles = text;
      this.parts.log.info('fleet', 'roles changed', fields);
    }
  }
}
