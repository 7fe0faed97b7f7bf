/**
 * Base of the commands that ask VMs.
 *
 * @packageDocumentation
 */
import {Option} from 'clipanion';
import type {Result} from 'neverthrow';
import type {VmStatus} from '../preset/index.js';
import {ToolCommand} from './tool_command.js';
import type {ToolError} from './tool_error.js';
import {collectAddresses} from './vm_addresses.js';
import type {VmAnswers} from './vm_client.js';

/** A command with the options `--vm` and `--settings`. */
export abstract class VmCommand extends ToolCommand {
  vms = Option.Array('--vm', [], {
    description: 'Operator port of a VM as host:port; may be repeated',
  });
  settings = Option.String('--settings', {
    description: 'File {"vms": ["host:port", ...]} in JSON with comments',
  });

  /**
   * Reads the addresses of the VMs to ask.
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
 * Lists VMs that others know as alive but that were not asked. A conclusion on
 * all VMs does not cover them.
 *
 * @param result - answers of the VMs
 * @returns ids in order
 *
 * @example
 * ```ts
 * const unasked = unaskedVmIds(await fetchStatuses(addresses));
 * ```
 */
export function unaskedVmIds(result: VmAnswers<VmStatus>): readonly string[] {
  const asked = new Set(result.answers.map(answer => answer.value.vmId));
  const known = result.answers
    .flatMap(answer => answer.value.members)
    .filter(member => member.state !== 'dead')
    .map(member => member.vmId);
  return [...new Set(known)].filter(vmId => !asked.has(vmId)).sort();
}
