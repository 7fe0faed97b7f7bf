/**
 * One call of the platform's document protocol.
 *
 * @packageDocumentation
 */
import got, {type Response} from 'got';
import {err, ok, type Result} from 'neverthrow';
import {
  MAX_TEXT_BYTES,
  publishedDocument,
  type DocumentName,
  type PublishedDocument,
} from '../preset/index.js';

/** Time for an answer beyond the time that a watch waits. */
const ANSWER_TIMEOUT_MS = 5_000;

/** Time to open a connection. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Header with the version that the platform assigned. */
const VERSION_HEADER = 'x-platform-version';

/** Why a call yielded nothing. */
export type PlatformError =
  /** No answer: refused, timed out, broken or stopped. */
  | {readonly type: 'unreachable'; readonly reason: string}
  /** An answer that the protocol does not allow. */
  | {readonly type: 'malformed-answer'; readonly reason: string};

/** A valid answer; undefined if a watch ended without a newer version. */
export type PlatformAnswer = PublishedDocument | undefined;

/** A call. */
export interface CallOptions {
  readonly baseUrl: string;
  readonly name: DocumentName;
  /** Version to wait past; undefined to read at once. */
  readonly after: number | undefined;
  /** Time to wait for a newer version, in milliseconds. */
  readonly waitMs: number;
  /** Value of the `user-agent` header. */
  readonly userAgent: string;
  readonly signal: AbortSignal;
}

/**
 * Reads a document, or waits for a newer version of it. The body is not
 * validated here; the store does that.
 *
 * @param options - the call
 * @returns the answer or a typed error; never throws
 *
 * @example
 * ```ts
 * const answer = await callPlatform({baseUrl, name: 'config', after: 7,
 *     waitMs: 25_000, userAgent: 'sycamorepitch/e-01', signal});
 * ```
 */
export async function callPlatform(
  options: CallOptions,
): Promise<Result<PlatformAnswer, PlatformError>> {
  const {after, waitMs} = options;
  // One controller for each call: signals derived with AbortSignal.any would
  // pile up on the reader's signal, which lives as long as the process.
  const cancel = new AbortController();
  let tooLarge = false;
  const onStop = (): void => cancel.abort();
  options.signal.addEventListener('abort', onStop);
  const call = got(new URL(`/v1/documents/${options.name}`, options.baseUrl), {
    searchParams: after === undefined ? {} : {after, waitMs},
    headers: {'user-agent': options.userAgent},
    responseType: 'buffer',
    retry: {limit: 0},
    followRedirect: false,
    throwHttpErrors: false,
    signal: cancel.signal,
    timeout: {
      connect: CONNECT_TIMEOUT_MS,
      request: ANSWER_TIMEOUT_MS + (after === undefined ? 0 : waitMs),
    },
  });
  call.on('downloadProgress', progress => {
    if (progress.transferred > MAX_TEXT_BYTES) {
      tooLarge = true;
      cancel.abort();
    }
  });
  try {
    return interpret(options, await call);
  } catch (error) {
    return tooLarge
      ? malformed(`a body of more than ${MAX_TEXT_BYTES} bytes`)
      : err({type: 'unreachable', reason: reasonOf(error)});
  } finally {
    options.signal.removeEventListener('abort', onStop);
  }
}

/** Checks status, version header and encoding of an answer. */
function interpret(
  options: CallOptions,
  response: Response<Buffer>,
): Result<PlatformAnswer, PlatformError> {
  if (response.statusCode === 304 && options.after !== undefined) {
    return ok(undefined);
  }
  if (response.statusCode !== 200) {
    return malformed(`status ${response.statusCode}`);
  }
  const header = response.headers[VERSION_HEADER];
  const platformVersion = parseVersion(header);
  if (platformVersion === undefined) {
    return malformed(`header ${VERSION_HEADER} is ${header ?? 'missing'}`);
  }
  const body = decode(response.body);
  return body === undefined
    ? malformed('a body that is not UTF-8')
    : ok(publishedDocument(options.name, platformVersion, body));
}

/** Reads a version; undefined if it is no safe whole number. */
function parseVersion(
  header: string | string[] | undefined,
): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,16}$/.test(header)) {
    return undefined;
  }
  const version = Number(header);
  return Number.isSafeInteger(version) ? version : undefined;
}

/** Decodes UTF-8; undefined if it is invalid. */
function decode(body: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(
      body,
    );
  } catch {
    return undefined;
  }
}

/** Error of an answer that breaks the protocol. */
function malformed(reason: string): Result<never, PlatformError> {
  return err({type: 'malformed-answer', reason});
}

/** Short reason of an exception of got. */
function reasonOf(error: unknown): string {
  const {code, message} = error as {code?: string; message?: string};
  return code ?? message ?? String(error);
}
