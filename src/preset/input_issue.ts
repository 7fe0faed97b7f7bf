/**
 * Errors found in a document or a settings file.
 *
 * @packageDocumentation
 */
import type {DocumentName} from './types.js';

/** One error in a text in JSON with comments. */
export interface InputIssue {
  /** Path such as `presets.lunch.vmCeiling`; empty for the whole text. */
  readonly path: string;
  /** Line, counted from 1; undefined if the error belongs to no line. */
  readonly line: number | undefined;
  /** Value found, as shortened JSON text; `missing` if there is none. */
  readonly value: string;
  /** What was expected instead. */
  readonly expected: string;
}

/** A document that was rejected as a whole, with all its errors. */
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
