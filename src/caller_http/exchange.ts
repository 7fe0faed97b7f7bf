/**
 * Request of a caller and the response to it.
 *
 * @packageDocumentation
 */
import type {ServerResponse} from 'node:http';
import type {Verdict} from '../core/index.js';
import type {CallerRequest} from '../engine/index.js';
import type {BodySink, TargetResponse} from '../target_http/index.js';
import type {CallerProtocol, IdentifiedRequest} from './caller_protocol.js';
import {endToEndHeaders} from './hop_headers.js';
import type {StreamedAnswer} from './unread_answer.js';

/** Response that the load balancer itself generates. */
export interface Refusal {
  readonly status: number;
  readonly verdict: Verdict;
  /** Machine-readable cause, such as `overloaded`. */
  readonly reason: string;
  /** Seconds for the `retry-after` header; undefined for none. */
  readonly retryAfterSeconds: number | undefined;
}

/** What an {@link Exchange} tells its server. */
export interface ExchangeListener {
  /** Called right before the head of the response is written. */
  beforeHead(): void;
  /** Called once, after the last byte was written. */
  onResponded(): void;
  /**
   * Counts a complete answer until the caller has read it.
   *
   * @param sizeBytes - size of its body
   * @returns false if there is no room for it and its connection was closed
   */
  holdAnswer(sizeBytes: number): boolean;
  /** Starts an answer whose body is written while it arrives. */
  streamAnswer(): StreamedAnswer;
}

/** Binds a request that was read to the response for its caller. */
export class Exchange<R extends IdentifiedRequest = CallerRequest> {
  private responded = false;

  /**
   * @param request - request for the engine
   * @param headers - end-to-end headers for the target: alternating names and
   *     values
   * @param body - body; undefined for a request without one
   * @param response - response to the caller
   * @param listener - told about the answer
   * @param protocol - defines the headers of the response
   */
  constructor(
    readonly request: R,
    readonly headers: readonly string[],
    readonly body: Buffer | undefined,
    private readonly response: ServerResponse,
    private readonly listener: ExchangeListener,
    private readonly protocol: CallerProtocol<R>,
  ) {}

  /** Whether a response was started. */
  get hasResponded(): boolean {
    return this.responded;
  }

  /**
   * Forwards a target's response to the caller. Later calls have no effect.
   *
   * @param source - response to an attempt of this request
   */
  forward(source: TargetResponse): void {
    if (this.responded) {
      return;
    }
    this.responded = true;
    const {responseHeadersDropped, responseHeadersAdded} = this.protocol;
    const headers = endToEndHeaders(source.headers, responseHeadersDropped);
    headers.push(...responseHeadersAdded);
    const length = this.contentLength(source);
    if (length !== undefined) {
      headers.push('content-length', length);
    }
    this.listener.beforeHead();
    try {
      this.response.writeHead(source.status, headers);
    } catch {
      // node:http rejects some fields, such as those with control characters.
      this.responded = false;
      source.discard();
      this.refuse({
        status: 502,
        verdict: 'ran',
        reason: 'connection-lost',
        retryAfterSeconds: undefined,
      });
      return;
    }
    this.writeBody(source);
  }

  /**
   * Responds with a refusal. Later calls have no effect.
   *
   * @param refusal - status, verdict and reason
   */
  refuse(refusal: Refusal): void {
    if (this.responded) {
      return;
    }
    this.responded = true;
    const {status, verdict, reason, retryAfterSeconds} = refusal;
    this.listener.beforeHead();
    writeRefusal(this.response, {status, verdict, reason, retryAfterSeconds});
    this.listener.onResponded();
  }

  private contentLength(source: TargetResponse): string | undefined {
    const declared = source.headers['content-length'];
    const isBodiless = source.status === 204 || source.status === 304;
    if (this.request.method === 'HEAD' || isBodiless || !source.complete) {
      return typeof declared === 'string' && source.status !== 204
        ? declared
        : undefined;
    }
    return String(source.body().length);
  }

  private writeBody(source: TargetResponse): void {
    if (source.complete) {
      const body = source.body();
      if (this.listener.holdAnswer(body.length)) {
        this.response.end(body);
      }
      this.listener.onResponded();
      return;
    }
    this.response.on('drain', () => source.resume());
    this.response.on('close', () => source.discard());
    source.attach(this.createSink());
  }

  private createSink(): BodySink {
    const answer = this.listener.streamAnswer();
    return {
      write: chunk => answer.write(chunk),
      end: () => {
        this.response.end();
        this.listener.onResponded();
      },
      abort: () => {
        // The caller must not mistake a truncated body for a complete one.
        this.response.destroy();
        this.listener.onResponded();
      },
    };
  }
}

/** Fields of a response that does not come from a target. */
export interface RefusalFields {
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  readonly retryAfterSeconds?: number | undefined;
  readonly message?: string;
}

/**
 * Writes a response that does not come from a target.
 *
 * @param response - response to the caller, to which nothing was written yet
 * @param fields - status, verdict, reason and message
 */
export function writeRefusal(
  response: ServerResponse,
  fields: RefusalFields,
): void {
  const {status, verdict, reason, retryAfterSeconds, message} = fields;
  const body = Buffer.from(
    `${JSON.stringify({verdict, reason, ...(message && {message})})}\n`,
  );
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(body.length),
    'x-verdict': verdict,
    'x-refusal-reason': reason,
  };
  if (retryAfterSeconds !== undefined) {
    headers['retry-after'] = String(retryAfterSeconds);
  }
  response.writeHead(status, headers);
  response.end(body);
}
