/**
 * Record of the requests, probes and crashes at the targets of one process.
 *
 * @packageDocumentation
 */
import {openSync, writeSync} from 'node:fs';

/**
 * One line of a ledger file.
 *
 * `arrival`: a request reached the target, whether or not it ran; `run`: work
 * on a request started; `probe`: the load endpoint was called; `crash`: the
 * target crashed; `drain-sign`: a response announced that the target is
 * draining; `control`: a control command changed the target's behaviour.
 */
export interface LedgerEntry {
  readonly type:
    'arrival' | 'run' | 'probe' | 'crash' | 'drain-sign' | 'control';
  readonly target: string;
  /** Request id; for `control`, the action. */
  readonly id?: string;
  /** Value of the header `x-sending-id`, unique to each copy of a request. */
  readonly sending?: string;
  /** Wall clock of the target process, in milliseconds. */
  readonly atMs: number;
}

/** Ids under which the ledger records a request. */
export interface LedgerRequest {
  readonly id: string;
  readonly sending: string;
}

/** Counts runs, probes and crashes, and writes each event to a file. */
export class TargetLedger {
  private readonly runs = new Map<string, number>();
  private readonly probesByTarget = new Map<string, number>();
  private readonly startsByTarget = new Map<string, number>();
  private readonly file: number | undefined;
  private crashCount = 0;

  /**
   * @param path - file to which each event is appended before it takes effect,
   *     so that a killed process loses no event; undefined for no file
   */
  constructor(path?: string) {
    this.file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Records a request that reached a target. */
  recordArrival(targetId: string, request: LedgerRequest): void {
    this.append({type: 'arrival', target: targetId, ...request});
  }

  /** Records that work on a request started. */
  recordRun(targetId: string, request: LedgerRequest): void {
    const {id} = request;
    this.append({type: 'run', target: targetId, ...request});
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    increment(this.startsByTarget, targetId);
  }

  /** Records a call of the load endpoint. */
  recordProbe(targetId: string): void {
    this.append({type: 'probe', target: targetId});
    increment(this.probesByTarget, targetId);
  }

  /** Records a response that announces that the target is draining. */
  recordDrainSign(targetId: string): void {
    this.append({type: 'drain-sign', target: targetId});
  }

  /** Records a crash. */
  recordCrash(targetId: string): void {
    this.append({type: 'crash', target: targetId});
    this.crashCount += 1;
  }

  /** Records a command of the control port. */
  recordControl(targetId: string, action: string): void {
    this.append({type: 'control', target: targetId, id: action});
  }

  /** Returns the counts as the control port reports them. */
  toJSON(): object {
    return {
      runs: Object.fromEntries(this.runs),
      startsByTarget: Object.fromEntries(this.startsByTarget),
      probesByTarget: Object.fromEntries(this.probesByTarget),
      crashes: this.crashCount,
    };
  }

  private append(entry: Omit<LedgerEntry, 'atMs'>): void {
    if (this.file !== undefined) {
      const line = JSON.stringify({...entry, atMs: Date.now()});
      writeSync(this.file, `${line}\n`);
    }
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
