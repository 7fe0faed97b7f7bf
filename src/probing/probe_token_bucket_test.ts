import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ProbeTokenBucket} from './index.js';

test('probes never exceed the rate plus the burst in any time span', () => {
  // Guards against probe traffic that grows with the request rate.
  const stepArbitrary = fc.record({
    gapMs: fc.integer({min: 0, max: 300}),
    count: fc.integer({min: 1, max: 4}),
  });
  fc.assert(
    fc.property(fc.array(stepArbitrary, {maxLength: 200}), steps => {
      const bucket = new ProbeTokenBucket();
      const perSecond = 20;
      const taken: {atMs: number; count: number}[] = [];
      let nowMs = 0;
      for (const {gapMs, count} of steps) {
        nowMs += gapMs;
        if (bucket.tryTake(count, perSecond, nowMs)) {
          taken.push({atMs: nowMs, count});
        }
        for (const spanMs of [1_000, 5_000]) {
          const takenInSpan = taken.filter(({atMs}) => atMs > nowMs - spanMs);
          const total = takenInSpan.reduce((sum, each) => sum + each.count, 0);
          assert.ok(total <= perSecond * (spanMs / 1000 + 1) + 1e-9);
        }
      }
    }),
    {seed: 91},
  );
});
