/**
 * Program: compares what callers were told with the ledgers (I2, I3, I4).
 * Arguments: folder of the run; least number of answered requests and of copies
 * that were sent again, so that a run in which nothing happened does not pass.
 *
 * @packageDocumentation
 */
import {Findings, countBy, readLedgers, readTrace} from './records.js';

const [folder = '.', leastAnswered = '1', leastResent = '0'] =
  process.argv.slice(2);
const trace = readTrace(folder);
const runs = readLedgers(folder).filter(entry => entry.type === 'run');
const runsById = countBy(runs, run => run.id ?? '');
const runsBySending = countBy(runs, run => run.sending ?? '');
const findings = new Findings();

let resent = 0;
const onceIds = new Set<string>();
for (const record of trace) {
  const {id, sending, result, verdict, status, idempotent} = record;
  const label = `${sending} at port ${record.entryPort}`;
  const ranAtAll = (runsById.get(id) ?? 0) > 0;
  const ranItself = (runsBySending.get(sending) ?? 0) > 0;
  findings.expect(result !== 'wrong', `${label}: wrong or truncated answer`);
  findings.expect(
    result !== 'not-run' || !ranItself,
    `${label}: "not-run" (${record.reason}) but it ran`,
  );
  findings.expect(
    result !== 'answered' || ranItself,
    `${label}: answered but it did not run`,
  );
  findings.expect(
    verdict !== 'ran' || ranAtAll,
    `${label}: status ${status} "ran" but it did not run`,
  );
  if (!idempotent) {
    onceIds.add(id);
  }
  resent += sending.endsWith('#1') ? 0 : 1;
}
for (const id of onceIds) {
  const count = runsById.get(id) ?? 0;
  findings.expect(count <= 1, `${id} ran ${count} times`);
}
const countOf = (result: string): number =>
  trace.filter(record => record.result === result).length;
const answered = countOf('answered');
findings.expect(answered >= Number(leastAnswered), 'too few answers');
findings.expect(resent >= Number(leastResent), 'too few copies sent again');
findings.conclude({
  sendings: trace.length,
  answered,
  'not-run': countOf('not-run'),
  uncertain: countOf('uncertain'),
  'already-ran': countOf('already-ran'),
  'no-answer': countOf('no-answer'),
  failed: countOf('failed'),
  copies: resent,
  'non-idempotent': onceIds.size,
});
