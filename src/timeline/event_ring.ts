/**
 * Ring buffer of events.
 *
 * @packageDocumentation
 */
import type {TimelineEvent} from './types.js';

/** Events kept by a process. */
export const RING_CAPACITY = 4_096;

/**
 * Keeps the newest events.
 *
 * @example
 * ```ts
 * const ring = new EventRing();
 * ring.add(event);
 * ring.events();
 * ```
 */
export class EventRing {
  private readonly capacity: number;
  private readonly slots: TimelineEvent[] = [];
  private addedCount = 0;

  /** @param options - `capacity`: events kept, 4,096 by default */
  constructor(options: {readonly capacity?: number} = {}) {
    this.capacity = options.capacity ?? RING_CAPACITY;
  }

  /**
   * Adds an event; the oldest one is dropped when the ring is full.
   *
   * @param event - the event
   */
  add(event: TimelineEvent): void {
    this.slots[this.addedCount % this.capacity] = event;
    this.addedCount += 1;
  }

  /**
   * Lists the events.
   *
   * @returns the events kept, oldest first
   */
  events(): readonly TimelineEvent[] {
    const start = this.addedCount % this.capacity;
    return this.addedCount < this.capacity
      ? [...this.slots]
      : [...this.slots.slice(start), ...this.slots.slice(0, start)];
  }

  /** Number of events that were dropped because the ring was full. */
  droppedCount(): number {
    return Math.max(0, this.addedCount - this.capacity);
  }
}
