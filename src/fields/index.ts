/**
 * Type-checked access to the fields of JSON documents.
 *
 * @packageDocumentation
 */
export {
  decodeWith,
  FieldError,
  FieldReader,
  parseAddress,
} from './field_reader.js';
