/**
 * Bodies of requests while they arrive.
 *
 * @packageDocumentation
 */
import type {IncomingMessage} from 'node:http';
import type {Clock, InstantMs} from '../core/index.js';
import {ChunkBuffer, MemoryHolder, type MemoryBudget} from '../memory/index.js';

/** Size below which a chunk costs more to read than to hold, in bytes. */
const SMALL_CHUNK_BYTES = 64;

/**
 * Small chunks from which on a body counts as costly to read: those of up to
 * 256 KiB. Fewer take a small VM some tens of milliseconds.
 */
const MAX_SMALL_CHUNKS = 4_096;

/**
 * Costly bodies that are read at a time. Each may take a large part of a small
 * VM's processor time.
 */
const MAX_COSTLY_BODIES = 2;

/** Time in milliseconds without a chunk after which a costly body gives way. */
const COSTLY_STALL_MS = 1_000;

/** Why a body is not read to its end. */
export type BodyRefusal = 'body-too-large' | 'memory-full' | 'chunks-too-small';

/** Receives the end of a body. */
export interface BodyListener {
  /** Called with the complete body. */
  onComplete(body: Buffer): void;
  /** Called when the body is refused; nothing more is read of it. */
  onRefused(refusal: BodyRefusal): void;
}

/** Options of {@link RequestBody}. */
export interface RequestBodyOptions {
  readonly request: IncomingMessage;
  readonly clock: Clock;
  readonly budget: MemoryBudget;
  readonly costlyBodies: CostlyBodies;
  /** Returns the largest size that is accepted, in bytes. */
  readonly maxBytes: () => number;
  readonly listener: BodyListener;
}

/** Reads the body of a request, within the budget of the process. */
export class RequestBody extends MemoryHolder {
  private readonly chunks = new ChunkBuffer();
  private smallChunkCount = 0;
  private hasEnded = false;

  /** @param options - request, budget and listener */
  constructor(private readonly options: RequestBodyOptions) {
    super();
    const {request} = options;
    request.on('data', (chunk: Buffer) => this.onChunk(chunk));
    request.on('end', () => this.onEnd());
    // Also called for a request whose caller disconnects in the middle.
    request.on('close', () => this.abandon());
  }

  override onEvicted(): void {
    this.refuse('memory-full');
  }

  /** Refuses the body, whatever has arrived of it. */
  refuse(refusal: BodyRefusal): void {
    if (!this.hasEnded) {
      this.end();
      this.options.listener.onRefused(refusal);
    }
  }

  /** Releases a complete body after its request was answered. */
  release(): void {
    this.options.budget.release(this);
  }

  private onChunk(chunk: Buffer): void {
    if (this.hasEnded) {
      return;
    }
    const {budget, clock, maxBytes} = this.options;
    const nowMs = clock.nowMs();
    this.chunks.append(chunk);
    if (this.chunks.sizeBytes > maxBytes()) {
      this.refuse('body-too-large');
    } else if (!budget.resize(this, this.chunks.heldBytes, nowMs)) {
      this.refuse('memory-full');
    } else if (chunk.length < SMALL_CHUNK_BYTES) {
      this.countSmallChunk(nowMs);
    }
  }

  private countSmallChunk(nowMs: InstantMs): void {
    this.smallChunkCount += 1;
    const {costlyBodies} = this.options;
    if (
      this.smallChunkCount === MAX_SMALL_CHUNKS &&
      !costlyBodies.tryAdd(this, nowMs)
    ) {
      this.refuse('chunks-too-small');
    }
  }

  private onEnd(): void {
    if (this.hasEnded) {
      return;
    }
    const {budget, clock, listener} = this.options;
    const {heldBytes, joinedBytes} = this.chunks;
    // Complete: it may use the whole budget, and others give way to it.
    this.isEvictable = false;
    if (!budget.resize(this, heldBytes + joinedBytes, clock.nowMs())) {
      this.refuse('memory-full');
      return;
    }
    const body = this.chunks.toBuffer();
    this.options.costlyBodies.delete(this);
    this.hasEnded = true;
    budget.resize(this, body.length, clock.nowMs());
    listener.onComplete(body);
  }

  private abandon(): void {
    if (!this.hasEnded) {
      this.end();
    }
  }

  private end(): void {
    this.hasEnded = true;
    this.chunks.takeParts();
    this.options.costlyBodies.delete(this);
    this.options.budget.release(this);
  }
}

/** Bounds how many bodies in very small chunks are read at the same time. */
export class CostlyBodies {
  private readonly bodies = new Set<RequestBody>();

  /**
   * Adds a body; one that has stalled gives way to it.
   *
   * @param body - body that has become costly
   * @param nowMs - current instant in milliseconds
   * @returns false if as many bodies are read already
   */
  tryAdd(body: RequestBody, nowMs: InstantMs): boolean {
    if (this.bodies.size >= MAX_COSTLY_BODIES) {
      const stalled = [...this.bodies].find(
        ({lastProgressMs}) => nowMs - lastProgressMs >= COSTLY_STALL_MS,
      );
      stalled?.refuse('chunks-too-small');
    }
    if (this.bodies.size >= MAX_COSTLY_BODIES) {
      return false;
    }
    this.bodies.add(body);
    return true;
  }

  /** Removes a body, if it was added. */
  delete(body: RequestBody): void {
    this.bodies.delete(body);
  }
}
