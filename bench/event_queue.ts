/**
 * Provides the event queue of the simulations.
 *
 * @packageDocumentation
 */

/** Callback of an event. */
type Action = (nowMs: number) => void;

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly action: Action;
}

/** Binary heap of events, ordered by instant, then by insertion order. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private addedCount = 0;

  /**
   * Schedules an event.
   *
   * @param atMs - simulated instant in milliseconds
   * @param action - called with that instant
   */
  add(atMs: number, action: Action): void {
    const event = {atMs, order: this.addedCount++, action};
    let index = this.heap.length;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.heap[parentIndex];
      if (parent === undefined || precedes(parent, event)) {
        break;
      }
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = event;
  }

  /**
   * Runs events in order.
   *
   * @param endMs - instant after which no event runs
   */
  runUntil(endMs: number): void {
    for (let event = this.take(); event !== undefined; event = this.take()) {
      if (event.atMs > endMs) {
        return;
      }
      event.action(event.atMs);
    }
  }

  /** Removes and returns the earliest event. */
  private take(): ScheduledEvent | undefined {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (last !== undefined && last !== first) {
      this.sinkFromRoot(last);
    }
    return first;
  }

  /** Inserts an event at the empty root and sifts it down. */
  private sinkFromRoot(event: ScheduledEvent): void {
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      let child = this.heap[childIndex];
      const right = this.heap[childIndex + 1];
      if (
        child !== undefined &&
        right !== undefined &&
        precedes(right, child)
      ) {
        child = right;
        childIndex += 1;
      }
      if (child === undefined || precedes(event, child)) {
        this.heap[index] = event;
        return;
      }
      this.heap[index] = child;
      index = childIndex;
    }
  }
}

/** Returns whether event `a` runs before event `b`. */
function precedes(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
