/**
 * Reading of the files that commands take.
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

/** A config document with its text. */
export interface ConfigFile {
  readonly file: string;
  readonly body: string;
  readonly document: ConfigDocument;
}

/**
 * Reads a file.
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
    const bytes = await (file === '-' ? readStart(stdin) : readFileStart(file));
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

/** Adds the file to the error of a document. */
function toToolError(file: string, error: DocumentError): ToolError {
  return {type: 'invalid-document', file, issues: error.issues};
}

/** Reads a file up to just above the size limit. */
async function readFileStart(file: string): Promise<Buffer> {
  const handle = await open(file);
  return await readStart(handle.createReadStream());
}

/**
 * Reads a stream up to just above the size limit, which the validation then
 * reports.
 */
async function readStart(stream: Readable): Promise<Buffer> {
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
