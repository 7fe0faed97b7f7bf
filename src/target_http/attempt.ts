/**
 * State of one attempt to send a request to a target.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {TargetResponse} from './target_response.js';

/** Request that an attempt sends. */
export interface AttemptRequest {
  readonly token: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path with query, starting with a slash. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Undefined for a request without body. */
  readonly body: Buffer | undefined;
  readonly freshness: 'any' | 'proven';
  readonly deadlineMs: InstantMs;
  /**
   * Time without a received byte after which a connection that may be stale
   * counts as failed, provided that another connection received a response in
   * the meantime; undefined to disable the check.
   */
  readonly silenceLimitMs: number | undefined;
  /** Id of the intended target; undefined if the address identifies it. */
  readonly targetId?: string;
  /** Id that the caller assigned to the request; undefined for a probe. */
  readonly callId?: string;
}

/**
 * Receives the signals of an attempt. The response is defined only for the
 * signal `response`.
 */
export type SignalListener = (
  signal: AttemptSignal,
  response: TargetResponse | undefined,
) => void;

/** Tracks one attempt and reports its final signal at most once. */
export class Attempt {
  /** Instant of the signal `sent`; undefined before it. */
  sentMs: InstantMs | undefined;
  /** Number of connections that closed before a byte was written. */
  unsentFailureCount = 0;
  private finished = false;

  /**
   * @param request - request to send
   * @param listener - receives the signals
   */
  constructor(
    readonly request: AttemptRequest,
    private readonly listener: SignalListener,
  ) {}

  /** Whether the final signal was reported. */
  get isFinished(): boolean {
    return this.finished;
  }

  /**
   * Reports that the first byte is about to be written. The listener may cancel
   * the attempt during the call; no byte may be written then.
   *
   * @param nowMs - current instant in milliseconds
   * @returns true if the first byte may be written
   */
  markSent(nowMs: InstantMs): boolean {
    this.listener({type: 'sent'}, undefined);
    if (this.finished) {
      return false;
    }
    this.sentMs = nowMs;
    return true;
  }

  /** Reports the final signal. Later calls have no effect. */
  finish(signal: AttemptSignal, response?: TargetResponse): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.listener(signal, response);
  }
}
