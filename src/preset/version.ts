/**
 * Total order of document versions.
 *
 * @packageDocumentation
 */
import {createHash} from 'node:crypto';
import {findTopLevelNumber} from './jsonc_text.js';
import type {
  DocumentName,
  DocumentVersion,
  PublishedDocument,
} from './types.js';

/**
 * Compares two versions: revision, then era and version of the platform, then
 * hash.
 *
 * @param a - first version
 * @param b - second version
 * @returns a negative number if `a` is older, 0 if equal, else a positive one
 *
 * @example
 * ```ts
 * const newest = versions.toSorted(compareVersions).at(-1);
 * ```
 */
export function compareVersions(
  a: DocumentVersion,
  b: DocumentVersion,
): number {
  if (a.revision !== b.revision) {
    return a.revision - b.revision;
  }
  if (a.platformEra !== b.platformEra) {
    return a.platformEra - b.platformEra;
  }
  if (a.platformVersion !== b.platformVersion) {
    return a.platformVersion - b.platformVersion;
  }
  if (a.sha256 === b.sha256) {
    return 0;
  }
  return a.sha256 < b.sha256 ? -1 : 1;
}

/**
 * Hashes a body.
 *
 * @param body - text of a document
 * @returns SHA-256 of the UTF-8 bytes, 64 hexadecimal digits; the same as
 *     `sha256sum` prints for the file
 *
 * @example
 * ```ts
 * const sha256 = hashBody(body);
 * ```
 */
export function hashBody(body: string): string {
  return createHash('sha256').update(body, 'utf8').digest('hex');
}

/**
 * Creates a published document from the platform's response.
 *
 * @param name - name of the document
 * @param platformVersion - version that the platform assigned
 * @param body - text of the document; it may be malformed
 * @param platformEra - era of the platform; 0 if it does not tell
 * @returns the document with its version, whose revision is 0 if unreadable
 *
 * @example
 * ```ts
 * const published = publishedDocument('config', 7, body);
 * ```
 */
export function publishedDocument(
  name: DocumentName,
  platformVersion: number,
  body: string,
  platformEra = 0,
): PublishedDocument {
  const revision = name === 'config' ? readRevision(body) : 0;
  const sha256 = hashBody(body);
  return {
    name,
    version: {revision, platformVersion, platformEra, sha256},
    body,
  };
}

/**
 * Reads the revision of a config document that may be malformed.
 *
 * @param body - text of the document
 * @returns the revision; 0 if none can be read
 */
function readRevision(body: string): number {
  const revision = findTopLevelNumber(body, 'revision') ?? 0;
  return Number.isSafeInteger(revision) ? revision : 0;
}
