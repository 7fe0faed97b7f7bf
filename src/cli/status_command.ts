/**
 * `status`.
 *
 * @packageDocumentation
 */
import {Command} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import type {VmStatus} from '../preset/index.js';
import {formatTable} from './table.js';
import type {CommandOutput} from './tool_command.js';
import {EXIT_CODES, formatFailure, type ToolError} from './tool_error.js';
import {fetchStatuses, type VmResponses} from './vm_client.js';
import {unqueriedVmIds, VmCommand} from './vm_command.js';

/** Digits of a hash shown in tables; `--json` prints all of them. */
const SHORT_HASH_LENGTH = 12;

/** Prints the state of VMs and the documents in force on them. */
export class StatusCommand extends VmCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'VMs',
    description: 'Print the state of VMs and their documents',
    details:
      'Exit code 0 when all VMs respond, are ready and have the same preset document; 1 otherwise; 3 when no VM responds.',
    examples: [
      ['Query two VMs', '$0 status --vm 10.0.0.1:9090 --vm 10.0.0.2:9090'],
      [
        'Query the VMs of a list',
        '$0 status --settings operators.jsonc --json',
      ],
    ],
  });

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const addresses = await this.addresses();
    if (addresses.isErr()) {
      return err(addresses.error);
    }
    const result = await fetchStatuses(addresses.value);
    return result.responses.length === 0
      ? err({type: 'no-vm-reachable', failures: result.failures})
      : ok(toOutput(result));
  }
}

/** Formats the table with remarks and chooses the exit code. */
function toOutput(result: VmResponses<VmStatus>): CommandOutput {
  const statuses = result.responses.map(response => response.value);
  const hashes = new Set(
    statuses.map(status => status.documents.config.sha256),
  );
  const agree = hashes.size === 1 && !hashes.has(null);
  const unqueried = unqueriedVmIds(result);
  const isHealthy =
    agree &&
    result.failures.length === 0 &&
    statuses.every(status => status.ready);
  const remarks = [
    ...(agree ? [] : ['the VMs do not have the same preset document']),
    ...statuses.flatMap(describeProblems),
    ...result.failures.map(formatFailure),
    ...(unqueried.length === 0 ? [] : [`not asked: ${unqueried.join(', ')}`]),
  ];
  return {
    exitCode: isHealthy ? EXIT_CODES.success : EXIT_CODES.negative,
    text:
      formatTable([HEADING, ...statuses.map(toRow)]) +
      remarks.map(line => `${line}\n`).join(''),
    json: {agree, vms: statuses, failures: result.failures, unasked: unqueried},
  };
}

/** Column headings of the table. */
const HEADING = [
  'vm',
  'version',
  'domain',
  'state',
  'ready',
  'in force',
  'revision',
  'platform version',
  'hash',
  'adopted',
  'vms version',
  'members',
  'platform era',
];

/** Formats the table row of a VM. */
function toRow(status: VmStatus): readonly string[] {
  const {config, vms} = status.documents;
  const live = status.members.filter(member => member.state !== 'dead');
  return [
    status.vmId,
    status.version,
    status.failureDomain,
    status.state,
    status.ready ? 'yes' : 'no',
    config.inForce ?? '-',
    String(config.revision ?? '-'),
    String(config.platformVersion ?? '-'),
    config.sha256?.slice(0, SHORT_HASH_LENGTH) ?? '-',
    config.adoptedAgeMs === null
      ? '-'
      : `${Math.round(config.adoptedAgeMs / 1_000)} s ago`,
    String(vms.platformVersion ?? '-'),
    String(live.length),
    String(vms.platformEra ?? config.platformEra ?? '-'),
  ];
}

/** Describes the refused and superseded documents of a VM. */
function describeProblems(status: VmStatus): readonly string[] {
  return Object.entries(status.documents).flatMap(([name, document]) => [
    ...document.refused.map(
      version =>
        `VM ${status.vmId}: refused ${name} revision ${version.revision}, platform version ${version.platformVersion}: ${version.reason}`,
    ),
    ...document.superseded.map(
      version =>
        `VM ${status.vmId}: ${name} revision ${version.revision}, platform version ${version.platformVersion} was superseded by another publication`,
    ),
  ]);
}
