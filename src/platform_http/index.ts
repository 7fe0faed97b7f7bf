/**
 * Client of the platform's configuration service.
 *
 * @packageDocumentation
 */
export type {PlatformError} from './platform_client.js';
export {
  PlatformReader,
  type PlatformCallCounts,
  type PlatformListener,
  type PlatformReaderOptions,
} from './platform_reader.js';
export {
  MAX_WATCH_MS,
  MIN_CALL_SPACING_MS,
  WatchSchedule,
  type CallOutcome,
  type PlannedCall,
} from './watch_schedule.js';
