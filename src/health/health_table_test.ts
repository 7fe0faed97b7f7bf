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

function createTable(maxEjectedShare: number): HealthTable {
  const table = new HealthTable({maxEjectedShare, slowStartMs: 5_000});
  TARGET_IDS.forEach(id => table.add(id, 0, {cold: false}));
  return table;
}

/** Records three failures, enough to eject a healthy target. */
function recordFailures(
  table: HealthTable,
  targetId: string,
  nowMs: number,
): void {
  for (let count = 0; count < 3; count += 1) {
    table.record(targetId, 'failure', nowMs);
  }
}

test('never ejects more than the permitted share', () => {
  // Guards against ejecting so many targets that the rest cannot carry the
  // load.
  const stepArbitrary = fc.record({
    pick: fc.nat(9),
    event: fc.constantFrom(...EVENTS),
    repeat: fc.integer({min: 1, max: 12}),
    waitMs: fc.nat(3_000),
  });
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {maxLength: 60}),
      fc.double({min: 0, max: 1, noNaN: true}),
      (steps, share) => {
        const table = createTable(share);
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

test('ignores health when too many targets are unhealthy', () => {
  // Guards against ejecting good targets because of a fault of this VM's
  // network.
  const table = createTable(0.3);
  TARGET_IDS.slice(0, 3).forEach(id => recordFailures(table, id, 0));
  assert.equal(table.ejectedAmong(TARGET_IDS, 0).size, 3);
  recordFailures(table, 't-3', 0);
  assert.equal(table.ejectedAmong(TARGET_IDS, 0).size, 0);
});

test('doubles the ejection time up to the maximum', () => {
  // Guards against retrying a broken target at a constant rate.
  const table = createTable(0.3);
  let nowMs = 0;
  recordFailures(table, 't-0', nowMs);
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

test('the load of a recovered or new target ramps up', () => {
  // Guards against sending full load to a cold target.
  const table = createTable(0.3);
  recordFailures(table, 't-0', 0);
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

test('ignores failures right after a pause of this VM', () => {
  // Guards against ejections because of deadlines that expired during the
  // pause.
  const table = createTable(0.3);
  table.onPause(10_000);
  TARGET_IDS.forEach(id => table.record(id, 'silence', 10_000));
  recordFailures(table, 't-0', 10_500);
  assert.equal(table.stateOf('t-0'), 'healthy');
  recordFailures(table, 't-0', 11_000);
  assert.equal(table.stateOf('t-0'), 'ejected');
});

test('the first drain signal wins and stale evidence does not clear it', () => {
  // Guards against sending requests to a draining target again (I5).
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
  assert.equal(
    flags.onListedLive('t-0', 10),
    false,
    'list that predates the drain',
  );
  flags.mark('t-0', 'vm-list', 20, 20);
  assert.equal(flags.onListedLive('t-0', 30), true, 'drain was cancelled');
  assert.equal(flags.isDraining('t-0'), false);
});

test('stale signals do not restore a drain that a list ended', () => {
  // Guards against VMs that keep setting each other's drain flags forever.
  const flags = new DrainFlags();
  flags.mark('t-0', 'vm-list', 0, 0);
  flags.onListedLive('t-0', 100);
  assert.equal(flags.mark('t-0', 'peer', 200, 200), false);
  assert.equal(flags.mark('t-0', 'probe', 90, 200), false);
  assert.equal(flags.mark('t-0', 'response', 201, 201), true);
});
