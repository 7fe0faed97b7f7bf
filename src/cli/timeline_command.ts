/**
 * `timeline`.
 *
 * @packageDocumentation
 */
import {Command, Option} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import {isEnum} from 'typanion';
import {mergeEvents, renderText, renderTrace} from '../timeline/index.js';
import type {CommandOutput} from './tool_command.js';
import {EXIT_CODES, formatFailure, type ToolError} from './tool_error.js';
import {fetchTimelines} from './vm_client.js';
import {VmCommand} from './vm_command.js';

/** Prints the merged events of VMs. */
export class TimelineCommand extends VmCommand {
  static override paths = [['timeline']];
  static override usage = Command.Usage({
    category: 'VMs',
    description: 'Print the merged events of VMs in order of time',
    details:
      'Each VM keeps its last 4,096 events. Exit code 0 when all VMs respond, 1 when some do not (their events are missing), 3 when none does.',
    examples: [
      ['As text', '$0 timeline --settings operators.jsonc'],
      [
        'For a trace viewer',
        '$0 timeline --settings operators.jsonc --format trace > trace.json',
      ],
    ],
  });

  format = Option.String('--format', 'text', {
    description: 'text (the default) or trace (Chrome trace events)',
    validator: isEnum(['text', 'trace']),
  });

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const addresses = await this.addresses();
    if (addresses.isErr()) {
      return err(addresses.error);
    }
    const {responses, failures} = await fetchTimelines(addresses.value);
    if (responses.length === 0) {
      return err({type: 'no-vm-reachable', failures});
    }
    const events = mergeEvents(
      responses.map(response => response.value.events),
    );
    return ok({
      exitCode:
        failures.length === 0 ? EXIT_CODES.success : EXIT_CODES.negative,
      text: this.format === 'text' ? renderText(events) : renderTrace(events),
      json: {events, failures},
      notes: failures.map(
        failure => `events are missing: ${formatFailure(failure)}`,
      ),
    });
  }
}
