/**
 * `preset diff`.
 *
 * @packageDocumentation
 */
import {Command, Option} from 'clipanion';
import {ok, type Result} from 'neverthrow';
import {diffConfigs, formatChange} from '../preset/index.js';
import {readConfigFile} from './input_file.js';
import {ToolCommand, type CommandOutput} from './tool_command.js';
import type {ToolError} from './tool_error.js';

/** Prints the differences between two documents. */
export class PresetDiff extends ToolCommand {
  static override paths = [['preset', 'diff']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Compare two documents',
    details:
      'An asterisk marks changes that affect requests immediately. The exit code is 0 whether or not the documents differ.',
    examples: [
      [
        'Compare the published document with the next one',
        '$0 preset diff published.jsonc next.jsonc',
      ],
    ],
  });

  before = Option.String({name: 'before'});
  after = Option.String({name: 'after'});

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const before = await readConfigFile(this.before, this.context.stdin);
    const after = await readConfigFile(this.after, this.context.stdin);
    return before.andThen(old =>
      after.andThen(current => {
        const changes = diffConfigs(old.document, current.document);
        const lines = changes.map(change => `${formatChange(change)}\n`);
        return ok({
          exitCode: 0,
          text: lines.length === 0 ? 'no difference\n' : lines.join(''),
          json: {changes},
        });
      }),
    );
  }
}
