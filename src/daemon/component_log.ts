/**
 * Log lines with the prefix of a component.
 *
 * @packageDocumentation
 */
import type Logger from 'bunyan';

/**
 * Writes short sentences such as `membership: VM e-07 suspected`.
 *
 * @example
 * ```ts
 * const log = new ComponentLog(logger, 'membership');
 * log.info('VM e-07 suspected, no heartbeat for 2 s');
 * ```
 */
export class ComponentLog {
  /**
   * @param logger - destination
   * @param component - prefix of each line
   */
  constructor(
    private readonly logger: Logger,
    private readonly component: string,
  ) {}

  /** Writes a line about the normal course. */
  info(sentence: string): void {
    this.logger.info(`${this.component}: ${sentence}`);
  }

  /** Writes a line about a fault that the daemon handles. */
  warn(sentence: string): void {
    this.logger.warn(`${this.component}: ${sentence}`);
  }

  /** Writes a line about an error of the environment that ends the process. */
  fatal(sentence: string): void {
    this.logger.fatal(`${this.component}: ${sentence}`);
  }

  /** Writes a line about a fault in the daemon itself. */
  error(sentence: string, error: unknown): void {
    const err = error instanceof Error ? error : new Error(String(error));
    this.logger.error({err}, `${this.component}: ${sentence}`);
  }
}
