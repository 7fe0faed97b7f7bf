/**
 * Ring buffer of events.
 *
 * @packageDocumentation
 */
import type {TimelineEvent} from './types.js';

/** Number of events that a process keeps. */
export const RING_CAPACITY = 4_096;

/**
 * Ring buffer that keeps the newest events.
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

  /** @param options - `capacity`: number of events kept, 4,096 by default */
  constructor(options: {readonly capacity?: number} = {}) {
    this.capacity = options.capacity ?? RING_CAPACITY;
  }

  /**
   * Adds an event and drops the oldest one if the ring is full.
   *
   * @param event - event to add
   */
  add(event: TimelineEvent): void {
    this.slots[this.addedCount % this.capacity] = event;
    this.addedCount += 1;
  }

  /**
   * Returns the events kept.
   *
   * @returns events, oldest first
   */
  events(): readonly TimelineEvent[] {
    const start = this.addedCount % this.capacity;
    return this.addedCount < this.capacity
      ? [...this.slots]
      : [...this.slots.slice(start), ...this.slots.slice(0, start)];
  }

  /** Returns the number of events dropped because the ring was full. */
  droppedCount(): number {
    return Math.max(0, this.addedCount - this.capacity);
  }
}
