/**
 * Types of the timeline.
 *
 * @packageDocumentation
 */

/** Timestamp of a hybrid logical clock. */
export interface HybridTime {
  /** Wall clock, milliseconds since the Unix epoch; for display and order. */
  readonly wallMs: number;
  /** Logical counter that orders events of the same `wallMs`. */
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

/** Event of the timeline. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly vmId: string;
  readonly part: EventPart;
  /** Short name, such as `target-ejected`. */
  readonly name: string;
  /** Additional values by name. */
  readonly details: Readonly<Record<string, string | number | boolean>>;
}
