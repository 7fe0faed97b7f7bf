/**
 * Where events of the engine and of the daemon go.
 *
 * @packageDocumentation
 */
import type {EventPart, TimelineEvent} from '../timeline/index.js';

/** Flat details of an event. */
export type EventDetails = Readonly<Record<string, string | number | boolean>>;

/** Stamps and keeps events. */
export abstract class EventLog {
  /** Records an event. */
  abstract record(part: EventPart, name: string, details: EventDetails): void;

  /** Lists the events that are still kept, oldest first. */
  abstract events(): readonly TimelineEvent[];
}
