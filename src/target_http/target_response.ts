/**
 * A response of a target, bound to the attempt that asked for it.
 *
 * @packageDocumentation
 */
import type {HeaderFields} from '../caller_http/hop_headers.js';

/** Receiver of the part of a body that exceeds the buffer. */
export interface BodySink {
  /** Takes a chunk; false asks the source to pause until `resume`. */
  write(chunk: Buffer): boolean;
  /** The body is whole. */
  end(): void;
  /** The target's connection broke; the body stays incomplete. */
  abort(): void;
}

/** Flow control of the connection that a body arrives on. */
export interface BodySource {
  pause(): void;
  resume(): void;
  /** Closes the connection to the target. */
  abort(): void;
}

/**
 * Status, headers and body of one response. Bodies up to the buffer limit are
 * complete when the response is reported; the rest of longer bodies goes to a
 * sink while it arrives.
 */
export class TargetResponse {
  private readonly buffered: Buffer[] = [];
  private bufferedSizeBytes = 0;
  private state: 'open' | 'complete' | 'broken' = 'open';
  private sink: BodySink | undefined;

  /**
   * @param token - token of the attempt that this response belongs to
   * @param status - HTTP status code
   * @param headers - fields with lower-case names
   * @param source - flow control of the connection
   */
  constructor(
    readonly token: string,
    readonly status: number,
    readonly headers: HeaderFields,
    private readonly source: BodySource,
  ) {}

  /** True when the whole body has arrived. */
  get complete(): boolean {
    return this.state === 'complete';
  }

  /** Size of the part of the body that is held in memory. */
  get sizeBytes(): number {
    return this.bufferedSizeBytes;
  }

  /** The buffered part of the body; the whole body when `complete`. */
  body(): Buffer {
    const [first, ...rest] = this.buffered;
    return rest.length === 0 && first !== undefined
      ? first
      : Buffer.concat(this.buffered);
  }

  /**
   * Hands the body to a sink: first the buffered part, then what follows.
   *
   * @param sink - receiver; from now on it gets each chunk once
   */
  attach(sink: BodySink): void {
    this.sink = sink;
    for (const chunk of this.buffered.splice(0)) {
      sink.write(chunk);
    }
    if (this.state === 'complete') {
      sink.end();
    } else if (this.state === 'broken') {
      sink.abort();
    } else {
      this.source.resume();
    }
  }

  /** Asks the target's connection for more after `write` returned false. */
  resume(): void {
    this.source.resume();
  }

  /** Gives up an incomplete body: closes the target's connection. */
  discard(): void {
    if (this.state === 'open') {
      this.source.abort();
    }
  }

  /**
   * Takes in a chunk of the body.
   *
   * @param chunk - bytes as they arrived
   * @param pauseAtBytes - without a sink, the source pauses at this size
   * @internal
   */
  push(chunk: Buffer, pauseAtBytes: number): void {
    if (this.sink !== undefined) {
      if (!this.sink.write(chunk)) {
        this.source.pause();
      }
      return;
    }
    this.buffered.push(chunk);
    this.bufferedSizeBytes += chunk.length;
    if (this.bufferedSizeBytes > pauseAtBytes) {
      this.source.pause();
    }
  }

  /** Marks the body as whole. @internal */
  finish(): void {
    this.state = 'complete';
    this.sink?.end();
  }

  /** Marks the body as incomplete for good. @internal */
  fail(): void {
    this.state = 'broken';
    this.sink?.abort();
  }
}
