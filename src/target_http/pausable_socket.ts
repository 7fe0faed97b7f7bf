/**
 * TCP connection whose reader can be paused.
 *
 * @packageDocumentation
 */
import {Socket} from 'node:net';

/**
 * Socket for a reader that takes bytes with `read` on each `readable` event and
 * cannot be paused well itself. undici's parser puts what it has not parsed back
 * when it is paused, and takes all that is buffered when it is resumed: the
 * socket then reads on each time, and buffers more with each pause. It also fails
 * an assertion if the socket ends or is destroyed while it is paused.
 *
 * While the socket is paused, the reader gets nothing, not even the end. The
 * buffer fills up to the high water mark, and the peer has to wait.
 */
export class PausableSocket extends Socket {
  private isReadingPaused = false;

  /** Withholds all bytes that were not read yet. */
  pauseReading(): void {
    this.isReadingPaused = true;
  }

  /** Hands out bytes again, not before the caller has returned. */
  resumeReading(): void {
    if (!this.isReadingPaused) {
      return;
    }
    this.isReadingPaused = false;
    process.nextTick(() => {
      if (!this.isReadingPaused && !this.destroyed) {
        this.emit('readable');
      }
    });
  }

  override read(sizeBytes?: number): unknown {
    return this.isReadingPaused ? null : super.read(sizeBytes);
  }
}
