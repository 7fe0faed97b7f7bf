/**
 * Published routes and targets, and their replica in each VM.
 *
 * @packageDocumentation
 */
export {PublishedSource, type SourceError} from './published_source.js';
export {
  PublishedState,
  type KnownTarget,
  type OfferResult,
  type StateChange,
} from './published_state.js';
export type {
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  RegisteredTarget,
  Revision,
} from './types.js';
