/**
 * Errors and exit codes of the command line.
 *
 * @packageDocumentation
 */
import {formatIssue, type InputIssue} from '../preset/index.js';

/** Exit codes (design page, section 2). */
export const EXIT_CODES = {
  success: 0,
  negative: 1,
  badInput: 2,
  noVmReachable: 3,
} as const;

/** Failure to get a valid response from a VM. */
export interface VmFailure {
  /** Address as `host:port`. */
  readonly address: string;
  readonly reason: string;
}

/** Error that prevents a command from producing a result. */
export type ToolError =
  | {readonly type: 'bad-usage'; readonly message: string}
  | {
      readonly type: 'unreadable-input';
      readonly file: string;
      readonly reason: string;
    }
  /** A file was read but its content is invalid. */
  | {
      readonly type: 'invalid-document';
      readonly file: string;
      readonly issues: readonly InputIssue[];
    }
  /** A VM has a later document than the input file. */
  | {readonly type: 'outdated-document'; readonly message: string}
  | {
      readonly type: 'no-vm-reachable';
      readonly failures: readonly VmFailure[];
    };

/**
 * Returns the exit code for an error.
 *
 * @param error - error of a command
 * @returns exit code from 1 to 3
 *
 * @example
 * ```ts
 * exitCodeOf({type: 'no-vm-reachable', failures: []}); // 3
 * ```
 */
export function exitCodeOf(error: ToolError): number {
  switch (error.type) {
    case 'bad-usage':
    case 'unreadable-input':
      return EXIT_CODES.badInput;
    case 'invalid-document':
    case 'outdated-document':
      return EXIT_CODES.negative;
    case 'no-vm-reachable':
      return EXIT_CODES.noVmReachable;
  }
}

/**
 * Formats an error with one line per issue.
 *
 * @param error - error of a command
 * @returns text with a final newline
 *
 * @example
 * ```ts
 * process.stderr.write(formatToolError(error));
 * ```
 */
export function formatToolError(error: ToolError): string {
  return toLines(error)
    .map(line => `${line}\n`)
    .join('');
}

/** Formats an error as lines without newlines. */
function toLines(error: ToolError): readonly string[] {
  switch (error.type) {
    case 'bad-usage':
    case 'outdated-document':
      return [error.message];
    case 'unreadable-input':
      return [`${error.file}: cannot be read (${error.reason})`];
    case 'invalid-document':
      return error.issues.map(issue => `${error.file}: ${formatIssue(issue)}`);
    case 'no-vm-reachable':
      return ['no VM is reachable', ...error.failures.map(formatFailure)];
  }
}

/**
 * Formats the failure of a VM.
 *
 * @param failure - failure of one VM
 * @returns text such as `10.0.0.1:9090: ECONNREFUSED`
 *
 * @example
 * ```ts
 * formatFailure({address: '10.0.0.1:9090', reason: 'ECONNREFUSED'});
 * ```
 */
export function formatFailure(failure: VmFailure): string {
  return `${failure.address}: ${failure.reason}`;
}

/**
 * Returns the message of an exception without its stack, which does not help
 * operators.
 *
 * @param error - anything thrown
 * @returns message without a final newline
 *
 * @example
 * ```ts
 * messageOf(new Error('no such file')); // 'no such file'
 * ```
 */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
