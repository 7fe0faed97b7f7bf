/**
 * Addresses of the operator ports to query.
 *
 * @packageDocumentation
 */
import type {Readable} from 'node:stream';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {checkText, closedObject, ipAddress} from '../preset/index.js';
import {readInput} from './input_file.js';
import type {ToolError} from './tool_error.js';

/** Schema of the list file: `{"vms": ["10.0.0.1:9090"]}`. */
const listSchema = closedObject({
  vms: z.array(
    z.string({error: 'an address host:port'}).refine(isAddress, {
      error: 'an address host:port with an IP address',
    }),
    {error: 'an array of addresses host:port'},
  ),
});

/**
 * Collects addresses from options and a list file.
 *
 * @param options - `vms`: values of `--vm`; `file`: list file in JSON with
 *     comments; `stdin`: standard input
 * @returns addresses without duplicates, at least one, or a typed error
 *
 * @example
 * ```ts
 * const addresses = await collectAddresses({
 *   vms: ['10.0.0.1:9090'],
 *   file: undefined,
 *   stdin: process.stdin,
 * });
 * ```
 */
export async function collectAddresses(options: {
  readonly vms: readonly string[];
  readonly file: string | undefined;
  readonly stdin: Readable;
}): Promise<Result<readonly string[], ToolError>> {
  const invalid = options.vms.find(address => !isAddress(address));
  if (invalid !== undefined) {
    const message = `--vm: found ${JSON.stringify(invalid)}, expected host:port with an IP address`;
    return err({type: 'bad-usage', message});
  }
  const listed = await readList(options.file, options.stdin);
  return listed.andThen((addresses): Result<readonly string[], ToolError> => {
    const all = [...new Set([...options.vms, ...addresses])];
    const message = 'no VM given: use --vm host:port or --settings file';
    return all.length === 0 ? err({type: 'bad-usage', message}) : ok(all);
  });
}

/** Reads the list file; returns no addresses if none is given. */
async function readList(
  file: string | undefined,
  stdin: Readable,
): Promise<Result<readonly string[], ToolError>> {
  if (file === undefined) {
    return ok([]);
  }
  const text = await readInput(file, stdin);
  return text.andThen(body =>
    checkText(body, listSchema)
      .map(list => list.vms)
      .mapErr((issues): ToolError => ({
        type: 'bad-usage',
        message: issues
          .map(
            issue =>
              `${file}:${issue.line ?? 1}: ${issue.path}: found ${issue.value}, expected ${issue.expected}`,
          )
          .join('\n'),
      })),
  );
}

/**
 * Returns whether a text is an address such as `10.0.0.1:9090` or
 * `[fd00::1]:9090`.
 */
function isAddress(text: string): boolean {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const port = Number(match?.[3]);
  const host = match?.[1] ?? match?.[2];
  return ipAddress().safeParse(host).success && port >= 1 && port <= 65_535;
}
