/**
 * Buffered log output that never blocks the process.
 *
 * @packageDocumentation
 */
import type {Writable} from 'node:stream';

/** Interval at which buffered lines are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;

/** Stream backlog in bytes above which lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Buffers lines and drops them when the reader does not keep up. */
export class BufferedOutput {
  private lines: string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private droppedCount = 0;

  /** @param output - stream to write to */
  constructor(private readonly output: Writable) {}

  /** Buffers a line for the next flush, or drops and counts it. */
  write(line: string): void {
    if (this.output.writableLength > MAX_BUFFERED_BYTES) {
      this.droppedCount += 1;
      return;
    }
    this.lines.push(line);
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes the buffered lines, preceded by the number of dropped ones. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.droppedCount > 0) {
      const time = new Date().toISOString();
      const line = {time, msg: 'log: lines were dropped, the reader is slow'};
      const {droppedCount} = this;
      this.lines.push(`${JSON.stringify({...line, droppedCount})}\n`);
      this.droppedCount = 0;
    }
    if (this.lines.length > 0) {
      this.output.write(this.lines.join(''));
      this.lines = [];
    }
  }
}
