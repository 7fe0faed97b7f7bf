/**
 * Program: checks that draining targets get no new request (I5). Arguments:
 * folder of the run and the targets that were made to drain. The first sign of
 * a target is its first answer that states the drain, or the entry `mark` in
 * its ledger, made before a VM list that shows it leaving is published.
 *
 * @packageDocumentation
 */
import {Findings, readLedgers} from './records.js';

/** Time after the first sign in which requests may still arrive (I5). */
const BOUND_MS = 3_000;

/** Least requests of other targets after the bound, so that load was there. */
const LEAST_OTHERS = 100;

const [folder = '.', ...drained] = process.argv.slice(2);
const ledger = readLedgers(folder);
const arrivals = ledger.filter(entry => entry.type === 'arrival');
const findings = new Findings();
const figures: Record<string, number> = {};
for (const target of drained) {
  const own = arrivals.filter(entry => entry.target === target);
  const sign = ledger.find(
    entry =>
      entry.target === target &&
      (entry.type === 'drain-sign' || entry.id === 'mark'),
  );
  const signMs = sign?.atMs ?? Infinity;
  const before = own.filter(entry => entry.atMs <= signMs);
  const late = own.filter(entry => entry.atMs > signMs + BOUND_MS);
  const others = arrivals.filter(
    entry => !drained.includes(entry.target) && entry.atMs > signMs + BOUND_MS,
  );
  findings.expect(sign !== undefined, `${target} gave no sign`);
  findings.expect(before.length > 0, `${target} had no request before`);
  findings.expect(
    others.length >= LEAST_OTHERS,
    `${target}: only ${others.length} requests elsewhere after the bound`,
  );
  const lastMs = own.at(-1)?.atMs ?? 0;
  findings.expect(
    late.length === 0,
    `${target}: ${late.length} requests after the bound, the last ${lastMs - signMs} ms after the first sign`,
  );
  figures[`${target}: last request after ms`] = Math.max(0, lastMs - signMs);
}
findings.conclude(figures);
