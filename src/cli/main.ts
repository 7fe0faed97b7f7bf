#!/usr/bin/env node
/**
 * Entry point of the `sycamorepitch` program, the command line for operators.
 *
 * @packageDocumentation
 */
import {Cli} from 'clipanion';
import {SystemClock} from '../core/index.js';
import {runCli} from './run_cli.js';

// A consumer such as `head` may close the pipe before all output is written.
process.stdout.on('error', () => process.exit());

process.exitCode = await runCli(process.argv.slice(2), {
  ...Cli.defaultContext,
  clock: new SystemClock(),
});
