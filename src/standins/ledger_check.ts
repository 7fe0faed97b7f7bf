/**
 * Comparison of the targets' ledgers with the answers that a caller received.
 *
 * @packageDocumentation
 */
import {request as sendRequest} from 'undici';
import type {LedgerCheck} from './caller_report.js';

/** Ledger as returned by the control port of a target process. */
interface Ledger {
  readonly runs: Record<string, number>;
  readonly probesByTarget: Record<string, number>;
}

/** Reads a ledger; returns undefined if its process is not reachable. */
async function readLedger(port: number): Promise<Ledger | undefined> {
  try {
    const response = await sendRequest(`http://127.0.0.1:${port}/ledger`);
    return (await response.body.json()) as Ledger;
  } catch {
    return undefined;
  }
}

/** Constraints that the answers of a run put on the ledgers. */
export interface LedgerExpectations {
  /** Control ports of the target processes. */
  readonly controlPorts: readonly number[];
  /** Ids of requests that may run at most once. */
  readonly onceIds: ReadonlySet<string>;
  /** Ids of requests of which every copy was answered with `not-run`. */
  readonly refusedIds: ReadonlySet<string>;
}

/**
 * Reads all ledgers and finds requests that ran twice, or ran although they
 * were answered with `not-run`.
 *
 * @param expectations - control ports and ids to check
 * @returns the result, or undefined if no ledger can be read
 *
 * @example
 * ```ts
 * const check = await checkLedgers({controlPorts, onceIds, refusedIds});
 * ```
 */
export async function checkLedgers(
  expectations: LedgerExpectations,
): Promise<LedgerCheck | undefined> {
  const ledgers = await readLedgers(expectations.controlPorts);
  if (ledgers.length === 0) {
    return undefined;
  }
  const runs = countRuns(ledgers);
  const onceRunCounts = [...runs].filter(([id]) =>
    expectations.onceIds.has(id),
  );
  return {
    doubleRuns: onceRunCounts
      .filter(([, count]) => count > 1)
      .map(([id]) => id),
    falseNotRun: [...runs.keys()].filter(id => expectations.refusedIds.has(id)),
    onceRuns: Object.fromEntries(onceRunCounts),
    probes: ledgers
      .flatMap(ledger => Object.values(ledger.probesByTarget))
      .reduce((sum, count) => sum + count, 0),
  };
}

/** Reads the ledgers of all processes that are reachable. */
async function readLedgers(ports: readonly number[]): Promise<Ledger[]> {
  const ledgers: Ledger[] = [];
  for (const port of ports) {
    const ledger = await readLedger(port);
    if (ledger !== undefined) {
      ledgers.push(ledger);
    }
  }
  return ledgers;
}

/** Sums the runs of each request across all ledgers. */
function countRuns(ledgers: readonly Ledger[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const ledger of ledgers) {
    for (const [id, count] of Object.entries(ledger.runs)) {
      runs.set(id, (runs.get(id) ?? 0) + count);
    }
  }
  return runs;
}
