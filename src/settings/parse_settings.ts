/**
 * Parsing and validation of the daemon's settings.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {
  DEFAULT_MAX_DESCRIPTORS,
  DEFAULT_MEMORY_MB,
} from '../caller_http/index.js';
import {
  checkText,
  closedObject,
  identifier,
  ipAddress,
  oneOf,
  wholeNumber,
  type RuleIssue,
} from '../preset/index.js';
import type {DaemonSettings, SettingsError} from './settings_types.js';

/** Time for callers to detect that a VM is leaving (design page, section 5). */
const DEFAULT_LEAVE_DELAY_MS = 2_000;

/** Larger than the usual 8 KiB because callers send long cookies. */
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

/** Also the largest response that is buffered. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;

/** Settings keys of the listen addresses. */
const LISTENER_KEYS = ['caller', 'operator', 'peer', 'relay'] as const;

/** Settings keys of the addresses that are published to other VMs. */
const PUBLISHED_KEYS = ['peer', 'relay'] as const;

/** Wildcard addresses (all interfaces), to which a peer cannot connect. */
const WILDCARD_HOSTS: ReadonlySet<unknown> = new Set(['0.0.0.0', '::']);

const listenPort = wholeNumber(0, 65_535);

const addressSchema = closedObject({
  host: ipAddress(),
  port: wholeNumber(1, 65_535),
});

const listenSchema = closedObject({host: ipAddress(), port: listenPort});

const callerSchema = closedObject({
  host: ipAddress(),
  port: listenPort,
  maxHeaderBytes: wholeNumber(1_024, 1024 * 1024, 'bytes').default(
    DEFAULT_MAX_HEADER_BYTES,
  ),
  maxBodyBytes: wholeNumber(0, 1024 * 1024 * 1024, 'bytes').default(
    DEFAULT_MAX_BODY_BYTES,
  ),
  idleTimeoutMs: wholeNumber(1, 3_600_000, 'ms').default(
    DEFAULT_IDLE_TIMEOUT_MS,
  ),
  requestTimeoutMs: wholeNumber(1, 3_600_000, 'ms').default(
    DEFAULT_REQUEST_TIMEOUT_MS,
  ),
});

const platformUrl = z
  .string({error: 'a URL http://IP-address:port'})
  .refine(isPlatformUrl, {error: 'a URL http://IP-address:port'});

const settingsSchema = closedObject({
  vmId: identifier(),
  failureDomain: identifier(),
  caller: callerSchema,
  operator: listenSchema,
  peer: listenSchema,
  relay: addressSchema.optional(),
  platformUrls: z
    .array(platformUrl, {error: 'an array of URLs'})
    .min(1, {error: 'at least one URL'}),
  seeds: z
    .array(addressSchema, {error: 'an array of addresses {host, port}'})
    .default([]),
  leaveDelayMs: wholeNumber(0, 600_000, 'ms').default(DEFAULT_LEAVE_DELAY_MS),
  logLevel: oneOf(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default(
    'info',
  ),
  memoryMb: wholeNumber(64, 1_048_576, 'MB').default(DEFAULT_MEMORY_MB),
  maxDescriptors: wholeNumber(512, 1_048_576).default(DEFAULT_MAX_DESCRIPTORS),
  randomSeed: wholeNumber(0, 2 ** 31 - 1).optional(),
});

/**
 * Parses and validates settings.
 *
 * @param text - JSON with comments
 * @param file - file name for error messages
 * @returns the settings, or an error with all issues
 *
 * @example
 * ```ts
 * const settings = parseSettings(text, 'settings.jsonc');
 * ```
 */
export function parseSettings(
  text: string,
  file: string,
): Result<DaemonSettings, SettingsError> {
  return checkText(text, settingsSchema, [checkListeners, checkPublishedHosts])
    .map(parsed => ({
      ...parsed,
      relay: parsed.relay,
      randomSeed: parsed.randomSeed,
    }))
    .mapErr(issues => ({type: 'invalid-settings', file, issues}));
}

/** Rejects listeners with the same address; for port 0 the OS picks a port. */
function checkListeners(value: unknown): readonly RuleIssue[] {
  const keysByAddress = new Map<string, string>();
  return LISTENER_KEYS.flatMap(key => {
    const {host, port} = readAddress(value, key);
    const address = `${host}:${port}`;
    const other = keysByAddress.get(address);
    keysByAddress.set(address, key);
    return other === undefined || port === 0 || port === undefined
      ? []
      : [{path: [key, 'port'], expected: `a port other than that of ${other}`}];
  });
}

/** Rejects wildcard addresses that are published to other VMs. */
function checkPublishedHosts(value: unknown): readonly RuleIssue[] {
  return PUBLISHED_KEYS.flatMap(key => {
    const {host} = readAddress(value, key);
    return WILDCARD_HOSTS.has(host)
      ? [{path: [key, 'host'], expected: 'an address that peers can reach'}]
      : [];
  });
}

/** Returns an address from settings that are not validated yet. */
function readAddress(
  value: unknown,
  key: string,
): {readonly host?: unknown; readonly port?: unknown} {
  const settings = value as Readonly<Record<string, unknown>> | null;
  return (settings?.[key] ?? {}) as {host?: unknown; port?: unknown};
}

/**
 * Returns whether a text is an http URL with an IP address and no path or
 * query.
 */
function isPlatformUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  return (
    url.protocol === 'http:' &&
    ipAddress().safeParse(host).success &&
    (text === url.origin || text === `${url.origin}/`)
  );
}
