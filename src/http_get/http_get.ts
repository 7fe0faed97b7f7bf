/**
 * One GET request with a limit on its time.
 *
 * @packageDocumentation
 */
import {request, type Agent} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Why there is no complete answer. */
export interface HttpGetError {
  readonly type: 'timeout' | 'unreachable';
  readonly reason: string;
}

/** Options of {@link httpGet}. */
export interface HttpGetOptions {
  readonly host: string;
  readonly port: number;
  /** Path with query. */
  readonly path: string;
  /** Keeper of connections; undefined for a connection of its own. */
  readonly agent?: Agent;
  /** Time for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Sends a GET request. After the time is over its connection is closed, since
 * it may have lost an answer and would return no other.
 *
 * @param options - address, path and time allowed
 * @returns the answer with any status, or why none came
 */
export function httpGet(
  options: HttpGetOptions,
): Promise<Result<HttpAnswer, HttpGetError>> {
  const {host, port, path, agent, timeoutMs} = options;
  return new Promise(resolve => {
    const call = request({host, port, path, agent: agent ?? false});
    const timer = setTimeout(() => {
      resolve(err({type: 'timeout', reason: `no answer in ${timeoutMs} ms`}));
      call.destroy();
    }, timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      resolve(err({type: 'unreachable', reason: error.message}));
    };
    call.on('error', fail);
    call.on('response', answer => {
      const chunks: Buffer[] = [];
      answer.on('error', fail);
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('end', () => {
        clearTimeout(timer);
        const status = answer.statusCode ?? 0;
        resolve(ok({status, body: Buffer.concat(chunks)}));
      });
    });
    call.end();
  });
}
