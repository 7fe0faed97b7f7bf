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
import type {KnownTarget, ServiceState} from './service_state.js';
import type {RefusalReason} from './types.js';

/** Choices per request before targets without a free connection count as full. */
const MAX_CHOICES = 3;

/**
 * Part of its time to the deadline for which an urgent request waits for a
 * target outside the subset for long kinds. A short request frees a slot within
 * milliseconds; three long ones hold a whole target for up to 50 times longer.
 */
const OUTSIDE_WAIT_SHARE = 1 / 8;

/** Where a waiting request can go now. */
type Place =
  | {readonly type: 'target'; readonly target: KnownTarget}
  | {readonly type: 'full'}
  /** Targets outside the subset for long kinds are full; wait for them. */
  | {readonly type: 'outside-full'}
  | {readonly type: 'none'};

/**
 * Moves requests from the queue of their service to a target.
 *
 * @internal
 */
export class Dispatcher {
  constructor(
    private readonly context: EngineContext,
    private readonly completion: Completion,
    private readonly attempts: AttemptFlow,
  ) {}

  /** Tells whether the queue would reject a request that has just arrived. */
  wouldReject(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {queue} = request.service;
    if (queue.size === 0) {
      return !this.isWorthSending(request, nowMs);
    }
    const waiting = queue.preview(request);
    return this.rejectedOf(request.service, waiting, nowMs).includes(request);
  }

  /** Queues a request, sends what can be sent, and rejects what cannot. */
  enqueue(request: ActiveRequest, nowMs: InstantMs): void {
    request.service.queue.add(request);
    this.dispatch(request.service, nowMs);
  }

  /** Sends waiting requests while the pool has room, then sheds. */
  dispatch(service: ServiceState, nowMs: InstantMs): void {
    this.sendWhilePossible(service, nowMs);
    if (service.queue.size > 0) {
      this.shed(service, nowMs);
    }
  }

  private sendWhilePossible(service: ServiceState, nowMs: InstantMs): void {
    const passedOver = new Set<ActiveRequest>();
    let isLongLaneFull = false;
    let isOutsideFull = false;
    const eligible = (request: ActiveRequest) =>
      !passedOver.has(request) &&
      !(isLongLaneFull && request.usesLongLane) &&
      !(isOutsideFull && request.urgent && waitsOutside(request, nowMs));
    let request = service.queue.select(nowMs, eligible);
    while (request !== undefined) {
      const place = this.placeFor(request, nowMs);
      if (place.type === 'target') {
        service.queue.take(request, nowMs);
        this.attempts.start(request, place.target, nowMs);
      } else if (place.type === 'outside-full') {
        isOutsideFull = true;
      } else if (place.type === 'full') {
        if (request.failedTargetIds.length > 0) {
          // Only the targets that this request has not tried are full.
          passedOver.add(request);
        } else if (request.usesLongLane) {
          isLongLaneFull = true;
        } else {
          // Long kinds wait too: they must not overtake short ones in a peak.
          return;
        }
      }
      request = service.queue.select(nowMs, eligible);
    }
  }

  /** Finds a place; a request that must not be sent leaves the queue. */
  private placeFor(request: ActiveRequest, nowMs: InstantMs): Place {
    const reason = this.reasonAgainstSending(request, nowMs);
    const place =
      reason === undefined ? this.choose(request, nowMs) : undefined;
    if (place !== undefined && place.type !== 'none') {
      return place;
    }
    request.service.queue.remove(request);
    if (reason === 'quarantined') {
      this.completion.refuse(request, reason, 'may-have-run');
    } else {
      this.completion.refuse(request, reason ?? 'no-target');
    }
    return {type: 'none'};
  }

  private reasonAgainstSending(
    request: ActiveRequest,
    nowMs: InstantMs,
  ): RefusalReason | undefined {
    const {quarantine} = this.context.options;
    if (nowMs >= request.deadlineMs) {
      return 'deadline';
    }
    if (quarantine.isQuarantined(request.crashFingerprint, nowMs)) {
      return 'quarantined';
    }
    return this.isWorthSending(request, nowMs) ? undefined : 'overloaded';
  }

  private isWorthSending(request: ActiveRequest, nowMs: InstantMs): boolean {
    const {snapshot, service, kind, deadlineMs} = request;
    if (!snapshot.preset.admission) {
      return true;
    }
    const estimatedMs = service.estimateMs(kind, nowMs);
    return canFinish({deadlineMs, estimatedMs}, nowMs);
  }

  /**
   * Chooses a target. Urgent kinds keep out of the subset for long kinds; once
   * they have waited for a while, they take any target. Kinds of more than the
   * lowest worth take any target at once if no other has room.
   */
  private choose(request: ActiveRequest, nowMs: InstantMs): Place {
    const lane = keepsOutOfLane(request) ? request.service.longLaneIds() : [];
    if (lane.length === 0) {
      return this.chooseOutside(request, [], nowMs);
    }
    const place = this.chooseOutside(request, lane, nowMs);
    if (place.type === 'target') {
      return place;
    }
    const waits = request.urgent && waitsOutside(request, nowMs);
    if (place.type === 'full' && waits) {
      return {type: 'outside-full'};
    }
    return this.chooseOutside(request, [], nowMs);
  }

  /** Asks the pool for a target that has a free connection of this VM. */
  private chooseOutside(
    request: ActiveRequest,
    avoidedTargetIds: readonly string[],
    nowMs: InstantMs,
  ): Place {
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
    const rejected = this.rejectedOf(service, service.queue.waiting, nowMs);
    for (const request of rejected) {
      service.queue.remove(request);
      this.completion.refuse(request, 'overloaded');
      this.context.event('request', 'shed', {
        requestId: request.caller.requestId,
        kind: request.kind.name,
        worth: request.worth,
      });
    }
  }

  private rejectedOf(
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

/** True for urgent kinds and for short ones above the lowest worth. */
function keepsOutOfLane({kind, snapshot}: ActiveRequest): boolean {
  return kind.urgent || (!kind.long && snapshot.exceedsLowestWorth(kind));
}

/** True while an urgent request keeps out of the subset for long kinds. */
function waitsOutside(request: ActiveRequest, nowMs: InstantMs): boolean {
  const {queuedMs, deadlineMs} = request;
  return nowMs - queuedMs < (deadlineMs - queuedMs) * OUTSIDE_WAIT_SHARE;
}
