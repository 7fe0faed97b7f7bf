/**
 * Trace of what a caller sent and was told.
 *
 * @packageDocumentation
 */
import {openSync, writeSync} from 'node:fs';

/** One sending of a request. */
export interface SendingRecord {
  /** Request id, also the idempotency key of a non-idempotent request. */
  readonly id: string;
  readonly kind: string;
  readonly idempotent: boolean;
  /** Header `x-sending-id`: the request id, `#` and the number of the copy. */
  readonly sending: string;
  /** Caller port of the entry VM. */
  readonly entryPort: number;
  /** Wall clock of the caller, in milliseconds. */
  readonly sentAtMs: number;
  readonly doneAtMs: number;
  /** How the caller read the answer. */
  readonly result: string;
  /** Status code; 0 without an answer. */
  readonly status: number;
  readonly verdict: string;
  /** Header `x-refusal-reason`, or the error code without an answer. */
  readonly reason: string;
}

/** Writes records to a file, one line of JSON each. */
export class CallerTrace {
  private readonly file: number;

  /** @param path - file to write, replaced if it exists */
  constructor(path: string) {
    this.file = openSync(path, 'w');
  }

  /** Writes one record. */
  write(record: SendingRecord): void {
    writeSync(this.file, `${JSON.stringify(record)}\n`);
  }
}
