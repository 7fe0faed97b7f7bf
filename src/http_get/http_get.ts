/**
 * GET requests with a timeout.
 *
 * @packageDocumentation
 */
import {request, type Agent, type IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {ChunkBuffer} from '../memory/index.js';

/**
 * Largest body that is accepted. Pages of the store and snapshots of peers have
 * about 1 MB; a body without end must not exhaust the memory of a small VM.
 */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Complete response. */
export interface HttpGetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Error of a request without a complete response. */
export interface HttpGetError {
  readonly type: 'timeout' | 'unreachable' | 'malformed';
  readonly reason: string;
}

/** Options of {@link httpGet}. */
export interface HttpGetOptions {
  readonly host: string;
  readonly port: number;
  /** Path with query. */
  readonly path: string;
  /** Connection pool; undefined for a connection used only by this request. */
  readonly agent?: Agent;
  /** Time limit for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Time limit for the next bytes of the response, in milliseconds; none by
   * default.
   */
  readonly progressTimeoutMs?: number;
}

/**
 * Sends a GET request. Closes the connection on a timeout, since a response may
 * have been lost on it and no other would arrive.
 *
 * @param options - address, path and timeout
 * @returns the response, with any status, or a typed error; never throws
 *
 * @example
 * ```ts
 * const result = await httpGet({host: '127.0.0.1', port: 9090,
 *     path: '/healthz', timeoutMs: 1_000});
 * ```
 */
export function httpGet(
  options: HttpGetOptions,
): Promise<Result<HttpGetResponse, HttpGetError>> {
  const {host, port, path, agent, timeoutMs} = options;
  const {progressTimeoutMs = timeoutMs} = options;
  return new Promise(resolve => {
    const clientRequest = request({host, port, path, agent: agent ?? false});
    const abort = (reason: string): void => {
      clearTimers();
      resolve(err({type: 'timeout', reason}));
      clientRequest.destroy();
    };
    const timer = setTimeout(
      abort,
      timeoutMs,
      `no complete response within ${timeoutMs} ms`,
    );
    const progressTimer = setTimeout(
      abort,
      progressTimeoutMs,
      `no bytes within ${progressTimeoutMs} ms`,
    );
    const clearTimers = (): void => {
      clearTimeout(timer);
      clearTimeout(progressTimer);
    };
    const fail = (error: Error): void => {
      clearTimers();
      resolve(err({type: 'unreachable', reason: error.message}));
    };
    clientRequest.on('error', fail);
    clientRequest.on('response', response => {
      const body = new ChunkBuffer();
      response.on('error', fail);
      response.on('data', (chunk: Buffer) => {
        progressTimer.refresh();
        if (body.sizeBytes + chunk.length <= MAX_BODY_BYTES) {
          body.append(chunk);
          return;
        }
        clearTimers();
        const reason = `body of more than ${MAX_BODY_BYTES} bytes`;
        resolve(err({type: 'malformed', reason}));
        clientRequest.destroy();
      });
      response.on('end', () => {
        clearTimers();
        const {statusCode: status = 0, headers} = response;
        resolve(ok({status, headers, body: body.toBuffer()}));
      });
    });
    clientRequest.end();
  });
}
