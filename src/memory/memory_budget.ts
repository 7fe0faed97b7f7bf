/**
 * Budget for the bytes that a process holds for callers.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import {MAX_BLOCK_BYTES} from './chunk_buffer.js';

const MEGABYTE = 1024 * 1024;

/**
 * Memory of a daemon beside what it holds for callers, in megabytes: its code
 * and heap, and buffers that were dropped and not collected yet, of which V8
 * lets 64 MB gather.
 */
const RESERVED_MB = 140;

/**
 * Bounds of the budget, in megabytes. The lower one lets a body of 8 MiB be
 * joined; above the upper one, only more would be held of what nobody ends.
 */
const MIN_CAPACITY_MB = 16;
const MAX_CAPACITY_MB = 128;

/**
 * Share of the free memory that is budgeted. A body is held twice while its
 * parts are joined.
 */
const BUDGETED_SHARE = 0.5;

/** Holdings up to this size, in bytes, may use the part kept for them. */
const SMALL_HOLDING_BYTES = 16 * 1024;

/**
 * Share of the budget that is kept for small holdings: at least 256 of them on
 * the smallest machine.
 */
const SMALL_HOLDINGS_SHARE = 0.25;

/** Time in milliseconds without progress after which a holder is stalled. */
const STALLED_MS = 1_000;

/**
 * Computes the budget of a machine.
 *
 * @param memoryMb - memory of the machine in megabytes
 * @returns budget in bytes
 */
export function memoryCapacityBytes(memoryMb: number): number {
  const budgetedMb = (memoryMb - RESERVED_MB) * BUDGETED_SHARE;
  const capacityMb = Math.min(
    MAX_CAPACITY_MB,
    Math.max(MIN_CAPACITY_MB, budgetedMb),
  );
  return Math.floor(capacityMb * MEGABYTE);
}

/** What the choice of a holder to evict looks at. */
export interface EvictionCandidate {
  readonly heldBytes: number;
  /** Instant at which its other end last sent or read something. */
  readonly lastProgressMs: InstantMs;
}

/**
 * Chooses whom to refuse when the budget is full: the one that has been stalled
 * for longest, since nobody waits for it any more; without a stalled one, the
 * largest, so that one caller's excess does not end many small ones.
 *
 * @param candidates - holders that may be refused
 * @param nowMs - current instant in milliseconds
 * @returns the chosen one; undefined without candidates
 */
export function chooseEvicted<T extends EvictionCandidate>(
  candidates: Iterable<T>,
  nowMs: InstantMs,
): T | undefined {
  let oldest: T | undefined;
  let largest: T | undefined;
  for (const candidate of candidates) {
    if (candidate.heldBytes === 0) {
      continue;
    }
    if (
      oldest === undefined ||
      candidate.lastProgressMs < oldest.lastProgressMs
    ) {
      oldest = candidate;
    }
    if (largest === undefined || candidate.heldBytes > largest.heldBytes) {
      largest = candidate;
    }
  }
  const isStalled =
    oldest !== undefined && nowMs - oldest.lastProgressMs >= STALLED_MS;
  return isStalled ? oldest : largest;
}

/** Something that holds bytes of a budget. */
export abstract class MemoryHolder implements EvictionCandidate {
  heldBytes = 0;
  lastProgressMs: InstantMs = 0;
  /** False while it is in service and must not be given up. */
  isEvictable = true;

  /** Ends the holder's connection; the budget has released its bytes. */
  abstract onEvicted(): void;
}

/**
 * Divides a fixed number of bytes among holders. When they do not suffice,
 * holders are evicted; see {@link chooseEvicted}.
 */
export class MemoryBudget {
  private readonly holders = new Set<MemoryHolder>();
  private heldBytes = 0;

  /** @param capacityBytes - bytes that all holders together may hold */
  constructor(readonly capacityBytes: number) {}

  /** Largest body that fits while its parts are joined, in bytes. */
  get maxBodyBytes(): number {
    return Math.floor((this.capacityBytes - MAX_BLOCK_BYTES) / 2);
  }

  /** Bytes that are held. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /**
   * Sets the bytes of a holder, and evicts others if they do not fit.
   *
   * @param holder - holder that has made progress
   * @param sizeBytes - all bytes that it holds from now on
   * @param nowMs - current instant in milliseconds
   * @returns false if the holder itself has to be refused; it holds nothing then
   */
  resize(holder: MemoryHolder, sizeBytes: number, nowMs: InstantMs): boolean {
    this.holders.add(holder);
    holder.lastProgressMs = nowMs;
    const isSmall = sizeBytes <= SMALL_HOLDING_BYTES || !holder.isEvictable;
    const limitBytes = isSmall
      ? this.capacityBytes
      : this.capacityBytes * (1 - SMALL_HOLDINGS_SHARE);
    this.heldBytes += sizeBytes - holder.heldBytes;
    holder.heldBytes = sizeBytes;
    while (this.heldBytes > limitBytes) {
      const evicted = chooseEvicted(this.evictable(), nowMs) ?? holder;
      this.release(evicted);
      if (evicted === holder) {
        return false;
      }
      evicted.onEvicted();
    }
    return true;
  }

  /** Releases all bytes of a holder. */
  release(holder: MemoryHolder): void {
    if (this.holders.delete(holder)) {
      this.heldBytes -= holder.heldBytes;
      holder.heldBytes = 0;
    }
  }

  private *evictable(): Iterable<MemoryHolder> {
    for (const holder of this.holders) {
      if (holder.isEvictable) {
        yield holder;
      }
    }
  }
}
