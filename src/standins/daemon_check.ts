/**
 * Checks of a daemon while callers outside the limits are connected.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {DaemonProcess} from './daemon_process.js';
import {HostileCallers} from './hostile_callers.js';

/** Tries of an ordinary caller and the time between them. */
const MAX_TRIES = 60;
const RETRY_INTERVAL_MS = 500;

/** A daemon with its callers, and what it may use. */
export interface DaemonCheck {
  readonly daemon: DaemonProcess;
  readonly callers: HostileCallers;
  readonly maxMemoryMb: number;
  readonly maxDescriptors: number;
  /** Writes the measured figures to the output of the test. */
  readonly report: (text: string) => void;
  /** Sends one ordinary request and returns its status, if any. */
  readonly call: (body: Buffer) => Promise<number | undefined>;
}

/**
 * Starts a daemon and waits until it serves.
 *
 * @param t - test that ends the daemon and its callers
 * @param options - arguments of Node.js, of which `{settings}` stands for the
 *     path of the settings file, and environment variables; contents of that
 *     file; port, path and headers of an ordinary request; and the bounds
 * @returns the daemon, and the callers, none of which are connected yet
 */
export async function startDaemon(
  t: TestContext,
  options: {
    readonly args: readonly string[];
    readonly settingsVariable?: string;
    readonly settings: object;
    readonly request: Parameters<typeof post>[0];
    readonly maxMemoryMb: number;
    readonly maxDescriptors: number;
  },
): Promise<DaemonCheck> {
  const {args, settings, settingsVariable, request: ordinary} = options;
  const folder = mkdtempSync(join(tmpdir(), 'hostile-callers-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const daemon = new DaemonProcess(
    args.map(arg => (arg === '{settings}' ? file : arg)),
    settingsVariable === undefined ? {} : {[settingsVariable]: file},
  );
  t.after(() => daemon.stop());
  const {host, port} = ordinary;
  const callers = new HostileCallers({host, port});
  t.after(() => callers.close());
  const call = (body: Buffer): Promise<number | undefined> =>
    post(ordinary, body);
  await callUntilAnswered(call);
  const {maxMemoryMb, maxDescriptors} = options;
  const report = (text: string): void => t.diagnostic(text);
  return {daemon, callers, maxMemoryMb, maxDescriptors, report, call};
}

/**
 * Checks that the daemon lives within its machine and serves ordinary callers.
 *
 * @param check - daemon, callers and bounds
 */
export async function assertSound(check: DaemonCheck): Promise<void> {
  const {daemon, callers, maxDescriptors, maxMemoryMb} = check;
  await callers.settle();
  assert.ok(callers.connectedCount > 0, 'no caller has connected');
  assert.ok(daemon.isAlive, `the daemon has ended: ${daemon.end}`);
  const {descriptorCount} = daemon;
  assert.ok(descriptorCount <= maxDescriptors, `${descriptorCount} open files`);
  await callUntilAnswered(check.call);
  const {peakMemoryMb} = daemon;
  check.report(`${peakMemoryMb.toFixed(1)} MB, ${descriptorCount} open files`);
  assert.ok(peakMemoryMb <= maxMemoryMb, `${peakMemoryMb} MB`);
}

/**
 * Sends a request as an ordinary caller does, again after a refusal.
 *
 * @param call - sends the request once
 */
async function callUntilAnswered(call: DaemonCheck['call']): Promise<void> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    if ((await call(Buffer.from('ordinary'))) === 200) {
      return;
    }
    await sleep(RETRY_INTERVAL_MS);
  }
  assert.fail('an ordinary request was not answered');
}

/**
 * Sends a request with a chunked body on a connection of its own.
 *
 * @param options - address, path and headers
 * @param body - body of the request
 * @returns the status, or undefined without a complete response
 */
function post(
  options: {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
  },
  body: Buffer,
): Promise<number | undefined> {
  return new Promise(resolve => {
    const {headers, ...address} = options;
    const sent = request({
      ...address,
      method: 'POST',
      headers: {...headers, 'transfer-encoding': 'chunked'},
      agent: false,
    });
    sent.on('error', () => resolve(undefined));
    sent.on('response', received => {
      received.resume();
      received.on('end', () => resolve(received.statusCode));
      received.on('error', () => resolve(undefined));
    });
    sent.end(body);
  });
}
