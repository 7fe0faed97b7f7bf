/**
 * Queueing, admission and dispatch of requests.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {canFinish, chooseRejected} from '../limits/index.js';
import type {ActiveRequest} from './active_request.js';
import type {AttemptFlow} from './attempt_flow.js';
import type {Completion} from './completion.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState, ServiceTarget} from './service_state.js';
import type {RefusalReason} from './types.js';

/**
 * Maximum number of targets tried for a free connection of this VM; after it
 * the targets count as full.
 */
const MAX_CHOICES = 3;

/**
 * Share of its time to the deadline for which an urgent request waits for a
 * target outside the long lane. A short request frees a slot within
 * milliseconds; three long ones occupy a target for up to 50 times longer.
 */
const URGENT_WAIT_SHARE = 1 / 8;

/** Result of the search for a target for a waiting request. */
type Placement =
  | {readonly type: 'target'; readonly target: ServiceTarget}
  | {readonly type: 'peer'; readonly vmId: string}
  | {readonly type: 'full'}
  /** All targets outside the long lane are full; wait for one. */
  | {readonly type: 'outside-full'}
  | {readonly type: 'none'};

/**
 * Sends queued requests of a service to targets and sheds excess requests.
 *
 * @internal
 */
export class Dispatcher {
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly attempts: AttemptFlow,
  ) {}

  /** Returns true if the queue would reject a request that has just arrived. */
  wouldReject(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {queue} = request.service;
    if (queue.size === 0) {
      return !this.isAdmitted(request, nowMs);
    }
    const waiting = queue.preview(request);
    return this.selectRejected(request.service, waiting, nowMs).includes(
      request,
    );
  }

  /** Queues a request, then dispatches the queue. */
  enqueue(request: ActiveRequest, nowMs: InstantMs): void {
    request.service.queue.add(request);
    this.dispatch(request.service, nowMs);
  }

  /** Sends queued requests while targets have capacity, then sheds load. */
  dispatch(service: ServiceState, nowMs: InstantMs): void {
    this.sendWhilePossible(service, nowMs);
    if (service.queue.size > 0) {
      this.shed(service, nowMs);
    }
  }

  private sendWhilePossible(service: ServiceState, nowMs: InstantMs): void {
    const skipped = new Set<ActiveRequest>();
    let isLongLaneFull = false;
    let isOutsideFull = false;
    const isEligible = (request: ActiveRequest) =>
      !skipped.has(request) &&
      !(isLongLaneFull && request.usesLongLane) &&
      !(isOutsideFull && request.urgent && mustWaitOutsideLane(request, nowMs));
    let request = service.queue.select(nowMs, isEligible);
    while (request !== undefined) {
      const placement = this.findPlacement(request, nowMs);
      if (placement.type === 'target') {
        service.queue.take(request, nowMs);
        this.attempts.start(request, placement.target, nowMs);
      } else if (placement.type === 'peer') {
        service.queue.take(request, nowMs);
        this.attempts.startAtPeer(request, placement.vmId);
      } else if (placement.type === 'outside-full') {
        isOutsideFull = true;
      } else if (placement.type === 'full') {
        if (request.failedTargetIds.length > 0) {
          // Other requests may still fit on targets that this one excludes.
          skipped.add(request);
        } else if (request.usesLongLane) {
          isLongLaneFull = true;
        } else {
          // Long kinds wait too; they must not overtake short ones in a peak.
          return;
        }
      }
      request = service.queue.select(nowMs, isEligible);
    }
  }

  /** Finds a target; removes and refuses a request that must not be sent. */
  private findPlacement(request: ActiveRequest, nowMs: InstantMs): Placement {
    const reason =
      this.findSendRefusal(request, nowMs) ?? this.findRelayRefusal(request);
    const placement =
      reason === undefined ? this.choosePlacement(request, nowMs) : undefined;
    if (placement !== undefined && placement.type !== 'none') {
      return placement;
    }
    request.service.queue.remove(request);
    if (reason === 'quarantined') {
      this.completion.refuse(request, reason, 'may-have-run');
    } else {
      this.completion.refuse(request, reason ?? 'no-target');
    }
    return {type: 'none'};
  }

  /** Chooses a peer if this VM reaches no target, else a target. */
  private choosePlacement(request: ActiveRequest, nowMs: InstantMs): Placement {
    const {unreachableCount, triedPeers: triedHosts} = request;
    const decision =
      request.caller.isRelayed === true
        ? undefined
        : this.context.relays.decide({unreachableCount, triedHosts}, nowMs);
    switch (decision?.type) {
      case 'relay':
        return {type: 'peer', vmId: decision.host};
      case 'give-up':
        return {type: 'none'};
      default:
        return this.chooseTarget(request, nowMs);
    }
  }

  /** A relayed request must not be passed on once more. */
  private findRelayRefusal({caller}: ActiveRequest): RefusalReason | undefined {
    const {isCutOff} = this.context.reachability;
    return caller.isRelayed === true && isCutOff ? 'cut-off' : undefined;
  }

  /** Returns why a request must not be sent; undefined if it may be. */
  private findSendRefusal(
    request: ActiveRequest,
    nowMs: InstantMs,
  ): RefusalReason | undefined {
    const {quarantine} = this.context;
    if (nowMs >= request.deadlineMs) {
      return 'deadline';
    }
    if (quarantine.isQuarantined(request.crashFingerprints, nowMs)) {
      return 'quarantined';
    }
    return this.isAdmitted(request, nowMs) ? undefined : 'overloaded';
  }

  /** Returns true unless admission control expects a missed deadline. */
  private isAdmitted(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {snapshot, service, kind, deadlineMs} = request;
    if (!snapshot.preset.admission) {
      return true;
    }
    const estimatedMs = service.estimateMs(kind, nowMs);
    return canFinish({deadlineMs, estimatedMs}, nowMs);
  }

  /**
   * Chooses a target. Urgent kinds avoid the long lane until they have waited
   * for `URGENT_WAIT_SHARE`, then use any target. Short kinds above the lowest
   * worth prefer targets outside the long lane, but use any target at once if
   * those are full.
   */
  private chooseTarget(request: ActiveRequest, nowMs: InstantMs): Placement {
    const lane = prefersOutsideLane(request)
      ? request.service.longLaneIds()
      : [];
    if (lane.length === 0) {
      return this.chooseFromPool(request, [], nowMs);
    }
    const placement = this.chooseFromPool(request, lane, nowMs);
    if (placement.type === 'target') {
      return placement;
    }
    const mustWait = request.urgent && mustWaitOutsideLane(request, nowMs);
    if (placement.type === 'full' && mustWait) {
      return {type: 'outside-full'};
    }
    return this.chooseFromPool(request, [], nowMs);
  }

  /** Chooses a target to which this VM has a free connection. */
  private chooseFromPool(
    request: ActiveRequest,
    avoidedTargetIds: readonly string[],
    nowMs: InstantMs,
  ): Placement {
    const {service, snapshot, kind} = request;
    const excludedTargetIds = [...request.failedTargetIds, ...avoidedTargetIds];
    for (let count = 0; count < MAX_CHOICES; count += 1) {
      const choice = service.pool.choose({
        kind,
        excludedTargetIds,
        nowMs,
        random: this.context.options.random,
      });
      if (choice.type !== 'target') {
        return count === 0 ? choice : {type: 'full'};
      }
      const target = service.targets.get(choice.targetId);
      if (
        target !== undefined &&
        target.requests.size < snapshot.maxConnections
      ) {
        return {type: 'target', target};
      }
      excludedTargetIds.push(choice.targetId);
    }
    return {type: 'full'};
  }

  private shed(service: ServiceState, nowMs: InstantMs): void {
    const rejected = this.selectRejected(service, service.queue.waiting, nowMs);
    for (const request of rejected) {
      service.queue.remove(request);
      this.completion.refuse(request, 'overloaded');
      this.context.emitEvent('request', 'shed', {
        requestId: request.caller.requestId,
        kind: request.kind.name,
        worth: request.worth,
      });
    }
  }

  /** Selects the requests that exceed the queue or cannot finish in time. */
  private selectRejected(
    service: ServiceState,
    waiting: readonly ActiveRequest[],
    nowMs: InstantMs,
  ): readonly ActiveRequest[] {
    const preset = (service.snapshot ?? waiting[0]?.snapshot)?.preset;
    return chooseRejected(waiting, {
      nowMs,
      concurrency: Math.max(1, service.inFlight),
      capacity: preset?.queueCapacity ?? waiting.length,
      byDeadline: preset?.admission ?? true,
    });
  }
}

/** Returns true for urgent kinds and short kinds above the lowest worth. */
function prefersOutsideLane({kind, snapshot}: ActiveRequest): boolean {
  return kind.urgent || (!kind.long && snapshot.exceedsLowestWorth(kind));
}

/** Returns true while an urgent request avoids the long lane. */
function mustWaitOutsideLane(
  request: ActiveRequest,
  nowMs: InstantMs,
): boolean {
  const {queuedMs, deadlineMs} = request;
  return nowMs - queuedMs < (deadlineMs - queuedMs) * URGENT_WAIT_SHARE;
}
