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
/** Different targets that may crash before all VMs refuse the request. */
const MAX_CRASHED_TARGET_COUNT = 2;

const [folder = '.', vmCount = '0'] = process.argv.slice(2);
const findings = new Findings();
const ledger = readLedgers(folder);
const crashes = ledger.filter(entry => entry.type === 'crash');
// A target that crashes again after a restart is no further evidence against the
// request, so the bound is the first crash of a second target.
const firstCrashMs = new Map<string, number>();
for (const {target, atMs} of crashes) {
  firstCrashMs.set(target, firstCrashMs.get(target) ?? atMs);
}
const boundMs =
  [...firstCrashMs.values()][MAX_CRASHED_TARGET_COUNT - 1] ?? Infinity;
// Copies that arrived before the bound cannot be prevented from running.
const avoidableRuns = ledger.filter(
  entry =>
    entry.type === 'run' &&
    (entry.id ?? '').startsWith('poison') &&
    entry.atMs > boundMs,
);
findings.expect(
  firstCrashMs.size >= MAX_CRASHED_TARGET_COUNT,
  'too few targets crashed for the check',
);
findings.expect(
  firstCrashMs.size <= MAX_CRASHED_TARGET_COUNT,
  `${firstCrashMs.size} targets crashed`,
);
findings.expect(
  avoidableRuns.length === 0,
  `${avoidableRuns.length} copies ran after the crash of a second target`,
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
  'crashed targets': firstCrashMs.size,
  'copies of the request': answers.length,
  'reads in flight at crashes': inFlightCount,
  reads: reads.length,
});
