/**
 * Reading of the input files of commands.
 *
 * @packageDocumentation
 */
import {open} from 'node:fs/promises';
import type {Readable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {
  MAX_TEXT_BYTES,
  parseConfigDocument,
  parseVmListDocument,
  type ConfigDocument,
  type DocumentError,
  type VmListDocument,
} from '../preset/index.js';
import type {ToolError} from './tool_error.js';

/** Config document with its source text. */
export interface ConfigFile {
  readonly file: string;
  readonly body: string;
  readonly document: ConfigDocument;
}

/**
 * Reads a file as UTF-8.
 *
 * @param file - path; `-` for the standard input
 * @param stdin - standard input
 * @returns the text, or a typed error; never throws
 *
 * @example
 * ```ts
 * const text = await readInput('presets.jsonc', process.stdin);
 * ```
 */
export async function readInput(
  file: string,
  stdin: Readable,
): Promise<Result<string, ToolError>> {
  try {
    const bytes = await (file === '-'
      ? readStreamLimited(stdin)
      : readFileLimited(file));
    const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
    return ok(decoder.decode(bytes));
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return err({type: 'unreadable-input', file, reason: code ?? message});
  }
}

/**
 * Reads and validates a config document.
 *
 * @param file - path; `-` for the standard input
 * @param stdin - standard input
 * @returns the document with its text, or a typed error
 *
 * @example
 * ```ts
 * const config = await readConfigFile('presets.jsonc', process.stdin);
 * ```
 */
export async function readConfigFile(
  file: string,
  stdin: Readable,
): Promise<Result<ConfigFile, ToolError>> {
  const text = await readInput(file, stdin);
  return text.andThen(body =>
    parseConfigDocument(body)
      .map(document => ({file, body, document}))
      .mapErr(error => toToolError(file, error)),
  );
}

/**
 * Reads and validates a list of VMs.
 *
 * @param file - path; `-` for the standard input
 * @param stdin - standard input
 * @returns the list, or a typed error
 *
 * @example
 * ```ts
 * const list = await readVmListFile('vms.jsonc', process.stdin);
 * ```
 */
export async function readVmListFile(
  file: string,
  stdin: Readable,
): Promise<Result<VmListDocument, ToolError>> {
  const text = await readInput(file, stdin);
  return text.andThen(body =>
    parseVmListDocument(body).mapErr(error => toToolError(file, error)),
  );
}

/** Returns the error of a document with the name of its file. */
function toToolError(file: string, error: DocumentError): ToolError {
  return {type: 'invalid-document', file, issues: error.issues};
}

/** Reads a file until the size limit is exceeded. */
async function readFileLimited(file: string): Promise<Buffer> {
  const handle = await open(file);
  return await readStreamLimited(handle.createReadStream());
}

/**
 * Reads a stream until the size limit is exceeded; the validation then reports
 * the excess.
 */
async function readStreamLimited(stream: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of stream) {
    const bytes = Buffer.from(chunk as Buffer);
    chunks.push(bytes);
    sizeBytes += bytes.length;
    if (sizeBytes > MAX_TEXT_BYTES) {
      break;
    }
  }
  return Buffer.concat(chunks);
}
