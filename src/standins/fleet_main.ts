/**
 * Program that writes the settings of a small fleet into a folder.
 *
 * @packageDocumentation
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {join, resolve} from 'node:path';
import {Command, Option, runExit} from 'clipanion';
import * as t from 'typanion';
import {SMALL_FLEET, fleetFiles} from './fleet_files.js';

const isCount = t.cascade(t.isNumber(), t.isInteger());

/** Command line of the generator. */
class FleetFilesCommand extends Command {
  static override usage = Command.Usage({
    description: 'Write the settings of a small fleet',
    examples: [['Five entry VMs', '$0 --vms 5 run/fleet']],
  });

  folder = Option.String();
  seed = Option.String('--seed', '1', {validator: isCount});
  vms = Option.String('--vms', '3', {validator: isCount});
  basePort = Option.String('--base-port', '18000', {validator: isCount});
  durationMs = Option.String('--duration-ms', '20000', {validator: isCount});
  baseRate = Option.String('--base-rate', '60', {validator: isCount});
  peakRate = Option.String('--peak-rate', '300', {validator: isCount});

  record = Option.Boolean('--record', false);

  override async execute(): Promise<void> {
    const files = fleetFiles({
      ...SMALL_FLEET,
      seed: this.seed,
      vmCount: this.vms,
      basePort: this.basePort,
      durationMs: this.durationMs,
      baseRate: this.baseRate,
      peakRate: this.peakRate,
      ...(this.record ? {recordFolder: resolve(this.folder)} : {}),
    });
    await mkdir(this.folder, {recursive: true});
    for (const [name, content] of files) {
      const text = `${JSON.stringify(content, undefined, 2)}\n`;
      await writeFile(join(this.folder, name), text);
    }
  }
}

await runExit(FleetFilesCommand);
