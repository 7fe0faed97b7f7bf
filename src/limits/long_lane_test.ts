import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {longLaneTargets} from './long_lane.js';

const targetIds = fc.uniqueArray(fc.string({minLength: 1}), {maxLength: 40});
const share = fc.double({min: 0, max: 1, noNaN: true});

test('VMs agree on the lane, and its size follows the share', () => {
  // Guards against long requests on every target, and against an empty lane.
  fc.assert(
    fc.property(targetIds, share, (ids, laneShare) => {
      const lane = longLaneTargets({
        service: 'desk',
        targetIds: ids,
        share: laneShare,
      });
      const reversed = longLaneTargets({
        service: 'desk',
        targetIds: [...ids].reverse(),
        share: laneShare,
      });
      assert.deepEqual(lane, reversed);
      assert.ok(Math.abs(lane.length - laneShare * ids.length) <= 1);
      assert.ok(laneShare === 0 || ids.length === 0 || lane.length >= 1);
      assert.ok(laneShare === 1 || ids.length < 2 || lane.length < ids.length);
    }),
    {seed: 11},
  );
});

test('the removal of a target replaces at most one target of the lane', () => {
  // Guards against long requests that all move to other targets at once.
  fc.assert(
    fc.property(targetIds, share, fc.nat(), (ids, laneShare, pick) => {
      fc.pre(ids.length > 0);
      const before = longLaneTargets({
        service: 'desk',
        targetIds: ids,
        share: laneShare,
      });
      const after = longLaneTargets({
        service: 'desk',
        targetIds: ids.filter((_, index) => index !== pick % ids.length),
        share: laneShare,
      });
      assert.ok(after.filter(id => !before.includes(id)).length <= 1);
    }),
    {seed: 12},
  );
});
