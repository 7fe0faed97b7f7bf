/**
 * Record of what ran at the targets of one process.
 *
 * @packageDocumentation
 */

/** Counts runs by request id, and probes. */
export class TargetLedger {
  private readonly runs = new Map<string, number>();
  private readonly probesByTarget = new Map<string, number>();
  private readonly startsByTarget = new Map<string, number>();
  private crashCount = 0;

  /** Notes that work on a request began. */
  recordRun(targetId: string, requestId: string): void {
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    increment(this.startsByTarget, targetId);
  }

  /** Notes a call of the load endpoint. */
  recordProbe(targetId: string): void {
    increment(this.probesByTarget, targetId);
  }

  /** Notes a crash. */
  recordCrash(): void {
    this.crashCount += 1;
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
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
