/**
 * Type-checked access to the fields of JSON documents.
 *
 * @packageDocumentation
 */
export {
  tryDecode,
  FieldError,
  FieldReader,
  parseAddress,
} from './field_reader.js';
