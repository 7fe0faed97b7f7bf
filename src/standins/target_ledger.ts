/**
 * Record of what ran at the targets of one process.
 *
 * @packageDocumentation
 */
import {openSync, writeSync} from 'node:fs';

/**
 * One line of a ledger file. `arrival`: a request reached the target, whether
 * it ran or not; `drain-sign`: an answer stated that it drains; `control`: a test changed the behaviour of a target.
 */
export interface LedgerEntry {
  readonly type:
    'arrival' | 'run' | 'probe' | 'crash' | 'drain-sign' | 'control';
  readonly target: string;
  /** Request id; for `control`, the action. */
  readonly id?: string;
  /** Header `x-sending-id`, which differs between copies of a request. */
  readonly sending?: string;
  /** Wall clock of the target process, in milliseconds. */
  readonly atMs: number;
}

/** A request as the ledger names it. */
export interface LedgerRequest {
  readonly id: string;
  readonly sending: string;
}

/** Counts runs by request id, and probes. */
export class TargetLedger {
  private readonly runs = new Map<string, number>();
  private readonly probesByTarget = new Map<string, number>();
  private readonly startsByTarget = new Map<string, number>();
  private readonly file: number | undefined;
  private crashCount = 0;

  /**
   * @param path - file to which each event is appended before the event takes
   *     effect, so that a killed process loses none; undefined for no file
   */
  constructor(path?: string) {
    this.file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Notes a request that reached a target. */
  recordArrival(targetId: string, request: LedgerRequest): void {
    this.append({type: 'arrival', target: targetId, ...request});
  }

  /** Notes that work on a request began. */
  recordRun(targetId: string, request: LedgerRequest): void {
    const {id} = request;
    this.append({type: 'run', target: targetId, ...request});
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    increment(this.startsByTarget, targetId);
  }

  /** Notes a call of the load endpoint. */
  recordProbe(targetId: string): void {
    this.append({type: 'probe', target: targetId});
    increment(this.probesByTarget, targetId);
  }

  /** Notes an answer that states that the target drains. */
  recordDrainSign(targetId: string): void {
    this.append({type: 'drain-sign', target: targetId});
  }

  /** Notes a crash. */
  recordCrash(targetId: string): void {
    this.append({type: 'crash', target: targetId});
    this.crashCount += 1;
  }

  /** Notes a change by the control port. */
  recordControl(targetId: string, action: string): void {
    this.append({type: 'control', target: targetId, id: action});
  }

  /** JSON form for the control port. */
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
