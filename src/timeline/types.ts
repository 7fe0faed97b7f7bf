/**
 * Shapes of the time line of events.
 *
 * @packageDocumentation
 */

/** Stamp of a hybrid logical clock. */
export interface HybridTime {
  /** Wall clock, milliseconds since the Unix epoch; for display and order. */
  readonly wallMs: number;
  /** Logical counter within one millisecond. */
  readonly counter: number;
}

/** Part of the system that an event belongs to. */
export type EventPart =
  | 'attempt'
  | 'request'
  | 'target'
  | 'config'
  | 'membership'
  | 'recovery'
  | 'process';

/** One event of the time line. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly vmId: string;
  readonly part: EventPart;
  /** Short name such as `target-ejected`. */
  readonly name: string;
  /** Flat details. */
  readonly details: Readonly<Record<string, string | number | boolean>>;
}
