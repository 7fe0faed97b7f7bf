/**
 * Program that runs target stand-ins. Its argument is the path of the JSON
 * settings.
 *
 * @packageDocumentation
 */
import {SeededRandom} from '../core/index.js';
import {readSettings} from './read_settings.js';
import {createControlServer} from './target_control.js';
import {TargetLedger} from './target_ledger.js';
import {targetSettingsSchema} from './target_settings.js';
import {TargetStandin} from './target_standin.js';

const settings = await readSettings(targetSettingsSchema, 'targets.json');
const ledger = new TargetLedger(settings.ledgerPath);
const targets = settings.targets.map((spec, index) => {
  const random = new SeededRandom({seed: settings.seed + index});
  return new TargetStandin({spec, settings, random, ledger});
});
await Promise.all(targets.map(target => target.start()));
const control = createControlServer(targets, ledger);
control.listen(settings.controlPort, settings.host);
process.stdout.write(
  `targets: ${targets.length} listening, seed ${settings.seed}\n`,
);

process.on('SIGTERM', () => process.exit(0));
