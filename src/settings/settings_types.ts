/**
 * Types of the daemon's settings.
 *
 * @packageDocumentation
 */

/** IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Log levels of bunyan. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** Listen address for callers with its limits. */
export interface CallerPortSettings extends Address {
  /** Largest request head in bytes. */
  readonly maxHeaderBytes: number;
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Time limit for receiving a whole request, in milliseconds. */
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
  /**
   * Listen address for requests that peers without links to targets pass on;
   * undefined if this VM neither carries nor passes on requests.
   */
  readonly relay: Address | undefined;
  /** Base URLs of the platform, tried in turn. */
  readonly platformUrls: readonly string[];
  /** Peer addresses to contact when joining. */
  readonly seeds: readonly Address[];
  /**
   * Time between reporting `not ready` and closing the caller port, in
   * milliseconds.
   */
  readonly leaveDelayMs: number;
  readonly logLevel: LogLevel;
  /** Memory that the process may use, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  /** Seed of the random source; undefined for a random seed. */
  readonly randomSeed: number | undefined;
}

/** Error of loading or validating a settings file. */
export type SettingsError =
  | {
      readonly type: 'unreadable-settings';
      readonly file: string;
      /** Error code of the operating system, or the message if it has none. */
      readonly reason: string;
    }
  | {
      readonly type: 'invalid-settings';
      readonly file: string;
      readonly issues: readonly SettingsIssue[];
    };

/** Validation error in a settings file. */
export interface SettingsIssue {
  /** Path of the setting, such as `caller.port`. */
  readonly path: string;
  readonly line: number | undefined;
  /** Value found, as JSON. */
  readonly value: string;
  readonly expected: string;
}
