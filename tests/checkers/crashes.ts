/**
 * Program that checks the quarantine of a request that crashes targets.
 * Arguments: folder of the run; number of VMs. `poison.txt` has a line for each
 * copy of the request: VM, status, verdict, reason. The last lines are those of
 * one copy to each VM.
 *
 * @packageDocumentation
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {Findings, readLedgers, readTrace} from './records.js';

const QUARANTINE_STATUS = '422';
const MAX_CRASH_COUNT = 2;

const [folder = '.', vmCount = '0'] = process.argv.slice(2);
const findings = new Findings();
const ledger = readLedgers(folder);
const crashes = ledger.filter(entry => entry.type === 'crash');
const secondCrashMs = crashes[1]?.atMs ?? Infinity;
// Copies that arrived before the second crash cannot be prevented from running.
const avoidableRuns = ledger.filter(
  entry =>
    entry.type === 'run' &&
    (entry.id ?? '').startsWith('poison') &&
    entry.atMs > secondCrashMs,
);
findings.expect(
  crashes.length >= MAX_CRASH_COUNT,
  'too few crashes for the check',
);
findings.expect(
  avoidableRuns.length === 0,
  `${avoidableRuns.length} copies ran after the second crash`,
);

const lines = readFileSync(join(folder, 'poison.txt'), 'utf8').trim();
const answers = lines.split('\n').map(line => line.split(' '));
for (const [vm, status, verdict] of answers.slice(-Number(vmCount))) {
  findings.expect(
    status === QUARANTINE_STATUS && verdict === 'may-have-run',
    `VM ${vm} answers the request with ${status} ${verdict} at the end`,
  );
}

const reads = readTrace(folder);
let inFlightCount = 0;
for (const {sending, sentAtMs, doneAtMs, status, reason} of reads) {
  inFlightCount += crashes.filter(
    crash => sentAtMs <= crash.atMs && crash.atMs <= doneAtMs,
  ).length;
  findings.expect(
    String(status) !== QUARANTINE_STATUS,
    `${sending}, a harmless read, was quarantined: ${reason}`,
  );
}
findings.expect(inFlightCount > 0, 'no read was in flight at a crash');
findings.printVerdict({
  crashes: crashes.length,
  'copies of the request': answers.length,
  'reads in flight at crashes': inFlightCount,
  reads: reads.length,
});
