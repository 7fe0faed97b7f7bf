/**
 * Event log in a ring buffer.
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

/**
 * Timestamps events with a hybrid clock, counts them, and stores the newest
 * ones.
 */
export class RingEventLog extends EventLog {
  private readonly ring = new EventRing();

  /**
   * @param vmId - id of this VM, set on each event
   * @param clock - clock that is also synchronized by messages between VMs
   * @param metrics - metrics that count the events
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
