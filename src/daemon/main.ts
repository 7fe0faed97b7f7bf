/**
 * Program `sycamorepitchd`. Argument: path of the settings. Exit codes: 0 after
 * a planned shutdown, 1 if the daemon cannot start or shut down, 2 for bad
 * usage or unusable settings.
 *
 * @packageDocumentation
 */
import 'reflect-metadata';
import bunyan from 'bunyan';
import {
  formatSettingsError,
  loadSettings,
  PROGRAM_VERSION,
} from '../settings/index.js';
import {ComponentLog} from './component_log.js';
import {composeDaemon} from './composition_root.js';
import {ListenError} from './listen_error.js';

/** Exit code of a daemon that cannot start or shut down. */
const EXIT_FAILED = 1;

/** Exit code for bad usage or unreadable settings. */
const EXIT_USAGE = 2;

const USAGE = `usage: sycamorepitchd <settings file>

Runs the load balancer on an entry VM until SIGTERM or SIGINT starts a planned
shutdown. docs/operators.md explains the settings.

Example: sycamorepitchd /etc/sycamorepitch/settings.jsonc

Options:
  -h, --help  Print this help
  --version   Print the version

Exit codes: 0 after a planned shutdown, 1 if the daemon cannot start or shut
down (for example because a port is in use), 2 for bad usage or unusable settings.
`;

/** Starts the daemon, which runs until a signal or a replacement ends it. */
async function runDaemon(file: string): Promise<void> {
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
    // Without the serializer, errors are logged as empty objects.
    serializers: {err: bunyan.stdSerializers.err},
  });
  const log = new ComponentLog(logger, 'process');
  logUncaughtFaults(log);
  try {
    const daemon = await composeDaemon({settings, logger});
    const startShutdown = (): void => {
      daemon.shutDown().catch((error: unknown) => {
        log.error('shutdown failed', error);
        process.exit(EXIT_FAILED);
      });
    };
    void daemon.ended.then(() => process.exit(0));
    // A second signal joins the shutdown and does not cut off requests.
    process.on('SIGTERM', startShutdown);
    process.on('SIGINT', startShutdown);
    await daemon.start();
  } catch (error) {
    if (error instanceof ListenError) {
      log.fatal(error.message);
    } else {
      log.error('start failed', error);
    }
    process.exit(EXIT_FAILED);
  }
}

/**
 * Logs uncaught exceptions and rejections. A fault in the handling of one
 * request must not end all others.
 */
function logUncaughtFaults(log: ComponentLog): void {
  process.on('uncaughtException', error =>
    log.error('unhandled exception', error),
  );
  process.on('unhandledRejection', reason =>
    log.error('unhandled rejection', reason),
  );
}

const [file] = process.argv.slice(2);
if (file === '--help' || file === '-h') {
  process.stdout.write(USAGE);
} else if (file === '--version') {
  process.stdout.write(`${PROGRAM_VERSION}\n`);
} else if (file === undefined || file.startsWith('-')) {
  process.stderr.write(USAGE);
  process.exitCode = EXIT_USAGE;
} else {
  await runDaemon(file);
}
