/**
 * Loading of settings files.
 *
 * @packageDocumentation
 */
import {readFile} from 'node:fs/promises';
import {err, ResultAsync, type Result} from 'neverthrow';
import {parseSettings} from './parse_settings.js';
import type {DaemonSettings, SettingsError} from './settings_types.js';

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the file
 * @returns the settings, or a typed error; never throws
 *
 * @example
 * ```ts
 * const settings = await loadSettings('/etc/sycamorepitch/settings.jsonc');
 * ```
 */
export async function loadSettings(
  file: string,
): Promise<Result<DaemonSettings, SettingsError>> {
  const text = await ResultAsync.fromPromise(
    readFile(file, 'utf8'),
    (error): string => (error as NodeJS.ErrnoException).code ?? String(error),
  );
  return text.isErr()
    ? err({type: 'unreadable-settings', file, reason: text.error})
    : parseSettings(text.value, file);
}

/**
 * Formats a settings error with one line per issue.
 *
 * @param error - error to format
 * @returns lines such as `s.jsonc:4: peer.port: found 0, expected ...`
 *
 * @example
 * ```ts
 * process.stderr.write(formatSettingsError(error) + '\n');
 * ```
 */
export function formatSettingsError(error: SettingsError): string {
  if (error.type === 'unreadable-settings') {
    return `${error.file}: cannot be read (${error.reason})`;
  }
  return error.issues
    .map(({path, line, value, expected}) => {
      const place = line === undefined ? error.file : `${error.file}:${line}`;
      const key = path === '' ? '' : `${path}: `;
      return `${place}: ${key}found ${value}, expected ${expected}`;
    })
    .join('\n');
}
