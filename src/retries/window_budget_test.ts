import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {WindowBudget} from './index.js';

const LIMIT = {ratio: 0.2, allowance: 75, windowMs: 10_000};

test('the resends of all VMs stay within the limit in any window', () => {
  // Guards against resends that multiply an overload.
  const step = fc.record({
    vm: fc.nat(5),
    gapMs: fc.integer({min: 0, max: 400}),
    isResend: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 400}), steps => {
      const fleetSize = 6;
      const budgets = Array.from(
        {length: fleetSize},
        () => new WindowBudget(LIMIT),
      );
      const requests: number[] = [];
      const resends: number[] = [];
      let nowMs = 0;
      for (const {vm, gapMs, isResend} of steps) {
        nowMs += gapMs;
        if (!isResend) {
          budgets[vm]?.onRequest(nowMs);
          requests.push(nowMs);
        } else if (budgets[vm]?.tryTake({fleetSize, reserve: 0}, nowMs)) {
          resends.push(nowMs);
        }
        const inWindow = (atMs: number): boolean =>
          atMs > nowMs - LIMIT.windowMs;
        const allowed =
          requests.filter(inWindow).length * LIMIT.ratio + LIMIT.allowance;
        assert.ok(resends.filter(inWindow).length <= allowed);
      }
    }),
    {seed: 31},
  );
});

test('a reserve keeps resends for more important causes', () => {
  // Guards against hedged sends that exhaust the budget of refused requests.
  const budget = new WindowBudget({ratio: 0, allowance: 12.5, windowMs: 1000});
  const taken = (reserve: number): number => {
    let count = 0;
    while (budget.tryTake({fleetSize: 1, reserve}, 0)) {
      count += 1;
    }
    return count;
  };
  assert.equal(taken(0.5), 5);
  assert.equal(taken(0), 5);
  assert.ok(budget.remaining(1, 0) < 1);
});
