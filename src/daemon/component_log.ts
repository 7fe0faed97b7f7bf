/**
 * Logger that prefixes lines with the name of a component.
 *
 * @packageDocumentation
 */
import type Logger from 'bunyan';

/**
 * Writes log lines such as `daemon: VM e-07 is suspect`.
 *
 * @example
 * ```ts
 * const log = new ComponentLog(logger, 'daemon');
 * log.info('VM e-07 is suspect');
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

  /** Logs an event of normal operation. */
  info(message: string): void {
    this.logger.info(`${this.component}: ${message}`);
  }

  /** Logs a fault that the daemon handles. */
  warn(message: string): void {
    this.logger.warn(`${this.component}: ${message}`);
  }

  /** Logs an error of the environment that ends the process. */
  fatal(message: string): void {
    this.logger.fatal(`${this.component}: ${message}`);
  }

  /** Logs an exception in the daemon itself, with its stack trace. */
  error(message: string, error: unknown): void {
    const err = error instanceof Error ? error : new Error(String(error));
    this.logger.error({err}, `${this.component}: ${message}`);
  }
}
