/**
 * Single calls of the platform's document protocol.
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

/** Time limit for a response, in addition to the waiting time of a watch. */
const RESPONSE_TIMEOUT_MS = 5_000;

/** Time limit for opening a connection. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Header with the version that the platform assigned to a document. */
const VERSION_HEADER = 'x-platform-version';

/** Header with the number of times that the platform was restored. */
const ERA_HEADER = 'x-platform-era';

/** Status for a version that the platform does not have. */
const STATUS_GONE = 410;

/** Error of a call to the platform. */
export type PlatformError =
  /** No complete response: refused, timed out, broken off or aborted. */
  | {readonly type: 'unreachable'; readonly reason: string}
  /** The platform was restored and does not have the watched version. */
  | {readonly type: 'history-lost'; readonly reason: string}
  /** The response violates the protocol. */
  | {readonly type: 'malformed-answer'; readonly reason: string};

/**
 * Document of a valid response; undefined if a watch ended without a newer
 * version.
 */
export type PlatformResponse = PublishedDocument | undefined;

/** Options of {@link callPlatform}. */
export interface CallOptions {
  readonly baseUrl: string;
  readonly name: DocumentName;
  /** Waits for a version above this one; undefined to read without waiting. */
  readonly after: number | undefined;
  /** Era of the version waited for. */
  readonly era: number | undefined;
  /** Time to wait for a newer version, in milliseconds. */
  readonly waitMs: number;
  /** Value of the `user-agent` header. */
  readonly userAgent: string;
  readonly signal: AbortSignal;
}

/**
 * Reads a document, or waits for a newer version of it. The document store, not
 * this function, validates the body.
 *
 * @param options - document, platform and waiting time
 * @returns the document, undefined if there is no newer one, or a typed error;
 *     never throws
 *
 * @example
 * ```ts
 * const response = await callPlatform({baseUrl, name: 'config', after: 7,
 *     waitMs: 25_000, userAgent: 'sycamorepitch/e-01', signal});
 * ```
 */
export async function callPlatform(
  options: CallOptions,
): Promise<Result<PlatformResponse, PlatformError>> {
  const {after, waitMs} = options;
  // One controller per call: signals derived with AbortSignal.any would
  // accumulate on the reader's signal, which lives as long as the process.
  const cancel = new AbortController();
  let tooLarge = false;
  const onAbort = (): void => cancel.abort();
  options.signal.addEventListener('abort', onAbort);
  const request = got(
    new URL(`/v1/documents/${options.name}`, options.baseUrl),
    {
      searchParams: after === undefined ? {} : {after, waitMs},
      headers: {'user-agent': options.userAgent},
      responseType: 'buffer',
      retry: {limit: 0},
      followRedirect: false,
      throwHttpErrors: false,
      signal: cancel.signal,
      timeout: {
        connect: CONNECT_TIMEOUT_MS,
        request: RESPONSE_TIMEOUT_MS + (after === undefined ? 0 : waitMs),
      },
    },
  );
  request.on('downloadProgress', progress => {
    if (progress.transferred > MAX_TEXT_BYTES) {
      tooLarge = true;
      cancel.abort();
    }
  });
  try {
    return parseResponse(options, await request);
  } catch (error) {
    return tooLarge
      ? malformedResponse(`a body of more than ${MAX_TEXT_BYTES} bytes`)
      : err({type: 'unreachable', reason: reasonOf(error)});
  } finally {
    options.signal.removeEventListener('abort', onAbort);
  }
}

/** Checks status, version header and encoding of a response. */
function parseResponse(
  options: CallOptions,
  response: Response<Buffer>,
): Result<PlatformResponse, PlatformError> {
  const era = parseVersion(response.headers[ERA_HEADER] ?? '0');
  if (era === undefined) {
    return malformedResponse(
      `header ${ERA_HEADER} is ${response.headers[ERA_HEADER]}`,
    );
  }
  const isWatch = options.after !== undefined;
  if (isWatch && (response.statusCode === STATUS_GONE || era !== options.era)) {
    return err({type: 'history-lost', reason: `the platform is in era ${era}`});
  }
  if (response.statusCode === 304 && isWatch) {
    return ok(undefined);
  }
  if (response.statusCode !== 200) {
    return malformedResponse(`status ${response.statusCode}`);
  }
  const header = response.headers[VERSION_HEADER];
  const platformVersion = parseVersion(header);
  if (platformVersion === undefined) {
    return malformedResponse(
      `header ${VERSION_HEADER} is ${header ?? 'missing'}`,
    );
  }
  const body = decode(response.body);
  return body === undefined
    ? malformedResponse('a body that is not UTF-8')
    : ok(publishedDocument(options.name, platformVersion, body, era));
}

/** Parses a version; returns undefined if it is not a safe integer. */
function parseVersion(
  header: string | string[] | undefined,
): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,16}$/.test(header)) {
    return undefined;
  }
  const version = Number(header);
  return Number.isSafeInteger(version) ? version : undefined;
}

/** Decodes UTF-8; returns undefined if it is invalid. */
function decode(body: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(
      body,
    );
  } catch {
    return undefined;
  }
}

/** Returns the error for a response that violates the protocol. */
function malformedResponse(reason: string): Result<never, PlatformError> {
  return err({type: 'malformed-answer', reason});
}

/** Returns the code of an exception of got, or its message. */
function reasonOf(error: unknown): string {
  const {code, message} = error as {code?: string; message?: string};
  return code ?? message ?? String(error);
}
