/**
 * Native protocol between callers and the load balancer.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import {hashBytes, hashText} from '../core/index.js';
import type {CallerRequest} from '../engine/index.js';
import {
  CallerProtocol,
  type HeadError,
  type ReceivedBody,
  type ReceivedHead,
  type RequestBuilder,
} from './caller_protocol.js';
import {readHead, type RequestHead} from './request_head.js';

/**
 * Reads service, idempotency key and attempt count from request headers and
 * adds the verdict to responses.
 */
export class NativeCallerProtocol extends CallerProtocol<CallerRequest> {
  /** Headers that the load balancer consumes, or sets itself for targets. */
  override readonly requestHeadersDropped: ReadonlySet<string> = new Set([
    'content-length',
    'expect',
    'x-request-token',
    'x-timeout-ms',
  ]);

  /**
   * Headers from targets that are meant for the load balancer, and headers that
   * only the load balancer may send to callers.
   */
  override readonly responseHeadersDropped: ReadonlySet<string> = new Set([
    'content-length',
    'x-load-in-flight',
    'x-refusal-reason',
    'x-target-draining',
    'x-target-refused',
    'x-verdict',
  ]);

  override readonly responseHeadersAdded = ['x-verdict', 'ran'];

  override readHead(
    received: ReceivedHead,
  ): Result<RequestBuilder<CallerRequest>, HeadError> {
    return readHead(received.headers, received.target).map(
      head => body => buildRequest(received, head, body),
    );
  }
}

function buildRequest(
  received: ReceivedHead,
  head: RequestHead,
  {requestId, body}: ReceivedBody,
): CallerRequest {
  const {method, arrivedMs} = received;
  const bodyHash = body === undefined ? '' : hashBytes(body);
  const [pathOnly = head.path] = head.path.split('?', 1);
  return {
    requestId,
    service: head.service,
    method,
    path: head.path,
    fingerprint: hashText(`${method} ${head.path}\n${bodyHash}`),
    resourceFingerprint: hashText(`${method} ${pathOnly}\n${bodyHash}`),
    bodySizeBytes: body?.length ?? 0,
    idempotencyKey: head.idempotencyKey,
    attempt: head.attempt,
    deadlineMs:
      head.timeoutMs === undefined ? undefined : arrivedMs + head.timeoutMs,
  };
}
