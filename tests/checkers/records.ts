/**
 * Readers of the records of a run: the caller's trace and the targets' ledgers.
 *
 * @packageDocumentation
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {SendingRecord} from '../../src/standins/caller_trace.js';
import type {LedgerEntry} from '../../src/standins/target_ledger.js';

/** Reads the caller's trace of a run. */
export function readTrace(folder: string): readonly SendingRecord[] {
  return readLines<SendingRecord>(join(folder, 'caller.trace'));
}

/** Reads the ledgers of all target processes, in chronological order. */
export function readLedgers(folder: string): readonly LedgerEntry[] {
  return readdirSync(folder)
    .filter(name => name.endsWith('.ledger'))
    .flatMap(name => readLines<LedgerEntry>(join(folder, name)))
    .sort((a, b) => a.atMs - b.atMs);
}

/** Reads a file with one JSON value per line. */
export function readLines<T>(path: string): readonly T[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.filter(line => line !== '').map(line => JSON.parse(line) as T);
}

/** Counts items by a key. */
export function countBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  }
  return counts;
}

/** Collects violations and reports whether the check passed. */
export class Findings {
  private readonly violations: string[] = [];

  /** Records a violation unless the condition holds. */
  expect(condition: boolean, violation: string): void {
    if (!condition) {
      this.violations.push(violation);
    }
  }

  /** Prints the figures and the verdict; sets exit code 1 on violations. */
  printVerdict(figures: Readonly<Record<string, number>>): void {
    const formattedFigures = Object.entries(figures).map(
      ([name, n]) => `${name} ${n}`,
    );
    process.stdout.write(`${formattedFigures.join(', ')}\n`);
    for (const violation of this.violations.slice(0, 20)) {
      process.stdout.write(`violation: ${violation}\n`);
    }
    const count = this.violations.length;
    process.stdout.write(count === 0 ? 'passed\n' : `${count} violations\n`);
    process.exitCode = count === 0 ? 0 : 1;
  }
}
