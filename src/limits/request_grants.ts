/**
 * Requests that this VM may send to targets that name a limit.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {LimitDemand} from './grant_divider.js';
import type {TargetLimits} from './target_limits.js';

/**
 * Time from the first sight of a limit in which requests need no grant, until
 * the first grants can have arrived.
 */
const FIRST_GRANT_MS = 400;

/** Time without a limit after which the next one counts as a first sight. */
const FORGET_MS = 10_000;

/** Weight of one grant in the share of used ones. */
const USE_GAIN = 0.2;

/** Least share of used grants, so that a VM can win back its part. */
const MIN_USED_SHARE = 0.1;

/** Time constant of the demand for a service, in milliseconds. */
const DEMAND_PERIOD_MS = 1_000;

interface Grant {
  count: number;
  readonly expiresMs: InstantMs;
}

interface TargetGrants {
  readonly firstSeenMs: InstantMs;
  lastLimitedMs: InstantMs;
  grants: Grant[];
  /** Share of the grants of this VM that it uses. */
  usedShare: number;
  lapsedCount: number;
  /** Grants since the last summary. */
  grantedCount: number;
}

interface ServiceDemand {
  perSecond: number;
  updatedMs: InstantMs;
}

/** Counts the granted requests of one VM and its demand. */
export class RequestGrants {
  private readonly targets = new Map<string, TargetGrants>();
  private readonly services = new Map<string, ServiceDemand>();

  /** @param limits - limits of the targets, as known to this VM */
  constructor(private readonly limits: TargetLimits) {}

  /** Counts a request of a caller to a service. */
  onRequest(service: string, nowMs: InstantMs): void {
    const demand = this.demandOf(service, nowMs);
    demand.perSecond += 1000 / DEMAND_PERIOD_MS;
  }

  /**
   * Returns whether a request may be sent to a target now.
   *
   * @param targetId - id of the target
   * @param nowMs - current instant in milliseconds
   * @returns false if the target names a limit and no grant is left
   */
  mayBeSent(targetId: string, nowMs: InstantMs): boolean {
    if (this.limits.limitOf(targetId) === undefined) {
      return true;
    }
    const target = this.limitedTarget(targetId, nowMs);
    return (
      nowMs < target.firstSeenMs + FIRST_GRANT_MS || target.grants.length > 0
    );
  }

  /** Uses up a grant, if the target names a limit. */
  onSent(targetId: string, nowMs: InstantMs): void {
    if (this.limits.limitOf(targetId) === undefined) {
      return;
    }
    const target = this.limitedTarget(targetId, nowMs);
    const [first] = target.grants;
    if (first === undefined) {
      return;
    }
    target.usedShare += (1 - target.usedShare) * USE_GAIN;
    first.count -= 1;
    if (first.count === 0) {
      target.grants.shift();
    }
  }

  /**
   * Adds granted requests.
   *
   * @param grant - target, number of requests and instant of expiry
   * @param nowMs - current instant in milliseconds
   */
  onGrant(
    grant: {
      readonly targetId: string;
      readonly count: number;
      readonly expiresMs: InstantMs;
    },
    nowMs: InstantMs,
  ): void {
    const {targetId, expiresMs} = grant;
    const perSecond = this.limits.limitOf(targetId);
    if (perSecond === undefined) {
      return;
    }
    // A corrupt message must not lift the limit.
    const maxCount = Math.ceil((perSecond * (expiresMs - nowMs)) / 1000) + 1;
    const count = Math.min(Math.floor(grant.count), maxCount);
    if (count > 0) {
      const target = this.limitedTarget(targetId, nowMs);
      target.grants.push({count, expiresMs});
      target.grantedCount += count;
    }
  }

  /**
   * Takes the demand of this VM for a limited target, for a report: that of its
   * service, reduced by the grants that the VM does not use.
   *
   * @param target - id and service of the target
   * @param nowMs - current instant in milliseconds
   * @returns requests per second, and the grants that lapsed since the last call
   */
  takeDemand(
    target: {readonly targetId: string; readonly service: string},
    nowMs: InstantMs,
  ): LimitDemand {
    const {targetId, service} = target;
    const grants = this.limitedTarget(targetId, nowMs);
    const {usedShare, lapsedCount} = grants;
    grants.lapsedCount = 0;
    const demand = this.demandOf(service, nowMs).perSecond * usedShare;
    return {targetId, demand, lapsedCount};
  }

  /**
   * Returns the grants that this VM has got since the last call.
   *
   * @returns numbers of requests by target, for limited targets only
   */
  takeGrantedCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const [targetId, target] of this.targets) {
      if (this.limits.limitOf(targetId) !== undefined) {
        counts.set(targetId, target.grantedCount);
      }
      target.grantedCount = 0;
    }
    return counts;
  }

  /** Forgets targets that name no limit any more. */
  onTick(nowMs: InstantMs): void {
    for (const [targetId, {lastLimitedMs}] of this.targets) {
      if (this.limits.limitOf(targetId) !== undefined) {
        this.limitedTarget(targetId, nowMs);
      } else if (nowMs - lastLimitedMs > FORGET_MS) {
        this.targets.delete(targetId);
      }
    }
  }

  private limitedTarget(targetId: string, nowMs: InstantMs): TargetGrants {
    let target = this.targets.get(targetId);
    if (target === undefined) {
      target = {
        firstSeenMs: nowMs,
        lastLimitedMs: nowMs,
        grants: [],
        usedShare: 1,
        lapsedCount: 0,
        grantedCount: 0,
      };
      this.targets.set(targetId, target);
    }
    target.lastLimitedMs = nowMs;
    let [first] = target.grants;
    while (first !== undefined && first.expiresMs <= nowMs) {
      const share = target.usedShare * (1 - USE_GAIN) ** first.count;
      target.usedShare = Math.max(MIN_USED_SHARE, share);
      target.lapsedCount += first.count;
      target.grants.shift();
      [first] = target.grants;
    }
    return target;
  }

  private demandOf(service: string, nowMs: InstantMs): ServiceDemand {
    let demand = this.services.get(service);
    if (demand === undefined) {
      demand = {perSecond: 0, updatedMs: nowMs};
      this.services.set(service, demand);
    }
    const elapsedMs = nowMs - demand.updatedMs;
    demand.perSecond *= Math.exp(-elapsedMs / DEMAND_PERIOD_MS);
    demand.updatedMs = nowMs;
    return demand;
  }
}
