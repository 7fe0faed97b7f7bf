/**
 * Events in the ring of this process.
 *
 * @packageDocumentation
 */
import {
  EventRing,
  type EventPart,
  type HybridClock,
  type TimelineEvent,
} from '../timeline/index.js';
import type {DaemonMetrics} from './daemon_metrics.js';
import {EventLog, type EventDetails} from './event_log.js';

/** Stamps events with the hybrid clock, counts them and keeps the newest ones. */
export class RingEventLog extends EventLog {
  private readonly ring = new EventRing();

  /**
   * @param vmId - stamped on each event
   * @param clock - clock that messages between VMs carry as well
   * @param metrics - counts the events
   */
  constructor(
    private readonly vmId: string,
    private readonly clock: HybridClock,
    private readonly metrics: DaemonMetrics,
  ) {
    super();
  }

  override record(part: EventPart, name: string, details: EventDetails): void {
    const time = this.clock.next(Date.now());
    this.metrics.onEvent(part, name);
    this.ring.add({time, vmId: this.vmId, part, name, details});
  }

  override events(): readonly TimelineEvent[] {
    return this.ring.events();
  }
}
