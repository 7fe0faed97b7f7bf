/**
 * Response of a target, bound to its attempt.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';
import {ChunkBuffer} from '../memory/index.js';

/**
 * Size below which chunks are joined before they are passed on, in bytes. Each
 * chunk that waits for the caller costs hundreds of bytes beside its content.
 */
const SMALL_CHUNK_BYTES = 4 * 1024;

/** Receives a body that exceeds the buffer. */
export interface BodySink {
  /** Writes a chunk. Returns false to pause the source until `resume`. */
  write(chunk: Buffer): boolean;
  /** Called when the body is complete. */
  end(): void;
  /** Called when the target's connection failed before the end of the body. */
  abort(): void;
}

/** Controls the connection that delivers a body. */
export interface BodySource {
  pause(): void;
  resume(): void;
  /** Closes the connection to the target. */
  abort(): void;
}

/**
 * Holds status, headers and body of one response. Bodies up to the buffer limit
 * are complete when the response is reported; longer ones are streamed to a
 * sink.
 */
export class TargetResponse {
  private readonly buffered = new ChunkBuffer();
  private receivedSizeBytes = 0;
  private state: 'open' | 'complete' | 'broken' = 'open';
  private sink: BodySink | undefined;
  private isFlushScheduled = false;

  /**
   * @param token - token of the attempt that this response belongs to
   * @param status - HTTP status code
   * @param headers - fields with lower-case names
   * @param source - connection that delivers the body
   */
  constructor(
    readonly token: string,
    readonly status: number,
    readonly headers: HeaderFields,
    private readonly source: BodySource,
  ) {}

  /** Whether the complete body has arrived. */
  get complete(): boolean {
    return this.state === 'complete';
  }

  /** Size of the part of the body that has arrived. */
  get receivedBodyBytes(): number {
    return this.receivedSizeBytes;
  }

  /** Size of the part of the body that was buffered. */
  get sizeBytes(): number {
    return this.buffered.sizeBytes;
  }

  /**
   * Returns the buffered part of the body, which is all of it if `complete`.
   */
  body(): Buffer {
    return this.buffered.toBuffer();
  }

  /**
   * Streams the body to a sink: first the buffered part, then each chunk as it
   * arrives.
   *
   * @param sink - receives each chunk once
   */
  attach(sink: BodySink): void {
    this.sink = sink;
    this.flush(sink);
    if (this.state === 'complete') {
      sink.end();
    } else if (this.state === 'broken') {
      sink.abort();
    } else {
      this.source.resume();
    }
  }

  /** Resumes the target's connection after `write` returned false. */
  resume(): void {
    this.source.resume();
  }

  /** Abandons an incomplete body by closing the target's connection. */
  discard(): void {
    if (this.state === 'open') {
      this.source.abort();
    }
  }

  /**
   * Adds a chunk of the body.
   *
   * @param chunk - bytes as received
   * @param pauseAtBytes - buffered size above which the source is paused while
   *     there is no sink
   * @internal
   */
  push(chunk: Buffer, pauseAtBytes: number): void {
    this.receivedSizeBytes += chunk.length;
    if (this.sink === undefined) {
      this.buffered.append(chunk);
      if (this.buffered.sizeBytes > pauseAtBytes) {
        this.source.pause();
      }
    } else if (chunk.length < SMALL_CHUNK_BYTES) {
      this.buffered.append(chunk);
      this.scheduleFlush(this.sink);
    } else {
      this.flush(this.sink);
      this.write(this.sink, chunk);
    }
  }

  /** Marks the body as complete. @internal */
  finish(): void {
    this.state = 'complete';
    if (this.sink !== undefined) {
      this.flush(this.sink);
      this.sink.end();
    }
  }

  /** Marks the body as permanently incomplete. @internal */
  fail(): void {
    this.state = 'broken';
    this.sink?.abort();
  }

  /** Passes small chunks on, joined, when the parser has handed all of them out. */
  private scheduleFlush(sink: BodySink): void {
    if (this.isFlushScheduled) {
      return;
    }
    this.isFlushScheduled = true;
    queueMicrotask(() => {
      this.isFlushScheduled = false;
      if (this.state === 'open') {
        this.flush(sink);
      }
    });
  }

  private flush(sink: BodySink): void {
    for (const part of this.buffered.takeParts()) {
      this.write(sink, part);
    }
  }

  private write(sink: BodySink, chunk: Buffer): void {
    if (!sink.write(chunk) && this.state === 'open') {
      this.source.pause();
    }
  }
}
