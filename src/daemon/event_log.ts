/**
 * Log of the events of the engine and of the daemon.
 *
 * @packageDocumentation
 */
import type {EventPart, TimelineEvent} from '../timeline/index.js';

/** Details of an event without nested values. */
export type EventDetails = Readonly<Record<string, string | number | boolean>>;

/** Timestamps and stores events. */
export abstract class EventLog {
  /** Records an event. */
  abstract record(part: EventPart, name: string, details: EventDetails): void;

  /** Returns the events that are still stored, oldest first. */
  abstract events(): readonly TimelineEvent[];
}
