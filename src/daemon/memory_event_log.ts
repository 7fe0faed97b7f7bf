/**
 * Events kept in memory.
 *
 * @packageDocumentation
 */
import type {EventPart, TimelineEvent} from '../timeline/index.js';
import {EventLog, type EventDetails} from './event_log.js';

/** Events kept (section 3.10 of the design page). */
const CAPACITY = 4_096;

/** Keeps the newest events, stamped with the wall clock. */
export class MemoryEventLog extends EventLog {
  private readonly kept: TimelineEvent[] = [];

  /** @param vmId - stamped on each event */
  constructor(private readonly vmId: string) {
    super();
  }

  override record(part: EventPart, name: string, details: EventDetails): void {
    const time = {wallMs: Date.now(), counter: 0};
    this.kept.push({time, vmId: this.vmId, part, name, details});
    if (this.kept.length > CAPACITY) {
      this.kept.shift();
    }
  }

  override events(): readonly TimelineEvent[] {
    return this.kept;
  }
}
