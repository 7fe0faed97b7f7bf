/**
 * Timing wheel for deadlines.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/** Width of a bucket; equals the tick interval. */
const BUCKET_MS = 10;

/**
 * Timing wheel with constant cost per item. An item becomes due at most one
 * bucket (10 ms) after its instant.
 *
 * @internal
 */
export class DeadlineWheel<T> {
  private readonly buckets = new Map<number, Set<T>>();
  private readonly bucketOf = new Map<T, number>();
  private nextBucket = 0;

  /** Schedules an item, or reschedules it. */
  set(item: T, atMs: InstantMs): void {
    this.delete(item);
    const index = Math.max(this.nextBucket, Math.floor(atMs / BUCKET_MS));
    let bucket = this.buckets.get(index);
    if (bucket === undefined) {
      bucket = new Set();
      this.buckets.set(index, bucket);
    }
    bucket.add(item);
    this.bucketOf.set(item, index);
  }

  /** Removes an item; has no effect if it is absent. */
  delete(item: T): void {
    const index = this.bucketOf.get(item);
    if (index === undefined) {
      return;
    }
    this.bucketOf.delete(item);
    const bucket = this.buckets.get(index);
    bucket?.delete(item);
    if (bucket?.size === 0) {
      this.buckets.delete(index);
    }
  }

  /** Removes and returns the items of all buckets that have fully passed. */
  takeDue(nowMs: InstantMs): readonly T[] {
    const endBucket = Math.floor(nowMs / BUCKET_MS);
    const due: T[] = [];
    for (const index of this.passedBuckets(endBucket)) {
      for (const item of this.buckets.get(index) ?? []) {
        this.bucketOf.delete(item);
        due.push(item);
      }
      this.buckets.delete(index);
    }
    this.nextBucket = Math.max(this.nextBucket, endBucket);
    return due;
  }

  /** Lists passed buckets; iterates the shorter of index range and map. */
  private passedBuckets(endBucket: number): readonly number[] {
    if (endBucket - this.nextBucket > this.buckets.size) {
      return [...this.buckets.keys()]
        .filter(index => index < endBucket)
        .sort((a, b) => a - b);
    }
    const passed: number[] = [];
    for (let index = this.nextBucket; index < endBucket; index += 1) {
      passed.push(index);
    }
    return passed;
  }
}
