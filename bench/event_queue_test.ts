import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventQueue} from './event_queue.js';

test('runs events by instant, then in insertion order', () => {
  // Guards against simulations that process an effect before its cause.
  fc.assert(
    fc.property(fc.array(fc.nat(20)), instants => {
      const queue = new EventQueue();
      const ran: {atMs: number; order: number}[] = [];
      instants.forEach((atMs, order) =>
        queue.add(atMs, () => ran.push({atMs, order})),
      );
      queue.runUntil(20);
      const sorted = instants
        .map((atMs, order) => ({atMs, order}))
        .sort((a, b) => a.atMs - b.atMs || a.order - b.order);
      assert.deepEqual(ran, sorted);
    }),
    {seed: 51},
  );
});
