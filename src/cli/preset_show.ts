/**
 * `preset show`.
 *
 * @packageDocumentation
 */
import {Command, Option} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import type {ConfigDocument, Preset, ServicePreset} from '../preset/index.js';
import {readConfigFile} from './input_file.js';
import {formatTable} from './table.js';
import {ToolCommand, type CommandOutput} from './tool_command.js';
import type {ToolError} from './tool_error.js';

/** Prints a preset with values derived from it. */
export class PresetShow extends ToolCommand {
  static override paths = [['preset', 'show']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Print a preset of a document',
    examples: [
      ['Print the preset in force', '$0 preset show presets.jsonc'],
      ['Print another one', '$0 preset show presets.jsonc maintenance'],
    ],
  });

  file = Option.String({name: 'file'});
  preset = Option.String({name: 'preset', required: false});

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const config = await readConfigFile(this.file, this.context.stdin);
    return config.andThen(({document}): Result<CommandOutput, ToolError> => {
      const name = this.preset ?? document.inForce;
      const preset = document.presets.get(name);
      if (preset === undefined) {
        return err(unknownPreset(name, document));
      }
      const json = toJson(preset);
      const {revision, inForce} = document;
      return ok({
        exitCode: 0,
        text: describePreset(preset, document),
        json: {revision, inForce, preset: json},
      });
    });
  }
}

/**
 * Returns the error for a preset that the document does not contain.
 *
 * @param name - requested name
 * @param document - document that lacks the preset
 * @returns the error
 *
 * @example
 * ```ts
 * return err(unknownPreset('luch', document));
 * ```
 */
export function unknownPreset(
  name: string,
  document: ConfigDocument,
): ToolError {
  const names = [...document.presets.keys()].join(', ');
  const message = `found preset ${JSON.stringify(name)}, expected one of ${names}`;
  return {type: 'bad-usage', message};
}

/** Returns a preset with an array of services instead of a map. */
function toJson(preset: Preset): unknown {
  return {...preset, services: [...preset.services.values()]};
}

/** Formats a preset as text. */
function describePreset(preset: Preset, document: ConfigDocument): string {
  const mark = preset.name === document.inForce ? ' (in force)' : '';
  const services = [...preset.services.values()];
  return (
    `revision ${document.revision}, preset ${preset.name}${mark}, ` +
    `at most ${preset.vmCeiling} VMs\n` +
    services.map(service => describeService(service, preset.vmCeiling)).join('')
  );
}

/** Formats a service of a preset as text. */
function describeService(service: ServicePreset, vmCeiling: number): string {
  const perVm = Math.floor(service.connectionsPerTarget / vmCeiling);
  const admission = service.admission ? '' : ', no refusal by deadline';
  const properties = [
    `routing ${service.routing}${admission}`,
    `${service.slotsPerTarget} slots and ${service.connectionsPerTarget} connections per target (${perVm} for each VM)`,
    `${service.probeBudgetPerSecond} probes/s over all VMs`,
    `long kinds on ${formatPercent(service.longLaneShare)} of the targets, at most ${formatPercent(service.maxEjectedShare)} ejected`,
    `retries up to ${formatPercent(service.retryBudgetShare)} of first attempts`,
    `queue of ${service.queueCapacity} requests in each VM, slow start ${service.slowStartMs} ms`,
  ];
  const kinds = service.kinds.map(kind => [
    kind.name,
    kind.method,
    kind.pathPrefix,
    formatFlag(kind.idempotent),
    formatFlag(kind.urgent),
    formatFlag(kind.long),
    String(kind.worth),
    `${kind.timeoutMs} ms`,
  ]);
  const heading = [
    'kind',
    'method',
    'path prefix',
    'idempotent',
    'urgent',
    'long',
    'worth',
    'timeout',
  ];
  return (
    `service ${service.name}\n` +
    properties.map(property => `  ${property}\n`).join('') +
    formatTable([heading, ...kinds], '  ')
  );
}

/** Formats a share as a percentage with at most one decimal. */
function formatPercent(share: number): string {
  return `${Math.round(share * 1_000) / 10}%`;
}

/** Formats a flag as `yes` or `no`. */
function formatFlag(value: boolean): string {
  return value ? 'yes' : 'no';
}
