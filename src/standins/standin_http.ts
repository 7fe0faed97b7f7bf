/**
 * Bodies and answers of the stand-ins' control ports.
 *
 * @packageDocumentation
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Reads a body to its end.
 *
 * @param request - request whose body was not read yet
 * @returns all bytes; rejects if the connection breaks
 *
 * @example
 * ```ts
 * const command = JSON.parse((await readBody(request)).toString());
 * ```
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/**
 * Answers with JSON.
 *
 * @param response - where the answer goes
 * @param status - status code
 * @param value - body
 *
 * @example
 * ```ts
 * answerJson(response, 404, {error: 'not published'});
 * ```
 */
export function answerJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value) + '\n');
}
