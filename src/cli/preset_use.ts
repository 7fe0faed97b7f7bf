/**
 * `preset use`.
 *
 * @packageDocumentation
 */
import {Command, Option} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import {hashBody, nextDocument, type NextDocument} from '../preset/index.js';
import {readConfigFile, type ConfigFile} from './input_file.js';
import {unknownPreset} from './preset_show.js';
import type {CommandOutput} from './tool_command.js';
import type {ToolError} from './tool_error.js';
import {fetchStatuses} from './vm_client.js';
import {VmCommand} from './vm_command.js';

/** Prints the document that puts a preset in force. */
export class PresetUse extends VmCommand {
  static override paths = [['preset', 'use']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Print the document that puts a preset in force',
    details:
      "Increments the revision, sets the preset and keeps all comments. Nothing is published: publish the output with the platform's own tool, then run `preset watch`. With --vm or --settings the command first checks that no VM has a later document than the file.",
    examples: [
      ['Switch to lunch', '$0 preset use presets.jsonc lunch > next.jsonc'],
      [
        'The same, unless a VM has a later document',
        '$0 preset use presets.jsonc lunch --vm 10.0.0.1:9090 > next.jsonc',
      ],
    ],
  });

  file = Option.String({name: 'file'});
  preset = Option.String({name: 'preset'});

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const config = await readConfigFile(this.file, this.context.stdin);
    if (config.isErr()) {
      return err(config.error);
    }
    const outdated = await this.checkNotOutdated(config.value);
    if (outdated !== undefined) {
      return err(outdated);
    }
    const {file, body, document} = config.value;
    return nextDocument(body, this.preset)
      .mapErr((error): ToolError =>
        error.type === 'unknown-preset'
          ? unknownPreset(this.preset, document)
          : {type: 'invalid-document', file, issues: error.issues},
      )
      .andThen(next => ok(this.toOutput(next, document.inForce)));
  }

  /** Returns an error if a VM has a later document or if no VM responds. */
  private async checkNotOutdated(
    config: ConfigFile,
  ): Promise<ToolError | undefined> {
    if (this.vms.length === 0 && this.settings === undefined) {
      return undefined;
    }
    const addresses = await this.addresses();
    if (addresses.isErr()) {
      return addresses.error;
    }
    const {responses, failures} = await fetchStatuses(addresses.value);
    if (responses.length === 0) {
      return {type: 'no-vm-reachable', failures};
    }
    const {revision} = config.document;
    const sha256 = hashBody(config.body);
    const newer = responses.find(({value}) => {
      const adopted = value.documents.config;
      return (
        (adopted.revision ?? 0) > revision ||
        (adopted.revision === revision && adopted.sha256 !== sha256)
      );
    });
    if (newer === undefined) {
      return undefined;
    }
    const {vmId, documents} = newer.value;
    const message = `VM ${vmId} has revision ${documents.config.revision} with hash ${documents.config.sha256}, ${config.file} has revision ${revision} with hash ${sha256}; start from the published document`;
    return {type: 'outdated-document', message};
  }

  /** Returns the output for the next document. */
  private toOutput(next: NextDocument, previousName: string): CommandOutput {
    const {revision, inForce} = next.document;
    const change =
      previousName === inForce
        ? `${inForce} stays in force`
        : `${previousName} is replaced by ${inForce}`;
    return {
      exitCode: 0,
      text: next.body,
      json: {revision, inForce, sha256: hashBody(next.body), body: next.body},
      notes: [
        `revision ${revision}: ${change}; not published yet, publish it with the platform's tool`,
      ],
    };
  }
}
