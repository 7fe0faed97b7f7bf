/**
 * Reading requests and sending responses in the stand-ins.
 *
 * @packageDocumentation
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Reads the whole body of a request.
 *
 * @param request - request whose body has not been read yet
 * @returns the body; rejects if the connection is lost
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
 * Sends a JSON response.
 *
 * @param response - response to send
 * @param status - HTTP status code
 * @param value - value to encode as the body
 *
 * @example
 * ```ts
 * sendJson(response, 404, {error: 'not published'});
 * ```
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value) + '\n');
}
