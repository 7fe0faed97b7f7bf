/**
 * A daemon as a separate process, with the memory and descriptors that it uses,
 * for tests.
 *
 * @packageDocumentation
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';

/** A running daemon. */
export class DaemonProcess {
  private readonly child: ChildProcess;
  private output = '';

  /**
   * @param args - arguments of Node.js
   * @param env - environment variables besides those of this process
   */
  constructor(args: readonly string[], env: Readonly<NodeJS.ProcessEnv> = {}) {
    this.child = spawn(process.execPath, args, {
      env: {...process.env, ...env},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const collect = (text: Buffer): void => {
      this.output = `${this.output}${text.toString()}`.slice(-4_000);
    };
    this.child.stdout?.on('data', collect);
    this.child.stderr?.on('data', collect);
  }

  /** Whether the process runs. */
  get isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Signal or exit code, and the end of the output. */
  get end(): string {
    const {signalCode, exitCode} = this.child;
    return `${signalCode ?? exitCode}\n${this.output}`;
  }

  /** Most memory that was resident so far, in megabytes. */
  get peakMemoryMb(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    const [, kilobytes = 'NaN'] = /^VmHWM:\s+(\d+) kB/m.exec(status) ?? [];
    return Number(kilobytes) / 1024;
  }

  /** Number of open descriptors. */
  get descriptorCount(): number {
    return readdirSync(`/proc/${this.child.pid}/fd`).length;
  }

  /** Ends the process. */
  stop(): void {
    this.child.kill('SIGKILL');
  }
}
