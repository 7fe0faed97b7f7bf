/**
 * Errors found in a document or a settings file.
 *
 * @packageDocumentation
 */
import type {DocumentName} from './types.js';

/** An error in a JSON text with comments. */
export interface InputIssue {
  /** Path such as `presets.lunch.vmCeiling`; empty for the whole text. */
  readonly path: string;
  /** Line number from 1; undefined if the error has no line. */
  readonly line: number | undefined;
  /** Actual value as truncated JSON text; `missing` if there is none. */
  readonly value: string;
  /** Description of the expected value. */
  readonly expected: string;
}

/** Rejection of a whole document, with all its errors. */
export interface DocumentError {
  readonly type: 'invalid-document';
  readonly name: DocumentName;
  readonly issues: readonly InputIssue[];
}

/**
 * Formats an issue as one line of text.
 *
 * @param issue - issue to format
 * @returns text such as `line 4: inForce: found "x", expected a preset`
 *
 * @example
 * ```ts
 * const lines = error.issues.map(formatIssue);
 * ```
 */
export function formatIssue(issue: InputIssue): string {
  const line = issue.line === undefined ? '' : `line ${issue.line}: `;
  const path = issue.path === '' ? '' : `${issue.path}: `;
  return `${line}${path}found ${issue.value}, expected ${issue.expected}`;
}
