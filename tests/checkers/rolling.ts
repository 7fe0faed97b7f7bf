/**
 * Program that checks that planned shutdowns aborted no request (I6).
 * Arguments: folder of the run; minimum number of answered requests. The caller
 * used a VM only while its `/readyz` returned 200, so each copy must have
 * received an answer, and no non-idempotent request may have been aborted.
 *
 * @packageDocumentation
 */
import {Findings, countBy, readTrace} from './records.js';

const [folder = '.', minAnsweredCount = '1'] = process.argv.slice(2);
const trace = readTrace(folder);
const findings = new Findings();
for (const {sending, entryPort, status, reason, idempotent} of trace) {
  findings.expect(
    status !== 0,
    `${sending} at port ${entryPort} received no answer: ${reason}`,
  );
  // No target fails in this run, so only a daemon can have aborted the request.
  findings.expect(
    idempotent || reason !== 'connection-lost',
    `${sending} at port ${entryPort} was aborted between the VM and a target`,
  );
}
const results = countBy(trace, record => record.result);
const answered = results.get('answered') ?? 0;
findings.expect(answered >= Number(minAnsweredCount), 'too few answers');
const ports = countBy(trace, record => String(record.entryPort));
findings.printVerdict({
  ...Object.fromEntries(results),
  'entries used': ports.size,
});
