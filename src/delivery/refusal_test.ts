import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import {buildRefusal, type DeliveryReason} from './index.js';

const REASONS: readonly DeliveryReason[] = [
  'no-routes',
  'no-route',
  'leaving',
  'quarantined',
  'no-target',
  'overloaded',
  'unreachable',
  'refused',
  'lost',
  'timeout',
  'deadline',
];

test('503 is said exactly of what did not run', () => {
  // Guards against a false promise, and against one that is withheld.
  const cause = fc.record({
    reason: fc.constantFrom(...REASONS),
    verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const),
    load: fc.double({min: 0, max: 5, noNaN: true}),
  });
  fc.assert(
    fc.property(cause, each => {
      const outcome = buildRefusal(each, new SeededRandom({seed: 1}));
      assert.ok(outcome.type === 'refusal');
      const isPromise = outcome.status === 503;
      const isOwed = each.verdict === 'not-run' && each.reason !== 'no-route';
      assert.equal(isPromise, isOwed);
      assert.ok(isPromise || outcome.retryAfterSeconds === undefined);
    }),
    {seed: 101},
  );
});

test('callers are asked to wait longer the fuller a service is', () => {
  // Guards against callers that use up their tries within one peak.
  const waitAt = (load: number): number => {
    const cause = {reason: 'overloaded', verdict: 'not-run', load} as const;
    const outcome = buildRefusal(cause, new SeededRandom({seed: 1}));
    return outcome.type === 'refusal' ? (outcome.retryAfterSeconds ?? 0) : 0;
  };
  assert.ok(waitAt(0.5) < 0.13);
  assert.ok(waitAt(1.1) > 2 * waitAt(0.8));
  assert.equal(waitAt(9), waitAt(5));
});
