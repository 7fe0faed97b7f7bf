import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ProbeAllowance} from './index.js';

test('no span of time has more probes than its allowance', () => {
  // Guards against a cost of measuring that grows with the load.
  const step = fc.record({
    gapMs: fc.integer({min: 0, max: 300}),
    count: fc.integer({min: 1, max: 4}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 200}), steps => {
      const allowance = new ProbeAllowance();
      const perSecond = 20;
      const taken: {atMs: number; count: number}[] = [];
      let nowMs = 0;
      for (const {gapMs, count} of steps) {
        nowMs += gapMs;
        if (allowance.tryTake(count, perSecond, nowMs)) {
          taken.push({atMs: nowMs, count});
        }
        for (const spanMs of [1_000, 5_000]) {
          const inSpan = taken.filter(({atMs}) => atMs > nowMs - spanMs);
          const total = inSpan.reduce((sum, each) => sum + each.count, 0);
          assert.ok(total <= perSecond * (spanMs / 1000 + 1) + 1e-9);
        }
      }
    }),
    {seed: 91},
  );
});
