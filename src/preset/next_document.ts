/**
 * Creation of the document that puts another preset in force.
 *
 * @packageDocumentation
 */
import {applyEdits, modify} from 'jsonc-parser';
import {err, type Result} from 'neverthrow';
import type {DocumentError} from './input_issue.js';
import {parseConfigDocument} from './parse_config.js';
import type {ConfigDocument} from './types.js';

/** Reason why no next document can be created. */
export type NextDocumentError =
  | DocumentError
  | {
      readonly type: 'unknown-preset';
      readonly presetName: string;
      readonly presetNames: readonly string[];
    };

/** A new document with a raised revision. */
export interface NextDocument {
  /** Text that keeps the comments of the previous document. */
  readonly body: string;
  readonly document: ConfigDocument;
}

/**
 * Increments the revision and sets the preset in force. Keeps comments and
 * layout of the document. Pure.
 *
 * @param body - text of the current document
 * @param presetName - preset to put in force; it may be in force already
 * @returns the next document, or the reason why there is none
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
    const switchedBody = setValue(body, 'inForce', presetName);
    const nextBody = setValue(switchedBody, 'revision', current.revision + 1);
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
