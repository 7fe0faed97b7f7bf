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
import {unaskedVmIds, VmCommand} from './vm_command.js';
import {
  judgeVm,
  type VmWatchState,
  type WatchedDocument,
} from './watch_progress.js';

/** Time between two rounds of questions to the VMs. */
const ROUND_INTERVAL_MS = 500;

/** Validator of a count of milliseconds or a version. */
const isCount = applyCascade(isNumber(), [isInteger(), isAtLeast(0)]);

/** What one round of questions found. */
interface Round {
  readonly states: readonly VmWatchState[];
  readonly failures: readonly VmFailure[];
  readonly unasked: readonly string[];
  /** `final`: no later round can change the conclusion. */
  readonly conclusion: 'in-force' | 'open' | 'final';
}

/** Waits until a published document is in force on all VMs. */
export class PresetWatch extends VmCommand {
  static override paths = [['preset', 'watch']];
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Wait until a published document is in force on all VMs',
    details:
      'Asks the VMs twice a second. Exit code 0 when the document is in force on all of them; 1 when it was refused, when another publication won, or when VMs lag at the end of the time; 3 when no VM answers. A document that another operator published with the same revision is told from this one by its hash; with --platform-version the loss of this one is known at once.',
    examples: [
      [
        'Watch a publication',
        '$0 preset watch next.jsonc --settings operators.jsonc',
      ],
      [
        'With the version that the platform answered',
        '$0 preset watch next.jsonc --vm 10.0.0.1:9090 --platform-version 41',
      ],
    ],
  });

  timeoutMs = Option.String('--timeout-ms', '30000', {
    description: 'Time to wait in milliseconds; 30000 by default',
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
    const round = await this.watch(watched, addresses.value);
    return round.states.length === 0
      ? err({type: 'no-vm-reachable', failures: round.failures})
      : ok(toOutput(watched, round));
  }

  /** Asks until the conclusion is final or the time is over. */
  private async watch(
    watched: WatchedDocument,
    addresses: readonly string[],
  ): Promise<Round> {
    const {clock} = this.context;
    const deadlineMs = clock.nowMs() + this.timeoutMs;
    let lastCount = -1;
    for (;;) {
      const round = await askRound(watched, addresses);
      const count = countInForce(round);
      if (count !== lastCount) {
        this.note(
          `revision ${watched.revision} is in force on ${count} of ${addresses.length} VMs`,
        );
        lastCount = count;
      }
      const remainingMs = deadlineMs - clock.nowMs();
      if (round.conclusion !== 'open' || remainingMs <= 0) {
        return round;
      }
      await sleep(Math.min(ROUND_INTERVAL_MS, remainingMs));
    }
  }
}

/** Asks all VMs once. */
async function askRound(
  watched: WatchedDocument,
  addresses: readonly string[],
): Promise<Round> {
  const result = await fetchStatuses(addresses);
  const states = result.answers.map(answer =>
    judgeVm(watched, answer.value satisfies VmStatus),
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
    unasked: unaskedVmIds(result),
    conclusion: isFinal ? 'final' : isDone ? 'in-force' : 'open',
  };
}

/** Number of VMs on which the document is in force. */
function countInForce(round: Round): number {
  return round.states.filter(({state}) => state === 'in-force').length;
}

/** Conclusion in words, with the VMs that do not have the document. */
function toOutput(watched: WatchedDocument, round: Round): CommandOutput {
  const {states, failures, unasked, conclusion} = round;
  const count = countInForce(round);
  const others = states.filter(({state}) => state !== 'in-force');
  const lines = [
    conclusion === 'in-force'
      ? `revision ${watched.revision} is in force on all ${count} VMs`
      : `revision ${watched.revision} is not in force everywhere`,
    ...others.map(({vmId, text}) => `VM ${vmId}: ${text}`),
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
      unasked,
    },
    notes: unasked.length === 0 ? [] : [`not asked: ${unasked.join(', ')}`],
  };
}
