/**
 * Program: checks that a target whose connections went silent keeps serving.
 * Arguments: folder of the run with the time lines of the VMs; the target.
 *
 * @packageDocumentation
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {VmTimeline} from '../../src/preset/index.js';
import {Findings, readLedgers, readTrace} from './records.js';

/** Least requests at the target after it went silent for the last time. */
const LEAST_ARRIVALS = 20;

const [folder = '.', target = ''] = process.argv.slice(2);
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
findings.expect(
  arrivals.length >= LEAST_ARRIVALS,
  `only ${arrivals.length} requests at ${target} after it went silent`,
);

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
  'requests after the silence': arrivals.length,
  ejections,
  reads: reads.length,
});
