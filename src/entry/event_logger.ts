/**
 * Structured log with a rate limit for lines about requests and faults.
 *
 * @packageDocumentation
 */
import type Logger from 'bunyan';

/**
 * Most lines about requests and faults per second; further ones are counted.
 */
const MAX_LINES_PER_SECOND = 200;

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/**
 * Writes one JSON line for each event. Lines about requests and faults above
 * the rate limit are dropped, and their number is logged after the second in
 * which they were dropped. Lines about state changes and errors are never
 * dropped.
 */
export class EventLogger {
  private secondStartMs = 0;
  private writtenCount = 0;
  private droppedCount = 0;

  /**
   * @param logger - destination
   * @param nowMs - returns the current instant in milliseconds
   */
  constructor(
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {}

  /** Logs an event of a request; rate-limited. */
  request(event: string, fields: LogFields): void {
    if (this.isWithinRate()) {
      this.logger.info({event, ...fields}, `delivery: ${event}`);
    }
  }

  /** Logs a state change of the process. */
  info(component: string, sentence: string, fields: LogFields = {}): void {
    this.logger.info(fields, `${component}: ${sentence}`);
  }

  /** Logs a fault that the process handles; rate-limited. */
  warn(component: string, sentence: string, fields: LogFields = {}): void {
    if (this.isWithinRate()) {
      this.logger.warn(fields, `${component}: ${sentence}`);
    }
  }

  /** Logs an error in the process itself. */
  error(component: string, sentence: string, error: unknown): void {
    const err = error instanceof Error ? error : new Error(String(error));
    this.logger.error({err}, `${component}: ${sentence}`);
  }

  private isWithinRate(): boolean {
    const nowMs = this.nowMs();
    if (nowMs - this.secondStartMs >= 1_000) {
      this.reportDropped();
      this.secondStartMs = nowMs;
      this.writtenCount = 0;
    }
    if (this.writtenCount >= MAX_LINES_PER_SECOND) {
      this.droppedCount += 1;
      return false;
    }
    this.writtenCount += 1;
    return true;
  }

  private reportDropped(): void {
    if (this.droppedCount > 0) {
      const fields = {droppedCount: this.droppedCount};
      this.logger.warn(fields, 'log: lines were dropped');
      this.droppedCount = 0;
    }
  }
}
