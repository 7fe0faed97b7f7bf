/**
 * Settings of the daemon.
 *
 * @packageDocumentation
 */
export {formatSettingsError, loadSettings} from './load_settings.js';
export {parseSettings} from './parse_settings.js';
export {PROGRAM_VERSION} from './program_version.js';
export * from './settings_types.js';
