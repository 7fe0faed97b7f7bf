import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, PauseDetector} from './index.js';

test('reports a gap longer than the limit once', () => {
  // Guards against a VM that wakes up and acts on stale state.
  const clock = new ManualClock();
  const detector = new PauseDetector({maxGapMs: 250});
  assert.equal(detector.observeTick(clock.nowMs()), undefined);
  assert.equal(detector.observeTick(clock.advanceMs(50)), undefined);
  const pause = detector.observeTick(clock.advanceMs(900));
  assert.deepEqual(pause, {lastTickMs: 50, resumedMs: 950});
  assert.equal(detector.observeTick(clock.advanceMs(50)), undefined);
});
