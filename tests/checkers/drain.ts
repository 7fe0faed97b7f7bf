/**
 * Program that checks that draining targets receive no new requests (I5).
 * Arguments: folder of the run; ids of the targets that were drained. The first
 * sign of a drain is the first response that announces it, or the entry `mark`
 * in the ledger, which is written before the VM list with the state `leaving`
 * is published.
 *
 * @packageDocumentation
 */
import {Findings, readLedgers} from './records.js';

/** Time after the first sign during which requests may still arrive (I5). */
const MAX_DRAIN_DELAY_MS = 3_000;

/**
 * Minimum requests to other targets after the bound, to prove there was load.
 */
const MIN_OTHER_ARRIVAL_COUNT = 100;

const [folder = '.', ...drainedTargets] = process.argv.slice(2);
const ledger = readLedgers(folder);
const arrivals = ledger.filter(entry => entry.type === 'arrival');
const findings = new Findings();
const figures: Record<string, number> = {};
for (const target of drainedTargets) {
  const targetArrivals = arrivals.filter(entry => entry.target === target);
  const firstSign = ledger.find(
    entry =>
      entry.target === target &&
      (entry.type === 'drain-sign' || entry.id === 'mark'),
  );
  const firstSignMs = firstSign?.atMs ?? Infinity;
  const earlyArrivals = targetArrivals.filter(
    entry => entry.atMs <= firstSignMs,
  );
  const lateArrivals = targetArrivals.filter(
    entry => entry.atMs > firstSignMs + MAX_DRAIN_DELAY_MS,
  );
  const otherArrivals = arrivals.filter(
    entry =>
      !drainedTargets.includes(entry.target) &&
      entry.atMs > firstSignMs + MAX_DRAIN_DELAY_MS,
  );
  findings.expect(firstSign !== undefined, `${target} showed no drain sign`);
  findings.expect(
    earlyArrivals.length > 0,
    `${target} received no request before the first sign`,
  );
  findings.expect(
    otherArrivals.length >= MIN_OTHER_ARRIVAL_COUNT,
    `${target}: only ${otherArrivals.length} requests to other targets after the bound`,
  );
  const lastArrivalMs = targetArrivals.at(-1)?.atMs ?? 0;
  findings.expect(
    lateArrivals.length === 0,
    `${target}: ${lateArrivals.length} requests after the bound, the last ${lastArrivalMs - firstSignMs} ms after the first sign`,
  );
  figures[`${target}: last request after ms`] = Math.max(
    0,
    lastArrivalMs - firstSignMs,
  );
}
findings.printVerdict(figures);
