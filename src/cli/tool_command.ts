/**
 * Base of all commands: output as text or JSON, exit code, errors.
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

/** What a command runs with. */
export interface ToolContext extends BaseContext {
  readonly clock: Clock;
}

/** Result of a command. */
export interface CommandOutput {
  readonly exitCode: number;
  /** Printed without `--json`, as it is. */
  readonly text: string;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Hints for the standard error stream, one a line. */
  readonly notes?: readonly string[];
}

/** A command of the tool. */
export abstract class ToolCommand extends Command<ToolContext> {
  json = Option.Boolean('--json', false, {description: 'Print JSON'});

  /**
   * Does the work.
   *
   * @returns the output or a typed error
   */
  abstract run(): Promise<Result<CommandOutput, ToolError>>;

  /** Runs the command; a wrong option or a fault of the tool is bad input. */
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
  protected note(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /** Prints a result. */
  private print(output: CommandOutput): number {
    const text = this.json ? toJson(output.json) : output.text;
    this.context.stdout.write(text);
    for (const line of output.notes ?? []) {
      this.note(line);
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

/** JSON text with a final newline. */
function toJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}
