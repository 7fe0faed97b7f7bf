/**
 * Command line for operators.
 *
 * @packageDocumentation
 */
export {runCli} from './run_cli.js';
export type {ToolContext} from './tool_command.js';
