/**
 * Settings of the daemon.
 *
 * @packageDocumentation
 */
export {formatSettingsError, loadSettings} from './load_settings.js';
export {parseSettings} from './parse_settings.js';
export * from './settings_types.js';
