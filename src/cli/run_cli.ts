/**
 * Registration and execution of the commands.
 *
 * @packageDocumentation
 */
import {Builtins, Cli, type Command} from 'clipanion';
import {PROGRAM_VERSION} from '../settings/index.js';
import {PresetDiff} from './preset_diff.js';
import {PresetShow} from './preset_show.js';
import {PresetUse} from './preset_use.js';
import {PresetValidate} from './preset_validate.js';
import {PresetWatch} from './preset_watch.js';
import {StatusCommand} from './status_command.js';
import {TimelineCommand} from './timeline_command.js';
import type {ToolContext} from './tool_command.js';
import {EXIT_CODES, messageOf} from './tool_error.js';

/** Commands in the order of the help text. */
const COMMANDS = [
  PresetValidate,
  PresetShow,
  PresetDiff,
  PresetUse,
  PresetWatch,
  StatusCommand,
  TimelineCommand,
];

/**
 * Runs a command in the current process.
 *
 * @param args - arguments without the program name
 * @param context - streams and clock
 * @returns the exit code; never throws
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2), context);
 * ```
 */
export async function runCli(
  args: readonly string[],
  context: ToolContext,
): Promise<number> {
  const cli = new Cli<ToolContext>({
    binaryLabel: 'Command line of sycamorepitch',
    binaryName: 'sycamorepitch',
    binaryVersion: PROGRAM_VERSION,
    enableColors: isTerminal(context),
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  for (const command of COMMANDS) {
    cli.register(command);
  }
  if (args.length === 0) {
    context.stderr.write(cli.usage(null));
    return EXIT_CODES.badInput;
  }
  const command = parseArgs(cli, args, context);
  return command === undefined
    ? EXIT_CODES.badInput
    : await cli.run(command, context);
}

/** Parses the arguments; prints the error if they are invalid. */
function parseArgs(
  cli: Cli<ToolContext>,
  args: readonly string[],
  context: ToolContext,
): Command<ToolContext> | undefined {
  try {
    return cli.process([...args], context);
  } catch (error) {
    context.stderr.write(`${messageOf(error)}\n`);
    return undefined;
  }
}

/**
 * Returns whether the output is a terminal; only terminals get colour codes.
 */
function isTerminal(context: ToolContext): boolean {
  return (context.stdout as {isTTY?: boolean}).isTTY === true;
}
