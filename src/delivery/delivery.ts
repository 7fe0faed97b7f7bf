/**
 * State of one request.
 *
 * @packageDocumentation
 */
import {combineVerdicts, type InstantMs, type Verdict} from '../core/index.js';
import type {RouteRule} from '../routes/index.js';
import type {RoutedRequest} from './types.js';

/**
 * Time after the expiry of a request for which its unanswered attempts stay
 * open. A target stops work at the deadline that it was sent; its answer to
 * that takes a round trip and still tells whether the request has run.
 */
const ANSWER_GRACE_MS = 500;

/** Attempt of a request at a target. */
export interface DeliveryAttempt {
  readonly token: string;
  readonly targetId: string;
  /** Start of the target to which the attempt was sent. */
  readonly targetStartedMs: number;
  readonly startedMs: InstantMs;
  /** Forecast duration at the start of the attempt, in milliseconds. */
  readonly expectedMs: number;
  readonly slowness: number;
  /** Instant just before the first byte is sent; undefined until then. */
  sentMs: InstantMs | undefined;
  verdict: Verdict;
  isOpen: boolean;
  /** Peer that carries the request; undefined for an attempt at a target. */
  readonly peerHost: string | undefined;
  /** Targets that the attempt may be sent to; 1 unless a peer carries it. */
  readonly targetCount: number;
}

/** State of a request until it is answered and all its attempts have ended. */
export class Delivery {
  readonly attempts: DeliveryAttempt[] = [];
  /** Targets that must not be selected again. */
  readonly triedTargetIds: string[] = [];
  readonly deadlineMs: InstantMs;
  readonly objectiveAtMs: InstantMs;
  /** Instant at which the request expires. */
  readonly expiresAtMs: InstantMs;
  /** Instant at which unanswered attempts end, whatever their caller does. */
  readonly attemptsEndAtMs: InstantMs;
  /** True if the route's timeout ends no later than the caller's deadline. */
  readonly isBoundByRoute: boolean;
  /** Instant until which the request may wait for a free target. */
  waitUntilMs: InstantMs;
  /** Place in the order of arrival at this VM. */
  readonly sequence: number;
  /** True if it is sent whatever more urgent requests may need. */
  hasTurn = false;
  /** Instant until which load probes are awaited; undefined before them. */
  probeDeadlineMs: InstantMs | undefined;
  /** Instant of the next check whether to hedge; infinite for none. */
  hedgeCheckAtMs: InstantMs = Infinity;
  /** True once the caller was answered or has disconnected. */
  isClosed = false;
  /** Token of a server error to forward if no better response arrives. */
  errorToken: string | undefined;
  lastFailure: 'none' | 'unreachable' | 'refused' | 'lost' = 'none';
  /** Peers that have refused the request or could not be reached. */
  readonly triedPeerHosts: string[] = [];
  /** Longest delay that a peer stated with its refusal, in seconds. */
  peerRetrySeconds: number | undefined;
  /** Targets that could not be reached. */
  unreachableCount = 0;
  /** Whether the request is counted for the retry budget, here or at a peer. */
  isCounted: boolean;
  /** Whether the request is counted as demand for limited targets. */
  isDemandCounted = false;
  /** Targets that the request may be sent to. */
  readonly maxAttempts: number;

  constructor(
    readonly request: RoutedRequest,
    readonly rule: RouteRule,
    readonly service: string,
    options: {readonly maxWaitMs: number; readonly sequence?: number},
  ) {
    const {arrivedMs} = request;
    const routeEndMs = arrivedMs + rule.timeoutMs;
    this.deadlineMs = request.deadlineMs ?? routeEndMs;
    this.isBoundByRoute = routeEndMs <= this.deadlineMs;
    this.expiresAtMs = Math.min(routeEndMs, this.deadlineMs);
    this.attemptsEndAtMs = this.expiresAtMs + ANSWER_GRACE_MS;
    this.objectiveAtMs = arrivedMs + rule.objectiveMs;
    this.waitUntilMs = arrivedMs + options.maxWaitMs;
    this.sequence = options.sequence ?? 0;
    const {relay} = request;
    this.isCounted = relay?.isCounted ?? false;
    this.maxAttempts = Math.min(
      rule.maxAttempts,
      relay?.maxAttempts ?? Infinity,
    );
  }

  /** Adds an attempt that is not sent yet. */
  addAttempt(
    start: Pick<
      DeliveryAttempt,
      | 'token'
      | 'targetId'
      | 'targetStartedMs'
      | 'startedMs'
      | 'expectedMs'
      | 'slowness'
      | 'peerHost'
      | 'targetCount'
    >,
  ): DeliveryAttempt {
    const attempt: DeliveryAttempt = {
      ...start,
      sentMs: undefined,
      verdict: 'not-run',
      isOpen: true,
    };
    this.attempts.push(attempt);
    return attempt;
  }

  /** Attempts that have not ended. */
  get openAttempts(): readonly DeliveryAttempt[] {
    return this.attempts.filter(({isOpen}) => isOpen);
  }

  /**
   * Number of targets that may have received the request, or may yet receive
   * it: an attempt that waits for a connection is counted.
   */
  get sentCount(): number {
    return this.attempts.reduce(
      (sum, attempt) =>
        sum + (mayReachTarget(attempt) ? attempt.targetCount : 0),
      0,
    );
  }

  /** Combined verdict of all attempts: whether the request may have run. */
  get verdict(): Verdict {
    return combineVerdicts(this.attempts.map(({verdict}) => verdict));
  }

  /** True while the request waits for a target. */
  get isWaiting(): boolean {
    return !this.isClosed && this.openAttempts.length === 0;
  }
}

function mayReachTarget({
  isOpen,
  sentMs,
  peerHost,
  verdict,
}: DeliveryAttempt): boolean {
  const isRefusedByPeer = peerHost !== undefined && verdict === 'not-run';
  return isOpen || (sentMs !== undefined && !isRefusedByPeer);
}
