/**
 * The document that puts another preset in force.
 *
 * @packageDocumentation
 */
import {applyEdits, modify} from 'jsonc-parser';
import {err, type Result} from 'neverthrow';
import type {DocumentError} from './input_issue.js';
import {parseConfigDocument} from './parse_config.js';
import type {ConfigDocument} from './types.js';

/** Why there is no next document. */
export type NextDocumentError =
  | DocumentError
  | {
      readonly type: 'unknown-preset';
      readonly presetName: string;
      readonly presetNames: readonly string[];
    };

/** The next document. */
export interface NextDocument {
  /** Text with the comments of the old one. */
  readonly body: string;
  readonly document: ConfigDocument;
}

/**
 * Raises the revision by one and sets the preset in force. Comments and
 * layout of the document are kept. Pure.
 *
 * @param body - document to start from
 * @param presetName - preset to put in force; it may be in force already
 * @returns the next document, or why there is none
 *
 * @example
 * ```ts
 * const next = nextDocument(body, 'lunch');
 * ```
 */
export function nextDocument(
  body: string,
  presetName: string,
): Result<NextDocument, NextDocumentError> {
  return parseConfigDocument(body).andThen<
    Result<NextDocument, NextDocumentError>
  >(current => {
    if (!current.presets.has(presetName)) {
      const presetNames = [...current.presets.keys()];
      return err({type: 'unknown-preset', presetName, presetNames});
    }
    const renamed = setValue(body, 'inForce', presetName);
    const nextBody = setValue(renamed, 'revision', current.revision + 1);
    return parseConfigDocument(nextBody).map(document => ({
      body: nextBody,
      document,
    }));
  });
}

/** Replaces the value of a top-level key in the text. */
function setValue(body: string, key: string, value: string | number): string {
  return applyEdits(body, modify(body, [key], value, {}));
}
