/**
 * Documents of the platform: types, parsing, versions, adoption, lookup of
 * kinds and differences. Pure.
 *
 * @packageDocumentation
 */
export {diffConfigs, formatChange, type DocumentChange} from './diff.js';
export {
  createConfigStore,
  createVmListStore,
  DocumentStore,
  type AdoptedDocument,
  type AdoptionEvent,
  type AdoptionState,
  type OfferOutcome,
} from './document_store.js';
export {
  formatIssue,
  type DocumentError,
  type InputIssue,
} from './input_issue.js';
export {findKind} from './kind_lookup.js';
export {
  nextDocument,
  type NextDocument,
  type NextDocumentError,
} from './next_document.js';
export {parseConfigDocument, ROUTING_POLICY_NAMES} from './parse_config.js';
export {parseVmListDocument} from './parse_vms.js';
export {selectPlatformReaders} from './platform_readers.js';
export {
  checkText,
  closedObject,
  flag,
  identifier,
  ipAddress,
  MAX_TEXT_BYTES,
  numberIn,
  oneOf,
  stringMatching,
  wholeNumber,
  type Rule,
  type RuleIssue,
} from './schema_parts.js';
export * from './status_types.js';
export * from './types.js';
export {compareVersions, hashBody, publishedDocument} from './version.js';
