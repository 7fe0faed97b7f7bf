/**
 * Base class of all commands: output as text or JSON, exit codes, errors.
 *
 * @packageDocumentation
 */
import {Command, Option, type BaseContext} from 'clipanion';
import type {Result} from 'neverthrow';
import type {Clock} from '../core/index.js';
import {
  exitCodeOf,
  formatToolError,
  messageOf,
  type ToolError,
} from './tool_error.js';

/** Streams, environment and clock of a command. */
export interface ToolContext extends BaseContext {
  readonly clock: Clock;
}

/** Output and exit code of a command. */
export interface CommandOutput {
  readonly exitCode: number;
  /** Printed verbatim without `--json`. */
  readonly text: string;
  /** Value to print as JSON with `--json`. */
  readonly json: unknown;
  /** Notes for the standard error stream, one per line. */
  readonly notes?: readonly string[];
}

/** Command with a typed result and the option `--json`. */
export abstract class ToolCommand extends Command<ToolContext> {
  json = Option.Boolean('--json', false, {description: 'Print JSON'});

  /**
   * Executes the command without printing its result.
   *
   * @returns the output or a typed error
   */
  abstract run(): Promise<Result<CommandOutput, ToolError>>;

  /**
   * Runs the command; reports an invalid option or an exception as bad usage.
   */
  override async validateAndExecute(): Promise<number> {
    try {
      return await super.validateAndExecute();
    } catch (error) {
      const message = messageOf(error);
      return this.printError({type: 'bad-usage', message});
    }
  }

  override async execute(): Promise<number> {
    const result = await this.run();
    return result.match(
      output => this.print(output),
      error => this.printError(error),
    );
  }

  /**
   * Prints a line to the standard error stream.
   *
   * @param line - text without newline
   */
  protected printNote(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /** Prints a result. */
  private print(output: CommandOutput): number {
    const text = this.json ? toJson(output.json) : output.text;
    this.context.stdout.write(text);
    for (const line of output.notes ?? []) {
      this.printNote(line);
    }
    return output.exitCode;
  }

  /** Prints an error; with `--json` also to the standard output. */
  private printError(error: ToolError): number {
    if (this.json) {
      this.context.stdout.write(toJson({error}));
    }
    this.context.stderr.write(formatToolError(error));
    return exitCodeOf(error);
  }
}

/** Formats a value as indented JSON with a final newline. */
function toJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}
