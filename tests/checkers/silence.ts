/**
 * Program that checks that a target stays in use after its open connections
 * went silent. Arguments: folder of the run, with the timelines of the VMs;
 * target id; end of the caller's first run in Unix milliseconds. A second run
 * follows it.
 *
 * @packageDocumentation
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {VmTimeline} from '../../src/preset/index.js';
import {Findings, readLedgers, readTrace} from './records.js';

/**
 * Minimum requests at the target after its connections last went silent, both
 * in the rest of the first run and in the second run.
 */
const MIN_ARRIVAL_COUNT = 20;

/** Minimum length of the rest of the first run for which its bound applies. */
const MIN_REST_MS = 7_000;

const [folder = '.', target = '', firstRunEnd = ''] = process.argv.slice(2);
const firstRunEndMs = Number(firstRunEnd);
const findings = new Findings();
const ledger = readLedgers(folder).filter(entry => entry.target === target);
const lastSilenceMs = Math.max(
  ...ledger
    .filter(entry => entry.type === 'control' && entry.id === 'silence')
    .map(entry => entry.atMs),
);
const arrivals = ledger.filter(
  entry => entry.type === 'arrival' && entry.atMs > lastSilenceMs,
);
const restArrivalCount = arrivals.filter(
  ({atMs}) => atMs <= firstRunEndMs,
).length;
const secondRunArrivalCount = arrivals.length - restArrivalCount;
findings.expect(
  restArrivalCount >= MIN_ARRIVAL_COUNT ||
    firstRunEndMs - lastSilenceMs < MIN_REST_MS,
  `only ${restArrivalCount} requests at ${target} after its connections went silent`,
);
findings.expect(
  secondRunArrivalCount >= MIN_ARRIVAL_COUNT,
  `only ${secondRunArrivalCount} requests at ${target} in the second run`,
);
findings.expect(firstRunEndMs > 0, 'the end of the first run is missing');

let ejectionCount = 0;
for (const name of readdirSync(folder)) {
  if (!name.startsWith('timeline-')) {
    continue;
  }
  const text = readFileSync(join(folder, name), 'utf8');
  const {vmId, events} = JSON.parse(text) as VmTimeline;
  for (const {details} of events) {
    const isEjection =
      details['targetId'] === target && details['to'] === 'ejected';
    ejectionCount += isEjection ? 1 : 0;
    findings.expect(!isEjection, `${vmId} ejected ${target}`);
  }
}

// Daemons must recover a read within its deadline, without a resend.
const reads = readTrace(folder).filter(
  record => record.idempotent && record.sending.endsWith('#1'),
);
for (const {sending, result, reason} of reads) {
  findings.expect(
    result === 'answered',
    `${sending}, a read, ended as ${result}: ${reason}`,
  );
}
findings.printVerdict({
  'requests after the silence': restArrivalCount,
  'requests in the second run': secondRunArrivalCount,
  ejections: ejectionCount,
  reads: reads.length,
});
