/**
 * Base class of the commands that query VMs.
 *
 * @packageDocumentation
 */
import {Option} from 'clipanion';
import type {Result} from 'neverthrow';
import type {VmStatus} from '../preset/index.js';
import {ToolCommand} from './tool_command.js';
import type {ToolError} from './tool_error.js';
import {collectAddresses} from './vm_addresses.js';
import type {VmResponses} from './vm_client.js';

/** Command with the options `--vm` and `--settings`. */
export abstract class VmCommand extends ToolCommand {
  vms = Option.Array('--vm', [], {
    description: 'Operator port of a VM as host:port; may be repeated',
  });
  settings = Option.String('--settings', {
    description: 'File {"vms": ["host:port", ...]} in JSON with comments',
  });

  /**
   * Returns the addresses of the VMs to query.
   *
   * @returns at least one address, or a typed error
   */
  protected addresses(): Promise<Result<readonly string[], ToolError>> {
    return collectAddresses({
      vms: this.vms,
      file: this.settings,
      stdin: this.context.stdin,
    });
  }
}

/**
 * Returns the VMs that other VMs report as live members but whose status was
 * not received. A conclusion about all VMs does not cover them.
 *
 * @param result - status responses of the queried VMs
 * @returns sorted VM ids
 *
 * @example
 * ```ts
 * const unqueried = unqueriedVmIds(await fetchStatuses(addresses));
 * ```
 */
export function unqueriedVmIds(
  result: VmResponses<VmStatus>,
): readonly string[] {
  const responded = new Set(
    result.responses.map(response => response.value.vmId),
  );
  const reported = result.responses
    .flatMap(response => response.value.members)
    .filter(member => member.state !== 'dead')
    .map(member => member.vmId);
  return [...new Set(reported)].filter(vmId => !responded.has(vmId)).sort();
}
