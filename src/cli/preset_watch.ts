/**
 * `preset watch`.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import {applyCascade, isAtLeast, isInteger, isNumber} from 'typanion';
import {hashBody, type VmStatus} from '../preset/index.js';
import {readConfigFile} from './input_file.js';
import type {CommandOutput} from './tool_command.js';
import {
  EXIT_CODES,
  formatFailure,
  type ToolError,
  type VmFailure,
} from './tool_error.js';
import {fetchStatuses} from './vm_client.js';
import {unqueriedVmIds, VmCommand} from './vm_command.js';
import {
  evaluateVm,
  type VmWatchState,
  type WatchedDocument,
} from './watch_progress.js';

/** Interval between polls of the VMs. */
const POLL_INTERVAL_MS = 500;

/** Validator for a number of milliseconds or a version. */
const isCount = applyCascade(isNumber(), [isInteger(), isAtLeast(0)]);

/** Result of polling all VMs once. */
interface PollResult {
  readonly states: readonly VmWatchState[];
  readonly failures: readonly VmFailure[];
  readonly unqueried: readonly string[];
  /** `final`: no later poll can change the conclusion. */
  readonly conclusion: 'in-force' | 'open' | 'final';
}

/** Waits until a published document is in force on all VMs. */
export class PresetWatch extends VmCommand {
  static override paths = [['preset', 'watch']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Wait until a published document is in force on all VMs',
    details:
      'Polls the VMs twice a second. Exit code 0 when the document is in force on all of them; 1 when it was refused, when another publication won, or when some VMs do not have it within the timeout; 3 when no VM responds. The hash distinguishes a document that another operator published with the same revision; with --platform-version the command reports immediately when such a document has won.',
    examples: [
      [
        'Watch a publication',
        '$0 preset watch next.jsonc --settings operators.jsonc',
      ],
      [
        'With the version that the platform assigned',
        '$0 preset watch next.jsonc --vm 10.0.0.1:9090 --platform-version 41',
      ],
    ],
  });

  timeoutMs = Option.String('--timeout-ms', '30000', {
    description: 'Timeout in milliseconds; 30000 by default',
    validator: isCount,
  });
  platformVersion = Option.String('--platform-version', {
    description: 'Version that the platform assigned to the publication',
    validator: isCount,
  });
  file = Option.String({name: 'file'});

  override async run(): Promise<Result<CommandOutput, ToolError>> {
    const config = await readConfigFile(this.file, this.context.stdin);
    if (config.isErr()) {
      return err(config.error);
    }
    const addresses = await this.addresses();
    if (addresses.isErr()) {
      return err(addresses.error);
    }
    const watched: WatchedDocument = {
      revision: config.value.document.revision,
      sha256: hashBody(config.value.body),
      platformVersion: this.platformVersion,
    };
    const poll = await this.watch(watched, addresses.value);
    return poll.states.length === 0
      ? err({type: 'no-vm-reachable', failures: poll.failures})
      : ok(toOutput(watched, poll));
  }

  /** Polls until the conclusion is no longer open or the timeout expires. */
  private async watch(
    watched: WatchedDocument,
    addresses: readonly string[],
  ): Promise<PollResult> {
    const {clock} = this.context;
    const deadlineMs = clock.nowMs() + this.timeoutMs;
    let lastCount = -1;
    for (;;) {
      const poll = await pollVms(watched, addresses);
      const count = countInForce(poll);
      if (count !== lastCount) {
        this.printNote(
          `revision ${watched.revision} is in force on ${count} of ${addresses.length} VMs`,
        );
        lastCount = count;
      }
      const remainingMs = deadlineMs - clock.nowMs();
      if (poll.conclusion !== 'open' || remainingMs <= 0) {
        return poll;
      }
      await sleep(Math.min(POLL_INTERVAL_MS, remainingMs));
    }
  }
}

/** Fetches and evaluates the status of all VMs once. */
async function pollVms(
  watched: WatchedDocument,
  addresses: readonly string[],
): Promise<PollResult> {
  const result = await fetchStatuses(addresses);
  const states = result.responses.map(response =>
    evaluateVm(watched, response.value satisfies VmStatus),
  );
  const isFinal = states.some(
    ({state}) => state === 'lost' || state === 'refused',
  );
  const isDone =
    result.failures.length === 0 &&
    states.every(({state}) => state === 'in-force');
  return {
    states,
    failures: result.failures,
    unqueried: unqueriedVmIds(result),
    conclusion: isFinal ? 'final' : isDone ? 'in-force' : 'open',
  };
}

/** Counts the VMs on which the document is in force. */
function countInForce(poll: PollResult): number {
  return poll.states.filter(({state}) => state === 'in-force').length;
}

/** Formats the conclusion and the VMs on which the document is not in force. */
function toOutput(watched: WatchedDocument, poll: PollResult): CommandOutput {
  const {states, failures, unqueried, conclusion} = poll;
  const count = countInForce(poll);
  const notInForce = states.filter(({state}) => state !== 'in-force');
  const lines = [
    conclusion === 'in-force'
      ? `revision ${watched.revision} is in force on all ${count} VMs`
      : `revision ${watched.revision} is not in force everywhere`,
    ...notInForce.map(({vmId, text}) => `VM ${vmId}: ${text}`),
    ...failures.map(formatFailure),
  ];
  return {
    exitCode:
      conclusion === 'in-force' ? EXIT_CODES.success : EXIT_CODES.negative,
    text: lines.map(line => `${line}\n`).join(''),
    json: {
      ...watched,
      inForceEverywhere: conclusion === 'in-force',
      vms: states,
      failures,
      unasked: unqueried,
    },
    notes: unqueried.length === 0 ? [] : [`not asked: ${unqueried.join(', ')}`],
  };
}
