/**
 * Timeline of events: hybrid clock, ring buffer, merging and rendering.
 *
 * @packageDocumentation
 */
export * from './types.js';
export {EventRing, RING_CAPACITY} from './event_ring.js';
export {compareTimes, HybridClock} from './hybrid_clock.js';
export {mergeEvents} from './merge_events.js';
export {renderText} from './render_text.js';
export {renderTrace} from './render_trace.js';
