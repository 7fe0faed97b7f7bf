import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, PauseDetector} from './index.js';

test('a gap above the limit is reported exactly once', () => {
  // Guards against a VM that resumes after a freeze and acts on stale state.
  const clock = new ManualClock();
  const detector = new PauseDetector({maxGapMs: 250});
  assert.equal(detector.observeTick(clock.nowMs()), undefined);
  assert.equal(detector.observeTick(clock.advanceMs(50)), undefined);
  const pause = detector.observeTick(clock.advanceMs(900));
  assert.deepEqual(pause, {lastTickMs: 50, resumedMs: 950});
  assert.equal(detector.observeTick(clock.advanceMs(50)), undefined);
});
