/**
 * Standard output that never holds up the process.
 *
 * @packageDocumentation
 */
import type {Writable} from 'node:stream';

/** Lines are gathered for this time and written at once. */
const FLUSH_INTERVAL_MS = 100;

/** Bytes that may wait for a slow reader; further lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Gathers lines and drops them when the reader does not keep up. */
export class BufferedOutput {
  private lines: string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private droppedCount = 0;

  /** @param output - stream to write to */
  constructor(private readonly output: Writable) {}

  /** Takes a line. */
  write(line: string): void {
    if (this.output.writableLength > MAX_WAITING_BYTES) {
      this.droppedCount += 1;
      return;
    }
    this.lines.push(line);
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes what was gathered. */
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
