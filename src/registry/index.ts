/**
 * Published routes and targets, and their replica in each VM.
 *
 * @packageDocumentation
 */
export {PublishedSource, type SourceError} from './published_source.js';
export {
  PublishedState,
  type OfferResult,
  type StateChange,
} from './published_state.js';
export {comparePositions} from './store_position.js';
export {
  DEPARTURE_TTL_MS,
  MISSING_TARGET_TTL_MS,
  TargetRegistry,
  type HeldTargetCounts,
  type KnownTarget,
} from './target_registry.js';
export type * from './types.js';
