/**
 * Type-checked access to the fields of JSON documents.
 *
 * @packageDocumentation
 */
export {
  FieldError,
  FieldReader,
  parseAddress,
  tryDecode,
} from './field_reader.js';
