/**
 * Trace of the requests that a caller sent and the answers it received.
 *
 * @packageDocumentation
 */
import {openSync, writeSync} from 'node:fs';

/** Trace record of one copy of a request. */
export interface SendingRecord {
  /** Request id, also the idempotency key of a non-idempotent request. */
  readonly id: string;
  readonly kind: string;
  readonly idempotent: boolean;
  /**
   * Header `x-sending-id`: the request id, `#` and the copy's number from 1.
   */
  readonly sending: string;
  /** Caller port of the entry VM that received the copy. */
  readonly entryPort: number;
  /** Wall clock of the caller at the send, in milliseconds. */
  readonly sentAtMs: number;
  /** Wall clock of the caller at the answer or error, in milliseconds. */
  readonly doneAtMs: number;
  /** Classification of the answer by the caller. */
  readonly result: string;
  /** HTTP status code; 0 without an answer. */
  readonly status: number;
  /** Header `x-verdict`; `none` without an answer. */
  readonly verdict: string;
  /** Header `x-refusal-reason`; the error code without an answer. */
  readonly reason: string;
}

/** Writes records to a file as lines of JSON. */
export class CallerTrace {
  private readonly file: number;

  /** @param path - file to write; an existing file is overwritten */
  constructor(path: string) {
    this.file = openSync(path, 'w');
  }

  /** Appends a record. */
  write(record: SendingRecord): void {
    writeSync(this.file, `${JSON.stringify(record)}\n`);
  }
}
