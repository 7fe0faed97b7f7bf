import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {findKind, parseConfigDocument, type Preset} from '../preset/index.js';
import {parseSettings} from '../settings/index.js';
import {collectAddresses} from './vm_addresses.js';

const DEPLOY = 'deploy';

/** Slots and connections per target (design page, section 1). */
const SIZES = new Map([
  ['himali', {slots: 6, connections: 280, connectionsPerVm: 9}],
  ['society', {slots: 3, connections: 350, connectionsPerVm: 11}],
]);

function readText(file: string): string {
  return readFileSync(file, 'utf8');
}

test('deploy contains only files that are tested', () => {
  // Guards against a file that no test validates.
  assert.deepEqual(readdirSync(DEPLOY).sort(), [
    'days',
    ...SIZES.keys(),
    'system.toml',
  ]);
  // Days that the users' benchmark plays.
  assert.deepEqual(readdirSync(`${DEPLOY}/days`).sort(), [
    'capped.toml',
    'leaving-unheard.toml',
    'restored-leaving.toml',
    'restored-twice.toml',
    'restored.toml',
    'stranded-mixed.toml',
    'stranded-zone.toml',
    'stranded.toml',
  ]);
  for (const name of SIZES.keys()) {
    assert.deepEqual(readdirSync(`${DEPLOY}/${name}`).sort(), [
      'operators.jsonc',
      'presets.jsonc',
      'settings.jsonc',
    ]);
  }
});

for (const [name, sizes] of SIZES) {
  test(`presets of ${name} are valid and have the designed sizes`, () => {
    // Guards against documented presets that a VM would refuse, and against
    // presets that differ in connections or probes.
    const body = readText(`${DEPLOY}/${name}/presets.jsonc`);
    const document = parseConfigDocument(body)._unsafeUnwrap();
    assert.deepEqual(
      [...document.presets.keys()],
      ['ordinary', 'lunch', 'maintenance'],
    );
    const budgets = new Set(
      [...document.presets.values()].map(formatProbeBudgets),
    );
    assert.equal(budgets.size, 1);
    for (const preset of document.presets.values()) {
      for (const service of preset.services.values()) {
        assert.equal(service.slotsPerTarget, sizes.slots);
        assert.equal(service.connectionsPerTarget, sizes.connections);
        const perVm = Math.floor(sizes.connections / preset.vmCeiling);
        assert.equal(perVm, sizes.connectionsPerVm);
        for (const kind of service.kinds) {
          assert.equal(
            findKind(service, kind.method, kind.pathPrefix)?.name,
            kind.name,
          );
          assert.equal(kind.idempotent, kind.method === 'GET');
        }
      }
    }
  });

  test(`settings and VM list of ${name} are valid`, async () => {
    // Guards against documented settings that prevent a daemon from starting.
    const file = `${DEPLOY}/${name}/settings.jsonc`;
    const settings = parseSettings(readText(file), file)._unsafeUnwrap();
    const addresses = await collectAddresses({
      vms: [],
      file: `${DEPLOY}/${name}/operators.jsonc`,
      stdin: process.stdin,
    });
    const {host, port} = settings.operator;
    assert.equal(addresses._unsafeUnwrap().length, 18);
    assert.ok(addresses._unsafeUnwrap().includes(`${host}:${port}`));
  });
}

function formatProbeBudgets(preset: Preset): string {
  const services = [...preset.services.values()];
  return services.map(s => `${s.name} ${s.probeBudgetPerSecond}`).join(', ');
}
