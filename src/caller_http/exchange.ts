/**
 * One request of a caller and its answer.
 *
 * @packageDocumentation
 */
import type {ServerResponse} from 'node:http';
import type {Verdict} from '../core/index.js';
import type {CallerRequest} from '../engine/index.js';
import type {BodySink, TargetResponse} from '../target_http/index.js';
import type {CallerProtocol, IdentifiedRequest} from './caller_protocol.js';
import {endToEndHeaders} from './hop_headers.js';

/** An answer of the balancer itself. */
export interface Refusal {
  readonly status: number;
  readonly verdict: Verdict;
  /** Short word for the cause. */
  readonly reason: string;
  /** Seconds for the `retry-after` header; undefined for none. */
  readonly retryAfterSeconds: number | undefined;
}

/** A request that was read and waits for its answer. */
export class Exchange<R extends IdentifiedRequest = CallerRequest> {
  private answered = false;

  /**
   * @param request - the request as the engine gets it
   * @param headers - end-to-end headers for the target, names and values in turn
   * @param body - body; undefined for a request without
   * @param response - where the answer goes
   * @param onAnswered - called once when the last byte was handed over
   * @param protocol - headers of the answer
   */
  constructor(
    readonly request: R,
    readonly headers: readonly string[],
    readonly body: Buffer | undefined,
    private readonly response: ServerResponse,
    private readonly onAnswered: () => void,
    private readonly protocol: CallerProtocol<R>,
  ) {}

  /** True once an answer was begun. */
  get begun(): boolean {
    return this.answered;
  }

  /**
   * Passes on a target's response. Later calls do nothing.
   *
   * @param source - response that belongs to an attempt of this request
   */
  answer(source: TargetResponse): void {
    if (this.answered) {
      return;
    }
    this.answered = true;
    const {responseHeadersDropped, responseHeadersAdded} = this.protocol;
    const headers = endToEndHeaders(source.headers, responseHeadersDropped);
    headers.push(...responseHeadersAdded);
    const length = this.contentLength(source);
    if (length !== undefined) {
      headers.push('content-length', length);
    }
    try {
      this.response.writeHead(source.status, headers);
    } catch {
      // A field that node:http does not write, such as a control character.
      this.answered = false;
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
   * Answers without a target's response. Later calls do nothing.
   *
   * @param refusal - status, verdict and reason
   */
  refuse(refusal: Refusal): void {
    if (this.answered) {
      return;
    }
    this.answered = true;
    const {status, verdict, reason, retryAfterSeconds} = refusal;
    writeRefusal(this.response, {status, verdict, reason, retryAfterSeconds});
    this.onAnswered();
  }

  private contentLength(source: TargetResponse): string | undefined {
    const stated = source.headers['content-length'];
    const bodiless = source.status === 204 || source.status === 304;
    if (this.request.method === 'HEAD' || bodiless || !source.complete) {
      return typeof stated === 'string' && source.status !== 204
        ? stated
        : undefined;
    }
    return String(source.body().length);
  }

  private writeBody(source: TargetResponse): void {
    if (source.complete) {
      this.response.end(source.body());
      this.onAnswered();
      return;
    }
    this.response.on('drain', () => source.resume());
    this.response.on('close', () => source.discard());
    source.attach(this.createSink());
  }

  private createSink(): BodySink {
    return {
      write: chunk => this.response.write(chunk),
      end: () => {
        this.response.end();
        this.onAnswered();
      },
      abort: () => {
        // The caller must not take a part of the body for the whole.
        this.response.destroy();
        this.onAnswered();
      },
    };
  }
}

/** Fields of an answer that does not come from a target. */
export interface RefusalFields {
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  readonly retryAfterSeconds?: number | undefined;
  readonly message?: string;
  /** True to close the caller's connection after the answer. */
  readonly close?: boolean;
}

/**
 * Writes an answer that does not come from a target.
 *
 * @param response - where the answer goes; nothing may have been written
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
  if (fields.close === true) {
    headers['connection'] = 'close';
  }
  response.writeHead(status, headers);
  response.end(body);
}
