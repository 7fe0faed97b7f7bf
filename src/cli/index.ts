/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export {runCli} from './run_cli.js';
export type {ToolContext} from './tool_command.js';
