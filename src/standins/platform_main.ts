/**
 * Program that runs the platform stand-in. It prints one line with its base URL
 * when it is ready.
 *
 * @packageDocumentation
 */
import {readFile} from 'node:fs/promises';
import {Command, Option, runExit} from 'clipanion';
import * as t from 'typanion';
import {SystemClock} from '../core/index.js';
import {PlatformServer} from './platform_server.js';

/** Command line of the stand-in. */
class PlatformCommand extends Command {
  static override usage = Command.Usage({
    description: 'Run a stand-in of the platform for tests',
    examples: [
      [
        'Serve two documents',
        '$0 --port 7000 --config presets.jsonc --vms vms.jsonc',
      ],
    ],
  });

  host = Option.String('--host', '127.0.0.1', {description: 'IP address'});
  port = Option.String('--port', '0', {
    description: 'Port; 0 selects a free one',
    validator: t.cascade(t.isNumber(), t.isInteger()),
  });
  config = Option.String('--config', {
    description: 'File with the initial config document',
  });
  vms = Option.String('--vms', {description: 'File with the initial VM list'});

  override async execute(): Promise<void> {
    const platform = new PlatformServer({clock: new SystemClock()});
    if (this.config !== undefined) {
      platform.publish('config', await readFile(this.config));
    }
    if (this.vms !== undefined) {
      platform.publish('vms', await readFile(this.vms));
    }
    const baseUrl = await platform.listen(this.host, this.port);
    this.context.stdout.write(`platform: listening on ${baseUrl}\n`);
    await new Promise<void>(resolve => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    await platform.close();
  }
}

await runExit(PlatformCommand);
