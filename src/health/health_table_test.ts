import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {DrainFlags, HealthTable, type HealthEvent} from './index.js';

const TARGET_IDS = Array.from({length: 10}, (_, index) => `t-${index}`);
const EVENTS: readonly HealthEvent[] = [
  'success',
  'failure',
  'refusal',
  'silence',
];

function tableOf(maxEjectedShare: number): HealthTable {
  const table = new HealthTable({maxEjectedShare, slowStartMs: 5_000});
  TARGET_IDS.forEach(id => table.add(id, 0, {cold: false}));
  return table;
}

/** Records failures until the target leaves the state, three at most. */
function fail(table: HealthTable, targetId: string, nowMs: number): void {
  for (let count = 0; count < 3; count += 1) {
    table.record(targetId, 'failure', nowMs);
  }
}

test('never excludes more than the permitted share', () => {
  // Guards against ejections that leave too few targets for the load.
  const step = fc.record({
    pick: fc.nat(9),
    event: fc.constantFrom(...EVENTS),
    repeat: fc.integer({min: 1, max: 12}),
    waitMs: fc.nat(3_000),
  });
  fc.assert(
    fc.property(
      fc.array(step, {maxLength: 60}),
      fc.double({min: 0, max: 1, noNaN: true}),
      (steps, share) => {
        const table = tableOf(share);
        let nowMs = 0;
        for (const {pick, event, repeat, waitMs} of steps) {
          nowMs += waitMs;
          for (let count = 0; count < repeat; count += 1) {
            table.record(TARGET_IDS[pick]!, event, nowMs);
          }
          const ejected = table.ejectedAmong(TARGET_IDS, nowMs);
          assert.ok(ejected.size <= share * TARGET_IDS.length);
        }
      },
    ),
    {seed: 31},
  );
});

test('ignores health when too many targets look bad', () => {
  // Guards against a fault of this VM's network that ejects good targets.
  const table = tableOf(0.3);
  TARGET_IDS.slice(0, 3).forEach(id => fail(table, id, 0));
  assert.equal(table.ejectedAmong(TARGET_IDS, 0).size, 3);
  fail(table, 't-3', 0);
  assert.equal(table.ejectedAmong(TARGET_IDS, 0).size, 0);
});

test('ejects for longer each time, up to the cap', () => {
  // Guards against a broken target that is tried again and again at one rate.
  const table = tableOf(0.3);
  let nowMs = 0;
  fail(table, 't-0', nowMs);
  for (const expectedMs of [1, 2, 4, 8, 16, 30, 30].map(s => s * 1_000)) {
    assert.equal(
      table.ejectedAmong(TARGET_IDS, nowMs + expectedMs - 1).size,
      1,
    );
    nowMs += expectedMs;
    assert.equal(table.ejectedAmong(TARGET_IDS, nowMs).size, 0);
    assert.equal(table.stateOf('t-0'), 'probation');
    table.record('t-0', 'failure', nowMs);
    assert.equal(table.stateOf('t-0'), 'ejected');
  }
});

test('a returned or new target takes load slowly', () => {
  // Guards against full load on a cold target.
  const table = tableOf(0.3);
  fail(table, 't-0', 0);
  table.ejectedAmong(TARGET_IDS, 1_000);
  assert.equal(table.slowStartFactor('t-0', 1_000), 0.1);
  for (let count = 0; count < 3; count += 1) {
    table.record('t-0', 'success', 2_000);
  }
  assert.equal(table.stateOf('t-0'), 'healthy');
  assert.equal(table.slowStartFactor('t-0', 2_000), 0.1);
  assert.equal(table.slowStartFactor('t-0', 4_500), 0.55);
  assert.equal(table.slowStartFactor('t-0', 7_000), 1);
  table.add('t-new', 7_000, {cold: true});
  assert.equal(table.slowStartFactor('t-new', 7_000), 0.1);
  assert.equal(table.slowStartFactor('t-1', 0), 1);
});

test('failures right after a pause of this VM do not count', () => {
  // Guards against ejections for deadlines that passed during the pause.
  const table = tableOf(0.3);
  table.onPause(10_000);
  TARGET_IDS.forEach(id => table.record(id, 'silence', 10_000));
  fail(table, 't-0', 10_500);
  assert.equal(table.stateOf('t-0'), 'healthy');
  fail(table, 't-0', 11_000);
  assert.equal(table.stateOf('t-0'), 'ejected');
});

test('the earliest drain signal wins and no stale sign clears it', () => {
  // Guards against a draining target that gets requests again (I5).
  const flags = new DrainFlags();
  assert.equal(flags.mark('t-0', 'response', 5, 5), true);
  assert.equal(flags.mark('t-0', 'peer', 9, 9), false);
  assert.deepEqual(
    {...flags.recordOf('t-0'), shownByList: undefined},
    {
      signal: 'response',
      sinceMs: 5,
      shownByList: undefined,
    },
  );
  assert.equal(flags.onListedLive('t-0', 10), false, 'list from before');
  flags.mark('t-0', 'vm-list', 20, 20);
  assert.equal(flags.onListedLive('t-0', 30), true, 'drain was called off');
  assert.equal(flags.isDraining('t-0'), false);
});

test('a drain that a list called off does not return by stale signs', () => {
  // Guards against VMs that keep each other's drain flag set for ever.
  const flags = new DrainFlags();
  flags.mark('t-0', 'vm-list', 0, 0);
  flags.onListedLive('t-0', 100);
  assert.equal(flags.mark('t-0', 'peer', 200, 200), false);
  assert.equal(flags.mark('t-0', 'probe', 90, 200), false);
  assert.equal(flags.mark('t-0', 'response', 201, 201), true);
});
