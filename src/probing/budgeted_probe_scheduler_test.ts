import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import {BudgetedProbeScheduler, type ProbeCandidate} from './index.js';

const WINDOW_MS = 10_000;
const NO_REPORTS: readonly ProbeCandidate[] = [
  {targetId: 't-1', reportMeasuredMs: undefined},
  {targetId: 't-2', reportMeasuredMs: undefined},
  {targetId: 't-3', reportMeasuredMs: undefined},
];

/** Returns the maximum number of instants in any half-open window of 10 s. */
function maxProbesPerWindow(instantsMs: readonly number[], fromMs = 0): number {
  const sorted = instantsMs.filter(at => at >= fromMs).sort((a, b) => a - b);
  let first = 0;
  let maxCount = 0;
  sorted.forEach((atMs, index) => {
    while (atMs - sorted[first]! >= WINDOW_MS) {
      first += 1;
    }
    maxCount = Math.max(maxCount, index - first + 1);
  });
  return maxCount;
}

interface FleetOptions {
  readonly vmCeiling: number;
  readonly budgets: readonly [number, number];
  readonly seed: number;
}

/**
 * Simulates `vmCeiling` VM slots, each with replacements, jitter and pauses,
 * and returns the instants of all probes.
 */
function simulateFleet({
  vmCeiling,
  budgets,
  seed,
}: FleetOptions): readonly number[] {
  const random = new SeededRandom({seed});
  const probesMs: number[] = [];
  for (let place = 0; place < vmCeiling; place += 1) {
    let nowMs = random.nextFloat() * 5_000;
    while (nowMs < 40_000) {
      const endMs = nowMs + 500 + random.nextFloat() * 20_000;
      const scheduler = new BudgetedProbeScheduler({
        vmId: `e-${place}`,
        startMs: nowMs,
      });
      while (nowMs < endMs) {
        scheduler.setBudget(budgets[nowMs < 20_000 ? 0 : 1], vmCeiling, nowMs);
        if (scheduler.next(NO_REPORTS, nowMs) !== undefined) {
          probesMs.push(nowMs);
        }
        const isPaused = random.nextFloat() < 0.002;
        nowMs += isPaused ? random.nextFloat() * 6_000 : 5 + random.nextInt(20);
      }
    }
  }
  return probesMs;
}

test('the fleet stays within the budget in every window of 10 s', () => {
  // Guards against exceeding the budget (I1) when VMs are replaced, ticks are
  // late, VMs pause or the budget changes.
  const budget = fc.double({min: 0, max: 60, noNaN: true});
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 12}),
      fc.tuple(budget, budget),
      fc.integer(),
      (vmCeiling, budgets, seed) => {
        const probesMs = simulateFleet({vmCeiling, budgets, seed});
        assert.ok(maxProbesPerWindow(probesMs) <= 10 * Math.max(...budgets));
        assert.ok(maxProbesPerWindow(probesMs, 20_000) <= 10 * budgets[1]);
      },
    ),
    {seed: 21, numRuns: 60},
  );
});

test('probes sent exactly when due stay within the budget', () => {
  // Guards against an extra probe due to rounding, for each k up to 700.
  for (let perWindow = 1; perWindow <= 700; perWindow += 1) {
    const scheduler = new BudgetedProbeScheduler({vmId: 'e-1', startMs: 0.1});
    scheduler.setBudget(perWindow / 10 + 1e-9, 1, 0);
    const probesMs: number[] = [];
    let nowMs = 0.1;
    while (nowMs < 25_000) {
      nowMs += WINDOW_MS / perWindow;
      while (scheduler.next(NO_REPORTS, nowMs) === undefined) {
        nowMs += 1e-12 * nowMs;
      }
      probesMs.push(nowMs);
    }
    assert.ok(maxProbesPerWindow(probesMs) <= perWindow, `k = ${perWindow}`);
    assert.ok(probesMs.length >= 2 * perWindow);
  }
});

test('uses the budget and sends no burst after a pause', () => {
  // Guards against a burst after a pause and against an unused budget.
  const scheduler = new BudgetedProbeScheduler({vmId: 'e-1', startMs: 0});
  scheduler.setBudget(20, 1, 0);
  let sent = 0;
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 10) {
    sent += scheduler.next(NO_REPORTS, nowMs) === undefined ? 0 : 1;
  }
  // With ticks of 10 ms, 50 ms plus the rounding margin become 60 ms.
  assert.equal(sent, Math.floor(10_000 / 60));
  assert.notEqual(scheduler.next(NO_REPORTS, 60_000), undefined);
  assert.equal(scheduler.next(NO_REPORTS, 60_010), undefined);
});

test('a target that never answers does not starve the others', () => {
  // Guards against an unreachable target whose information is always the
  // oldest.
  const scheduler = new BudgetedProbeScheduler({vmId: 'e-1', startMs: 0});
  scheduler.setBudget(10, 1, 0);
  const probed = [1_000, 2_000, 3_000].map(nowMs =>
    scheduler.next(NO_REPORTS, nowMs),
  );
  assert.deepEqual(new Set(probed), new Set(['t-1', 't-2', 't-3']));
});

test('each target is probed first by the VMs responsible for it', () => {
  // Guards against targets that no VM probes, and against all VMs probing the
  // same target.
  const vmIds = Array.from({length: 24}, (_, index) => `e-${index}`);
  const candidates = Array.from({length: 20}, (_, index) => ({
    targetId: `t-${index}`,
    reportMeasuredMs: undefined,
  }));
  const probed = new Set<string>();
  for (const vmId of vmIds) {
    const scheduler = new BudgetedProbeScheduler({vmId, startMs: 0});
    scheduler.setLiveVms(vmIds);
    scheduler.setBudget(240, 24, 0);
    for (let nowMs = 200; nowMs <= 2_000; nowMs += 200) {
      probed.add(scheduler.next(candidates, nowMs) ?? '');
    }
  }
  assert.equal(probed.size, 20);
});
