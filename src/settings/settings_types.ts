/**
 * Shape of the daemon's settings.
 *
 * @packageDocumentation
 */

/** An address: IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Levels of the log, as bunyan names them. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** The caller port and its limits. */
export interface CallerPortSettings extends Address {
  /** Largest request head in bytes. */
  readonly maxHeaderBytes: number;
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Time in which a request must have arrived as a whole, in milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Settings of one daemon. */
export interface DaemonSettings {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly caller: CallerPortSettings;
  readonly operator: Address;
  /** Listen address for peers; they connect to the same address. */
  readonly peer: Address;
  /** Base URLs of the platform, tried in turn. */
  readonly platformUrls: readonly string[];
  /** Peer addresses to contact first. */
  readonly seeds: readonly Address[];
  /** Time between `not ready` and the end of accepting, in milliseconds. */
  readonly leaveDelayMs: number;
  readonly logLevel: LogLevel;
  /** Seed of the random source; undefined for a random one. */
  readonly randomSeed: number | undefined;
}

/** Why settings could not be used. */
export type SettingsError =
  | {
      readonly type: 'unreadable-settings';
      readonly file: string;
      /** Reason of the operating system. */
      readonly reason: string;
    }
  | {
      readonly type: 'invalid-settings';
      readonly file: string;
      readonly issues: readonly SettingsIssue[];
    };

/** One error in a settings file. */
export interface SettingsIssue {
  /** Path such as `caller.port`. */
  readonly path: string;
  readonly line: number | undefined;
  /** Value found, as JSON text. */
  readonly value: string;
  readonly expected: string;
}
