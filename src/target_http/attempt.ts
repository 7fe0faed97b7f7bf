/**
 * One attempt at a target as the adapter sees it.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {TargetResponse} from './target_response.js';

/** What to send in an attempt. */
export interface AttemptRequest {
  readonly token: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path with query, starting with a slash. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Undefined for a request without body. */
  readonly body: Buffer | undefined;
  readonly freshness: 'any' | 'proven';
  readonly deadlineMs: InstantMs;
  /**
   * Time without a byte after which an old connection counts as failed,
   * provided that another one answered meanwhile; undefined for never.
   */
  readonly silenceLimitMs: number | undefined;
  /** Id of the target that is meant; undefined if the address suffices. */
  readonly targetId?: string;
  /** Id that the caller gave the request; undefined for a probe. */
  readonly callId?: string;
}

/**
 * Receives the steps of an attempt. The response comes with the signal
 * `response` and with no other.
 */
export type SignalListener = (
  signal: AttemptSignal,
  response: TargetResponse | undefined,
) => void;

/** State of an attempt; reports each final signal at most once. */
export class Attempt {
  /** Instant of the signal `sent`. */
  sentMs: InstantMs | undefined;
  /** Connections that closed before anything was written. */
  unsentFailureCount = 0;
  private finished = false;

  /**
   * @param request - what to send
   * @param listener - receives the signals
   */
  constructor(
    readonly request: AttemptRequest,
    private readonly listener: SignalListener,
  ) {}

  /** True after the final signal. */
  get done(): boolean {
    return this.finished;
  }

  /**
   * Reports that the first byte is about to be written. The listener may cancel
   * the attempt during the call; then nothing may be written.
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

  /** Reports the final signal; later calls do nothing. */
  finish(signal: AttemptSignal, response?: TargetResponse): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.listener(signal, response);
  }
}
