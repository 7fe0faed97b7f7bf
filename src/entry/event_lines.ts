/**
 * Log lines of decisions, bounded under load.
 *
 * @packageDocumentation
 */
import type Logger from 'bunyan';

/** Lines of requests for each second at most; the rest is counted. */
const MAX_LINES_PER_SECOND = 200;

/** Values of one line. */
export type LineFields = Readonly<Record<string, string | number | boolean>>;

/**
 * Writes one JSON line for each decision. Lines about requests are dropped
 * beyond a rate, and the next second says how many; lines about what the
 * process believes are never dropped.
 */
export class EventLines {
  private secondStartMs = 0;
  private writtenCount = 0;
  private droppedCount = 0;

  /**
   * @param logger - destination
   * @param nowMs - reads the clock
   */
  constructor(
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {}

  /** Writes a line about a request. */
  request(name: string, fields: LineFields): void {
    if (this.isWithinRate()) {
      this.logger.info({event: name, ...fields}, `delivery: ${name}`);
    }
  }

  /** Writes a line about what the process believes. */
  state(part: string, sentence: string, fields: LineFields = {}): void {
    this.logger.info(fields, `${part}: ${sentence}`);
  }

  /** Writes a line about a fault that the process handles. */
  fault(part: string, sentence: string, fields: LineFields = {}): void {
    if (this.isWithinRate()) {
      this.logger.warn(fields, `${part}: ${sentence}`);
    }
  }

  /** Writes a line about an error of the process itself. */
  error(part: string, sentence: string, error: unknown): void {
    const err = error instanceof Error ? error : new Error(String(error));
    this.logger.error({err}, `${part}: ${sentence}`);
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
