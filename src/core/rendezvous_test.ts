import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {rendezvousRank} from './index.js';

const nodeIds = fc.uniqueArray(fc.string({minLength: 1}), {
  minLength: 1,
  maxLength: 30,
});

test('the ranking does not depend on the order of the nodes', () => {
  // Guards against VMs that assign the same key to different home VMs.
  fc.assert(
    fc.property(fc.string(), nodeIds, (key, ids) => {
      assert.deepEqual(
        rendezvousRank(key, ids),
        rendezvousRank(key, [...ids].reverse()),
      );
    }),
    {seed: 1},
  );
});

test('removing a node does not reorder the others', () => {
  // Guards against keys whose home VM changes when an unrelated VM leaves.
  fc.assert(
    fc.property(fc.string(), nodeIds, fc.nat(), (key, ids, index) => {
      const removed = ids[index % ids.length];
      const before = rendezvousRank(key, ids).filter(id => id !== removed);
      const after = rendezvousRank(
        key,
        ids.filter(id => id !== removed),
      );
      assert.deepEqual(after, before);
    }),
    {seed: 2},
  );
});
