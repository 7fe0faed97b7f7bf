/**
 * Program: checks that a planned shutdown cut no request (I6). Argument: folder
 * of the run. Callers used a VM only while its `/readyz` answered 200, so each
 * sending must have got an answer.
 *
 * @packageDocumentation
 */
import {Findings, countBy, readTrace} from './records.js';

const [folder = '.', leastAnswered = '1'] = process.argv.slice(2);
const trace = readTrace(folder);
const findings = new Findings();
for (const {sending, entryPort, status, reason} of trace) {
  findings.expect(
    status !== 0,
    `${sending} at port ${entryPort} got no answer: ${reason}`,
  );
}
const results = countBy(trace, record => record.result);
const answered = results.get('answered') ?? 0;
findings.expect(answered >= Number(leastAnswered), 'too few answers');
const ports = countBy(trace, record => String(record.entryPort));
findings.conclude({
  ...Object.fromEntries(results),
  'entries used': ports.size,
});
