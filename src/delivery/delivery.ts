/**
 * State of one request.
 *
 * @packageDocumentation
 */
import {combineVerdicts, type InstantMs, type Verdict} from '../core/index.js';
import type {RouteRule} from '../routes/index.js';
import type {RoutedRequest} from './types.js';

/** One sending of a request to a target. */
export interface DeliveryAttempt {
  readonly token: string;
  readonly targetId: string;
  readonly startedMs: InstantMs;
  /** Forecast when the attempt was started. */
  readonly expectedMs: number;
  readonly slowness: number;
  /** Instant just before the first byte; undefined before. */
  sentMs: InstantMs | undefined;
  verdict: Verdict;
  isOpen: boolean;
}

/** One request from its arrival until it is answered and its attempts ended. */
export class Delivery {
  readonly attempts: DeliveryAttempt[] = [];
  /** Targets that must not be chosen again. */
  readonly triedTargetIds: string[] = [];
  readonly deadlineMs: InstantMs;
  readonly objectiveAtMs: InstantMs;
  /** Instant of the final answer at the latest. */
  readonly finalAtMs: InstantMs;
  /** True if the route's time ends before the caller's. */
  readonly isBoundByRoute: boolean;
  /** Instant until which the request may wait for a free target. */
  waitUntilMs: InstantMs;
  /** Instant until which the loads of targets are awaited; undefined before. */
  askedUntilMs: InstantMs | undefined;
  /** Instant of the next look at an unanswered attempt. */
  reviewAtMs: InstantMs = Infinity;
  /** True once the caller was answered or has gone. */
  isClosed = false;
  /** A server error that is delivered if nothing better comes. */
  errorToken: string | undefined;
  lastFailure: 'none' | 'unreachable' | 'refused' | 'lost' = 'none';

  constructor(
    readonly request: RoutedRequest,
    readonly rule: RouteRule,
    readonly service: string,
    options: {readonly maxWaitMs: number},
  ) {
    const {arrivedMs} = request;
    const routeEndMs = arrivedMs + rule.timeoutMs;
    this.deadlineMs = request.deadlineMs ?? routeEndMs;
    this.isBoundByRoute = routeEndMs <= this.deadlineMs;
    this.finalAtMs = Math.min(routeEndMs, this.deadlineMs);
    this.objectiveAtMs = arrivedMs + rule.objectiveMs;
    this.waitUntilMs = arrivedMs + options.maxWaitMs;
  }

  /** Attempts that have not ended. */
  get openAttempts(): readonly DeliveryAttempt[] {
    return this.attempts.filter(({isOpen}) => isOpen);
  }

  /** Targets that a byte of the request was sent to. */
  get sentCount(): number {
    return this.attempts.filter(({sentMs}) => sentMs !== undefined).length;
  }

  /** Whether the request may have run so far. */
  get verdict(): Verdict {
    return combineVerdicts(this.attempts.map(({verdict}) => verdict));
  }

  /** True while it waits for a target. */
  get isWaiting(): boolean {
    return !this.isClosed && this.openAttempts.length === 0;
  }
}
