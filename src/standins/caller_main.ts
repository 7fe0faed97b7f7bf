/**
 * Program: open-loop caller. Argument: path of the JSON settings. Exits with 1
 * if a non-idempotent request ran twice or an answer was wrong.
 *
 * @packageDocumentation
 */
import {writeFile} from 'node:fs/promises';
import {SeededRandom} from '../core/index.js';
import {formatReport, reportToJson} from './caller_report.js';
import {OpenLoopCaller} from './caller_run.js';
import {callerSettingsSchema} from './caller_settings.js';
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
const wrong = [...report.kinds.values()].some(kind => kind.counts.wrong > 0);
const {ledger} = report;
const violated =
  (ledger?.doubleRuns.length ?? 0) > 0 || (ledger?.falseNotRun.length ?? 0) > 0;
process.exitCode = wrong || violated ? 1 : 0;
