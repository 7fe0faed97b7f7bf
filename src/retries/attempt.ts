/**
 * Lifecycle of one attempt at a target.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';
import {
  type AttemptEvent,
  type AttemptState,
  attemptChart,
  isFinalState,
  verdictOfState,
} from './attempt_chart.js';

/**
 * Tracks one attempt: its fencing token, its target and its chart state.
 *
 * A method that reports an event also applies the events that must have
 * preceded it. A response without a preceding `markSent` still implies that
 * bytes were sent, so a missing signal can never end an attempt as `not-run`.
 *
 * @example
 * ```ts
 * const attempt = new Attempt({token: 'e-01/b7/1', targetId: 't-01'});
 * attempt.connect();
 * attempt.markSent(nowMs);
 * attempt.complete();
 * attempt.verdict; // 'ran'
 * ```
 */
export class Attempt {
  readonly token: string;
  readonly targetId: string;
  private currentState: AttemptState = attemptChart.initial;
  private sentInstantMs: InstantMs | undefined;

  /**
   * @param options - `token`: fencing token, unique per process incarnation;
   *     `targetId`: target of the attempt
   */
  constructor(options: {readonly token: string; readonly targetId: string}) {
    this.token = options.token;
    this.targetId = options.targetId;
  }

  /** Current state of the chart. */
  get state(): AttemptState {
    return this.currentState;
  }

  /** Verdict on the attempt; preliminary until the attempt has ended. */
  get verdict(): Verdict {
    return verdictOfState(this.currentState);
  }

  /** True once the attempt has ended. */
  get isFinished(): boolean {
    return isFinalState(this.currentState);
  }

  /** True while the target may be working on the request. */
  get isSent(): boolean {
    return this.currentState === 'sent' || this.currentState === 'responding';
  }

  /** Instant of the first byte sent, in milliseconds; undefined before it. */
  get sentMs(): InstantMs | undefined {
    return this.sentInstantMs;
  }

  /**
   * Starts to acquire a connection.
   *
   * @throws ChartError if the attempt is not in state `chosen`
   */
  connect(): void {
    this.apply('connect');
  }

  /**
   * Records that the first byte is about to be written.
   *
   * @param nowMs - current instant in milliseconds
   * @throws ChartError if the attempt is not in state `connecting`
   */
  markSent(nowMs: InstantMs): void {
    this.apply('send');
    this.sentInstantMs = nowMs;
  }

  /**
   * Records that the complete response arrived.
   *
   * @throws ChartError if the attempt has ended
   */
  complete(): void {
    this.implyResponding();
    this.apply('complete');
  }

  /**
   * Records an explicit refusal by the target.
   *
   * @throws ChartError if the attempt has ended
   */
  refuse(): void {
    this.implyResponding();
    this.apply('refusal');
  }

  /**
   * Records that no connection could be opened. After `markSent` the attempt
   * counts as lost, since bytes were sent.
   *
   * @throws ChartError if the attempt has ended
   */
  failConnection(): void {
    this.apply(this.isSent ? 'break' : 'connection-failed');
  }

  /**
   * Records that the connection broke after bytes were sent.
   *
   * @throws ChartError if the attempt has ended
   */
  lose(): void {
    this.implySent();
    this.apply('break');
  }

  /**
   * Cancels the attempt.
   *
   * @param options - `bytesSent`: true if the adapter reports sent bytes
   * @throws ChartError if the attempt has ended
   */
  cancel(options: {readonly bytesSent: boolean}): void {
    if (options.bytesSent) {
      this.implySent();
    }
    this.apply('cancel');
  }

  private implyResponding(): void {
    this.implySent();
    if (this.currentState === 'sent') {
      this.apply('first-byte');
    }
  }

  private implySent(): void {
    if (this.currentState === 'chosen') {
      this.apply('connect');
    }
    if (this.currentState === 'connecting') {
      this.apply('send');
    }
  }

  private apply(event: AttemptEvent): void {
    this.currentState = attemptChart.next(this.currentState, event);
  }
}
