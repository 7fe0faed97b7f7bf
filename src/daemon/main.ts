/**
 * Program `sycamorepitchd`. Argument: path of the settings.
 *
 * @packageDocumentation
 */
import 'reflect-metadata';
import bunyan from 'bunyan';
import {formatSettingsError, loadSettings} from '../settings/index.js';
import {ComponentLog} from './component_log.js';
import {composeDaemon} from './composition_root.js';

/** Exit code for bad usage or unreadable settings. */
const EXIT_USAGE = 2;

/** Runs the daemon until a signal ends it. */
async function run(file: string): Promise<void> {
  const loaded = await loadSettings(file);
  if (loaded.isErr()) {
    process.stderr.write(`${formatSettingsError(loaded.error)}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const settings = loaded.value;
  const logger = bunyan.createLogger({
    name: 'sycamorepitchd',
    level: settings.logLevel,
    vmId: settings.vmId,
  });
  const log = new ComponentLog(logger, 'process');
  // A fault in the handling of one request must not end all others.
  process.on('uncaughtException', error =>
    log.error('unhandled exception', error),
  );
  process.on('unhandledRejection', reason =>
    log.error('unhandled rejection', reason),
  );
  try {
    const daemon = await composeDaemon({settings, logger});
    const end = (): void => {
      daemon.shutDown().catch((error: unknown) => {
        log.error('shutdown failed', error);
        process.exit(1);
      });
    };
    void daemon.ended.then(() => process.exit(0));
    // A second signal joins the first shutdown and cuts no request.
    process.on('SIGTERM', end);
    process.on('SIGINT', end);
    await daemon.start();
  } catch (error) {
    log.error('start failed', error);
    process.exit(1);
  }
}

const [file] = process.argv.slice(2);
if (file === undefined) {
  process.stderr.write('usage: sycamorepitchd <settings file>\n');
  process.exitCode = EXIT_USAGE;
} else {
  await run(file);
}
