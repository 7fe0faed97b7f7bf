/**
 * Program: checks that a target whose connections went silent keeps serving.
 * Arguments: folder of the run with the time lines of the VMs; the target; the
 * end of the caller's first run as Unix milliseconds. A second run follows it.
 *
 * @packageDocumentation
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {VmTimeline} from '../../src/preset/index.js';
import {Findings, readLedgers, readTrace} from './records.js';

/**
 * Least requests at the target after it went silent for the last time, in what
 * is left of the first run and in the second one.
 */
const LEAST_ARRIVALS = 20;

/** The rest of the first run counts only if it is as long as planned. */
const LEAST_REST_MS = 7_000;

const [folder = '.', target = '', firstRunEnd = ''] = process.argv.slice(2);
const firstRunEndMs = Number(firstRunEnd);
const findings = new Findings();
const ledger = readLedgers(folder).filter(entry => entry.target === target);
const silencedMs = Math.max(
  ...ledger
    .filter(entry => entry.type === 'control' && entry.id === 'silence')
    .map(entry => entry.atMs),
);
const arrivals = ledger.filter(
  entry => entry.type === 'arrival' && entry.atMs > silencedMs,
);
const restCount = arrivals.filter(({atMs}) => atMs <= firstRunEndMs).length;
const secondCount = arrivals.length - restCount;
findings.expect(
  restCount >= LEAST_ARRIVALS || firstRunEndMs - silencedMs < LEAST_REST_MS,
  `only ${restCount} requests at ${target} after it went silent`,
);
findings.expect(
  secondCount >= LEAST_ARRIVALS,
  `only ${secondCount} requests at ${target} in the run after the silence`,
);
findings.expect(firstRunEndMs > 0, 'the end of the first run is not stated');

let ejections = 0;
for (const name of readdirSync(folder)) {
  if (!name.startsWith('timeline-')) {
    continue;
  }
  const text = readFileSync(join(folder, name), 'utf8');
  const {vmId, events} = JSON.parse(text) as VmTimeline;
  for (const {details} of events) {
    const isEjection =
      details['targetId'] === target && details['to'] === 'ejected';
    ejections += isEjection ? 1 : 0;
    findings.expect(!isEjection, `${vmId} ejected ${target}`);
  }
}

// The daemons themselves must recover a read within its deadline.
const reads = readTrace(folder).filter(
  record => record.idempotent && record.sending.endsWith('#1'),
);
for (const {sending, result, reason} of reads) {
  findings.expect(
    result === 'answered',
    `${sending}, a read, ended as ${result}: ${reason}`,
  );
}
findings.conclude({
  'requests after the silence': restCount,
  'requests in the second run': secondCount,
  ejections,
  reads: reads.length,
});
