/**
 * Program that runs an open-loop caller. Its argument is the path of the JSON
 * settings. It exits with code 1 if a non-idempotent request ran more than
 * once, a request answered with `not-run` ran, or an answer was wrong.
 *
 * @packageDocumentation
 */
import {writeFile} from 'node:fs/promises';
import {SeededRandom} from '../core/index.js';
import {formatReport, reportToJson} from './caller_report.js';
import {callerSettingsSchema} from './caller_settings.js';
import {OpenLoopCaller} from './open_loop_caller.js';
import {readSettings} from './read_settings.js';

const settings = await readSettings(callerSettingsSchema, 'caller.json');
const random = new SeededRandom({seed: settings.seed});
const report = await new OpenLoopCaller(settings, random).run();
const summary = formatReport(report);
process.stdout.write(summary);
if (settings.summaryPath !== undefined) {
  await writeFile(settings.summaryPath, summary);
}
if (settings.jsonPath !== undefined) {
  await writeFile(settings.jsonPath, reportToJson(report));
}
const hasWrongAnswer = [...report.kinds.values()].some(
  kind => kind.counts.wrong > 0,
);
const {ledger} = report;
const hasLedgerViolation =
  (ledger?.doubleRuns.length ?? 0) > 0 || (ledger?.falseNotRun.length ?? 0) > 0;
process.exitCode = hasWrongAnswer || hasLedgerViolation ? 1 : 0;
