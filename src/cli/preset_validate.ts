/**
 * `preset validate`.
 *
 * @packageDocumentation
 */
import {Command, Option} from 'clipanion';
import {ok, type Result} from 'neverthrow';
import {isEnum} from 'typanion';
import {hashBody} from '../preset/index.js';
import {readConfigFile, readVmListFile} from './input_file.js';
import {ToolCommand, type CommandOutput} from './tool_command.js';
import type {ToolError} from './tool_error.js';

/** Validates a document with the rules that VMs apply. */
export class PresetValidate extends ToolCommand {
  static override paths = [['preset', 'validate']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Check a document before it is published',
    details:
      'Lists all errors with line, path, value and expectation. Exit code 1 if the document is invalid, 2 if it cannot be read.',
    examples: [
      ['Check presets', '$0 preset validate presets.jsonc'],
      ['Check the standard input', '$0 preset validate -'],
      ['Check a list of VMs', '$0 preset validate --document vms vms.jsonc'],
    ],
  });

  document = Option.String('--document', 'config', {
    description: 'config (presets, the default) or vms (list of VMs)',
    validator: isEnum(['config', 'vms']),
  });
  file = Option.String({name: 'file'});

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const {stdin} = this.context;
    if (this.document === 'vms') {
      const list = await readVmListFile(this.file, stdin);
      return list.andThen(({vms}) =>
        ok({
          exitCode: 0,
          text: `${this.file}: valid, ${vms.length} VMs\n`,
          json: {valid: true, vmCount: vms.length},
        }),
      );
    }
    const config = await readConfigFile(this.file, stdin);
    return config.map(({body, document}) => {
      const {revision, inForce, presets} = document;
      const names = [...presets.keys()].join(', ');
      return {
        exitCode: 0,
        text: `${this.file}: valid, revision ${revision}, ${inForce} in force, presets ${names}\n`,
        json: {
          valid: true,
          revision,
          inForce,
          presets: [...presets.keys()],
          sha256: hashBody(body),
        },
      };
    });
  }
}
