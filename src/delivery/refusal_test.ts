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

test('the status is 503 exactly if a routed request did not run', () => {
  // Guards against a false promise that a request did not run, and against
  // withholding a true one.
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

test('the retry delay grows with the load of the service, up to a limit', () => {
  // Guards against callers that use up their retries within one peak.
  const retryAfterAt = (load: number): number => {
    const cause = {reason: 'overloaded', verdict: 'not-run', load} as const;
    const outcome = buildRefusal(cause, new SeededRandom({seed: 1}));
    return outcome.type === 'refusal' ? (outcome.retryAfterSeconds ?? 0) : 0;
  };
  assert.ok(retryAfterAt(0.5) < 0.13);
  assert.ok(retryAfterAt(1.1) > 2 * retryAfterAt(0.8));
  assert.equal(retryAfterAt(9), retryAfterAt(5));
});
