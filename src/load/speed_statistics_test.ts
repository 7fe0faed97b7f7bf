import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SpeedStatistics} from './speed_statistics.js';

test('share and slowness of slow targets follow the reports', () => {
  // Guards against estimates that stay at their initial values.
  const speeds = new SpeedStatistics();
  for (let index = 0; index < 3_000; index += 1) {
    speeds.observe(index % 4 === 0 ? 9 : 1.2);
  }
  assert.ok(Math.abs(speeds.slowShare - 0.25) < 0.03, `${speeds.slowShare}`);
  assert.ok(Math.abs(speeds.slowFactor - 9) < 0.2, `${speeds.slowFactor}`);
});

test('the share of slow targets approaches 0 if none is slow', () => {
  // Guards against needless probes where the speed of all targets is steady.
  const speeds = new SpeedStatistics();
  for (let index = 0; index < 1_000; index += 1) {
    speeds.observe(1);
  }
  assert.ok(speeds.slowShare < 0.001, `${speeds.slowShare}`);
});
