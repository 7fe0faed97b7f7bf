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

/** A VM that gave no usable answer. */
export interface VmFailure {
  /** Address as `host:port`. */
  readonly address: string;
  readonly reason: string;
}

/** Why a command has no result. */
export type ToolError =
  | {readonly type: 'bad-usage'; readonly message: string}
  | {
      readonly type: 'unreadable-input';
      readonly file: string;
      readonly reason: string;
    }
  /** The text of a file has errors. */
  | {
      readonly type: 'invalid-document';
      readonly file: string;
      readonly issues: readonly InputIssue[];
    }
  /** The VMs use a later document than the one to start from. */
  | {readonly type: 'outdated-document'; readonly message: string}
  | {
      readonly type: 'no-vm-reachable';
      readonly failures: readonly VmFailure[];
    };

/**
 * Maps an error to an exit code.
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
 * Formats an error, one line for each issue.
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

/** Lines of an error. */
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
 * Formats a VM failure.
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
 * Message of an exception without its stack, which is of no use to operators.
 *
 * @param error - anything thrown
 * @returns text without final newline
 *
 * @example
 * ```ts
 * messageOf(new Error('no such file')); // 'no such file'
 * ```
 */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
