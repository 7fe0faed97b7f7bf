/**
 * Program that compares the answers to callers with the ledgers (I2, I3, I4).
 * Arguments: folder of the run; minimum number of answered requests; minimum
 * number of resent copies. The minimums fail a run in which nothing happened.
 *
 * @packageDocumentation
 */
import {Findings, countBy, readLedgers, readTrace} from './records.js';

const [folder = '.', minAnsweredCount = '1', minResentCount = '0'] =
  process.argv.slice(2);
const trace = readTrace(folder);
const runs = readLedgers(folder).filter(entry => entry.type === 'run');
const runsById = countBy(runs, run => run.id ?? '');
const runsByCopy = countBy(runs, run => run.sending ?? '');
const findings = new Findings();

let resentCount = 0;
const onceIds = new Set<string>();
for (const record of trace) {
  const {id, sending, result, verdict, status, idempotent} = record;
  const label = `${sending} at port ${record.entryPort}`;
  const anyCopyRan = (runsById.get(id) ?? 0) > 0;
  const thisCopyRan = (runsByCopy.get(sending) ?? 0) > 0;
  findings.expect(result !== 'wrong', `${label}: wrong or truncated answer`);
  findings.expect(
    result !== 'not-run' || !thisCopyRan,
    `${label}: answered "not-run" (${record.reason}) but ran`,
  );
  findings.expect(
    result !== 'answered' || thisCopyRan,
    `${label}: answered but did not run`,
  );
  findings.expect(
    verdict !== 'ran' || anyCopyRan,
    `${label}: answered ${status} "ran" but no copy ran`,
  );
  if (!idempotent) {
    onceIds.add(id);
  }
  resentCount += sending.endsWith('#1') ? 0 : 1;
}
for (const id of onceIds) {
  const count = runsById.get(id) ?? 0;
  findings.expect(count <= 1, `${id} ran ${count} times`);
}
const countOf = (result: string): number =>
  trace.filter(record => record.result === result).length;
const answeredCount = countOf('answered');
findings.expect(answeredCount >= Number(minAnsweredCount), 'too few answers');
findings.expect(resentCount >= Number(minResentCount), 'too few resent copies');
findings.printVerdict({
  sendings: trace.length,
  answered: answeredCount,
  'not-run': countOf('not-run'),
  uncertain: countOf('uncertain'),
  'already-ran': countOf('already-ran'),
  'no-answer': countOf('no-answer'),
  failed: countOf('failed'),
  copies: resentCount,
  'non-idempotent': onceIds.size,
});
