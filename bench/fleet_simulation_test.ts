import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FleetFigures} from './fleet_figures.js';
import {DEPLOYMENTS, loadPreset, type Scenario} from './fleet_scenario.js';
import {simulateFleet} from './fleet_simulation.js';

function scenario(seed: number, fields: Partial<Scenario> = {}): Scenario {
  const deployment = DEPLOYMENTS[seed % DEPLOYMENTS.length]!;
  return {
    deployment,
    preset: loadPreset(deployment, 'lunch'),
    seed,
    warmUpMs: 2_500,
    endMs: 4_500,
    loadAt: () => 0.6,
    longFactor: 20,
    maxCopies: 3,
    targetQueueLimit: 0,
    sharesReports: true,
    reportsOnResponses: true,
    quarantines: true,
    incidents: [],
    ...fields,
  };
}

function summarize(figures: FleetFigures): unknown {
  const kinds = [...figures.kinds].map(([name, kind]) => [
    name,
    kind.offered,
    kind.inTime,
    kind.latency.mean,
  ]);
  return [kinds, figures.sends, figures.retries, figures.probedMs.length];
}

test('the fleet simulation yields the same figures for the same seed', () => {
  // Guards against tables that depend on the machine or on hidden state.
  const first = summarize(simulateFleet(scenario(7)));
  assert.deepEqual(summarize(simulateFleet(scenario(7))), first);
  assert.notDeepEqual(summarize(simulateFleet(scenario(9))), first);
});

test('loses no request and runs none twice under faults', () => {
  // Guards against requests lost by the simulation, and against engines that
  // run a non-idempotent request twice or wrongly report `not-run`.
  for (const seed of [1, 2]) {
    const figures = simulateFleet(
      scenario(seed, {
        loadAt: () => 1.3,
        incidents: [
          {type: 'poison', atMs: 2_700},
          {type: 'replace-vm', atMs: 3_000, vm: 3},
          {type: 'split', atMs: 3_200, untilMs: 4_000},
          {type: 'drain', atMs: 3_500, target: 2},
        ],
      }),
    );
    for (const {offered, inTime, latency} of figures.kinds.values()) {
      assert.ok(latency.totalCount <= offered);
      // Long kinds and resent copies may outlast the run.
      assert.ok(latency.totalCount >= offered * 0.97);
      assert.ok(inTime > 0);
    }
    assert.ok(figures.crashes > 0);
    assert.equal(figures.doubleRuns, 0);
    assert.equal(figures.notRunThatRan, 0);
  }
});
