import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ChartError} from '../charts/index.js';
import type {Verdict} from '../core/index.js';
import {
  Attempt,
  decideRetry,
  MAX_ATTEMPTS,
  MAX_ATTEMPTS_WITH_REFUSALS,
  RetryBudget,
} from './index.js';

const steps: Readonly<Record<string, (attempt: Attempt) => void>> = {
  sent: attempt => attempt.markSent(5),
  complete: attempt => attempt.complete(),
  refuse: attempt => attempt.refuse(),
  failConnection: attempt => attempt.failConnection(),
  lose: attempt => attempt.lose(),
  cancelUnsent: attempt => attempt.cancel({bytesSent: false}),
  cancelSent: attempt => attempt.cancel({bytesSent: true}),
};

test('a sent attempt ends as not-run only if the target refused it', () => {
  // Guards against the verdict `not-run` on a request that ran (I3).
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...Object.keys(steps)), {maxLength: 6}),
      names => {
        const attempt = new Attempt({token: 'a', targetId: 't'});
        attempt.connect();
        const applied = names.filter(name => {
          try {
            steps[name]?.(attempt);
            return true;
          } catch (error) {
            assert.ok(error instanceof ChartError);
            return false;
          }
        });
        const bytesSent = applied.some(
          name => name !== 'failConnection' && name !== 'cancelUnsent',
        );
        const refused = applied.includes('refuse');
        assert.equal(attempt.verdict === 'not-run', !bytesSent || refused);
      },
    ),
    {seed: 11, numRuns: 500},
  );
});

test('a finished attempt rejects further events', () => {
  // Guards against a late signal that changes a final verdict.
  const attempt = new Attempt({token: 'a', targetId: 't'});
  attempt.connect();
  attempt.failConnection();
  assert.equal(attempt.isFinished, true);
  for (const step of Object.values(steps)) {
    assert.throws(() => step(attempt), ChartError);
  }
});

test('retries stay within the share of first attempts plus the minimum', () => {
  // Guards against retries that multiply the load on failing targets.
  fc.assert(
    fc.property(
      fc.array(fc.record({first: fc.boolean(), stepMs: fc.nat(50)})),
      fc.double({min: 0.01, max: 1, noNaN: true}),
      (inputs, share) => {
        const budget = new RetryBudget({share, startMs: 0});
        let nowMs = 0;
        let firsts = 0;
        let retries = 0;
        for (const input of inputs) {
          nowMs += input.stepMs;
          if (input.first) {
            firsts += 1;
            budget.onFirstAttempt();
          } else if (budget.tryTake(nowMs)) {
            retries += 1;
          }
        }
        assert.ok(retries <= 10 + share * firsts + nowMs / 1000 + 1e-6);
      },
    ),
    {seed: 12},
  );
});

test('a share of zero disables retries', () => {
  // Guards against retries under a preset that disables them.
  const budget = new RetryBudget({share: 0, startMs: 0});
  assert.equal(budget.tryTake(0), false);
});

test('retries depend on idempotence, verdicts, deadline, implication', () => {
  // Guards against a second run of a non-idempotent request (I4), and against
  // an unbounded number of attempts.
  const verdict = fc.oneof(
    {weight: 4, arbitrary: fc.constant<Verdict>('not-run')},
    {weight: 1, arbitrary: fc.constantFrom<Verdict>('ran', 'may-have-run')},
  );
  fc.assert(
    fc.property(
      fc.record({
        idempotent: fc.boolean(),
        verdicts: fc.array(verdict, {minLength: 1, maxLength: 10}),
        responseStarted: fc.boolean(),
        implicated: fc.boolean(),
        deadlineMs: fc.nat(10),
        nowMs: fc.nat(10),
      }),
      context => {
        const mayHaveRun = context.verdicts.filter(
          value => value !== 'not-run',
        );
        const allowed =
          !context.responseStarted &&
          !context.implicated &&
          context.nowMs < context.deadlineMs &&
          mayHaveRun.length < MAX_ATTEMPTS &&
          context.verdicts.length < MAX_ATTEMPTS_WITH_REFUSALS &&
          (context.idempotent ||
            context.verdicts.every(value => value === 'not-run'));
        assert.equal(decideRetry(context).type === 'retry', allowed);
      },
    ),
    {seed: 13, numRuns: 500},
  );
});

test('a retry takes its cost and keeps the reserve', () => {
  // Guards against retries of refused requests that exhaust the budget for
  // failures, that no budget bounds, or that use the reserve of other kinds.
  // All amounts are multiples of 1/8, so sums are exact.
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(0.25, 1), {maxLength: 200}),
      fc.integer({min: 0, max: 100}),
      fc.integer({min: 0, max: 20}),
      (costs, firstAttempts, reserve) => {
        const budget = new RetryBudget({share: 0.125, startMs: 0});
        for (let count = 0; count < firstAttempts; count += 1) {
          budget.onFirstAttempt();
        }
        const before = budget.remaining;
        let spent = 0;
        for (const cost of costs) {
          const isAllowed = budget.tryTake(0, {cost, reserve});
          assert.equal(isAllowed, cost + reserve <= before - spent);
          spent += isAllowed ? cost : 0;
        }
        assert.ok(spent <= Math.max(0, before - reserve));
      },
    ),
    {seed: 28, numRuns: 300},
  );
});
