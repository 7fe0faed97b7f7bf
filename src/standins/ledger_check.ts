/**
 * Comparison of the targets' ledgers with the answers that a caller got.
 *
 * @packageDocumentation
 */
import {request as sendRequest} from 'undici';
import type {LedgerCheck} from './caller_report.js';

/** What the control port of a target process states. */
interface Ledger {
  readonly runs: Record<string, number>;
  readonly probesByTarget: Record<string, number>;
}

/** Reads a ledger; undefined if its process has gone. */
async function readLedger(port: number): Promise<Ledger | undefined> {
  try {
    const response = await sendRequest(`http://127.0.0.1:${port}/ledger`);
    return (await response.body.json()) as Ledger;
  } catch {
    return undefined;
  }
}

/** What a caller knows of its run. */
export interface RunKnowledge {
  /** Control ports of the target processes. */
  readonly controlPorts: readonly number[];
  /** Requests that may run at most once. */
  readonly onceIds: ReadonlySet<string>;
  /** Requests of which each copy was answered `not-run`. */
  readonly refusedIds: ReadonlySet<string>;
}

/**
 * Reads all ledgers and looks for work that ran twice or against its answer.
 *
 * @param known - ports and expectations
 * @returns the findings; undefined if no ledger can be read
 *
 * @example
 * ```ts
 * const check = await checkLedgers({controlPorts, onceIds, refusedIds});
 * ```
 */
export async function checkLedgers(
  known: RunKnowledge,
): Promise<LedgerCheck | undefined> {
  const ledgers = await readLedgers(known.controlPorts);
  if (ledgers.length === 0) {
    return undefined;
  }
  const runs = countRuns(ledgers);
  const once = [...runs].filter(([id]) => known.onceIds.has(id));
  return {
    doubleRuns: once.filter(([, count]) => count > 1).map(([id]) => id),
    falseNotRun: [...runs.keys()].filter(id => known.refusedIds.has(id)),
    onceRuns: Object.fromEntries(once),
    probes: ledgers
      .flatMap(ledger => Object.values(ledger.probesByTarget))
      .reduce((sum, count) => sum + count, 0),
  };
}

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

/** Sums the runs of each request over all ledgers. */
function countRuns(ledgers: readonly Ledger[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const ledger of ledgers) {
    for (const [id, count] of Object.entries(ledger.runs)) {
      runs.set(id, (runs.get(id) ?? 0) + count);
    }
  }
  return runs;
}
