/**
 * Program: checks the quarantine of a request that crashes targets. Arguments:
 * folder of the run; number of VMs. `poison.txt` holds a line for each copy of
 * the request: VM, status, verdict, reason; the last copies went to all VMs.
 *
 * @packageDocumentation
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {Findings, readLedgers, readTrace} from './records.js';

const QUARANTINED = '422';
const MAX_CRASHES = 2;

const [folder = '.', vmCount = '0'] = process.argv.slice(2);
const findings = new Findings();
const ledger = readLedgers(folder);
const crashes = ledger.filter(entry => entry.type === 'crash');
const secondMs = crashes[1]?.atMs ?? Infinity;
// Copies that had arrived before the second crash could not be stopped.
const avoidable = ledger.filter(
  entry =>
    entry.type === 'run' &&
    (entry.id ?? '').startsWith('poison') &&
    entry.atMs > secondMs,
);
findings.expect(crashes.length >= MAX_CRASHES, 'too few crashes to judge');
findings.expect(
  avoidable.length === 0,
  `${avoidable.length} copies ran after the second crash`,
);

const lines = readFileSync(join(folder, 'poison.txt'), 'utf8').trim();
const answers = lines.split('\n').map(line => line.split(' '));
for (const [vm, status, verdict] of answers.slice(-Number(vmCount))) {
  findings.expect(
    status === QUARANTINED && verdict === 'may-have-run',
    `VM ${vm} answers ${status} ${verdict} to the request at the end`,
  );
}

const reads = readTrace(folder);
let inFlight = 0;
for (const {sending, sentAtMs, doneAtMs, status, reason} of reads) {
  inFlight += crashes.filter(
    crash => sentAtMs <= crash.atMs && crash.atMs <= doneAtMs,
  ).length;
  findings.expect(
    String(status) !== QUARANTINED,
    `${sending}, a harmless read, was refused: ${reason}`,
  );
}
findings.expect(inFlight > 0, 'no read was in flight at a crash');
findings.conclude({
  crashes: crashes.length,
  'copies of the request': answers.length,
  'reads in flight at crashes': inFlight,
  reads: reads.length,
});
