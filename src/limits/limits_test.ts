import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  chooseRejected,
  connectionShare,
  type QueuedRequest,
  RequestQueue,
  ServiceTimeEstimator,
  STARVATION_INTERVAL,
} from './index.js';

const queued: fc.Arbitrary<QueuedRequest> = fc.record({
  urgent: fc.boolean(),
  worth: fc.integer({min: 0, max: 5}),
  deadlineMs: fc.integer({min: 1, max: 1000}),
  queuedMs: fc.constant(0),
  estimatedMs: fc.integer({min: 0, max: 100}),
});

test('queue order is urgent, worth, deadline, arrival', () => {
  // Guards against short urgent requests that wait behind others.
  fc.assert(
    fc.property(fc.array(queued), items => {
      const queue = new RequestQueue<QueuedRequest>();
      items.forEach(item => queue.add(item));
      const expected = [...items].sort(
        (a, b) =>
          Number(b.urgent) - Number(a.urgent) ||
          b.worth - a.worth ||
          a.deadlineMs - b.deadlineMs,
      );
      const taken = expected.map(() => {
        const next = queue.select(0)!;
        queue.take(next, 0);
        return next;
      });
      assert.deepEqual(taken, expected);
      assert.equal(queue.size, 0);
    }),
    {seed: 21},
  );
});

test('at least one of eight dispatches serves a starving request', () => {
  // Guards against requests of low worth that never leave the queue.
  fc.assert(
    fc.property(
      fc.array(queued, {minLength: 1, maxLength: 60}),
      fc.integer({min: 0, max: 600}),
      (items, nowMs) => {
        const queue = new RequestQueue<QueuedRequest>();
        items.forEach(item => queue.add(item));
        const starves = (item: QueuedRequest) => nowMs > item.deadlineMs / 2;
        let withoutStarving = 0;
        while (queue.size > 0) {
          const anyStarves = queue.waiting.some(starves);
          const next = queue.select(nowMs)!;
          queue.take(next, nowMs);
          withoutStarving =
            anyStarves && !starves(next) ? withoutStarving + 1 : 0;
          assert.ok(withoutStarving < STARVATION_INTERVAL);
        }
      },
    ),
    {seed: 22, numRuns: 300},
  );
});

test('admission keeps to capacity and deadlines and rejects the lowest worth', () => {
  // Guards against a full queue in which every request times out.
  fc.assert(
    fc.property(
      fc.array(queued, {maxLength: 40}),
      fc.integer({min: 1, max: 6}),
      fc.integer({min: 1, max: 30}),
      (items, concurrency, capacity) => {
        const queue = new RequestQueue<QueuedRequest>();
        items.forEach(item => queue.add(item));
        const options = {nowMs: 0, concurrency, capacity, byDeadline: true};
        const rejected = new Set(chooseRejected(queue.waiting, options));
        const kept = queue.waiting.filter(item => !rejected.has(item));
        assert.ok(kept.length <= capacity);
        let aheadMs = 0;
        for (const item of kept) {
          const startMs = (aheadMs + item.estimatedMs / 2) / concurrency;
          assert.ok(startMs + item.estimatedMs <= item.deadlineMs);
          aheadMs += item.estimatedMs;
        }
        const byCapacity = chooseRejected(queue.waiting, {
          ...options,
          byDeadline: false,
        });
        const lowestKept = Math.min(
          ...items.filter(i => !byCapacity.includes(i)).map(i => i.worth),
        );
        assert.ok(byCapacity.every(item => item.worth <= lowestKept));
      },
    ),
    {seed: 23, numRuns: 300},
  );
});

test('a few long requests hardly move the median', () => {
  // Guards against one long placement that makes admission reject the rest.
  const estimator = new ServiceTimeEstimator();
  for (let index = 0; index < 400; index += 1) {
    estimator.observe(index % 20 === 0 ? 500 : 10, index);
  }
  assert.ok(estimator.medianMs(400) > 7 && estimator.medianMs(400) < 13);
  assert.ok(estimator.p99Ms > 100);
});

test('the estimate follows a lasting change and decays without observations', () => {
  // Guards against an estimate that makes admission reject all requests, after
  // which no observation ever lowers it.
  const estimator = new ServiceTimeEstimator();
  assert.equal(estimator.medianMs(0), 0);
  for (let index = 0; index < 100; index += 1) {
    estimator.observe(10, 0);
  }
  for (let index = 0; index < 100; index += 1) {
    estimator.observeUnfinished(100, 0);
    estimator.observeUnfinished(1, 0);
  }
  const raisedMs = estimator.medianMs(0);
  assert.ok(raisedMs > 80 && raisedMs < 120);
  assert.ok(estimator.medianMs(10_000) < 1);
});

test('connections of all VMs stay within the limit of a target', () => {
  // Guards against a partitioned fleet that exhausts the connections of
  // targets.
  assert.equal(connectionShare(280, 30), 9);
  assert.equal(connectionShare(350, 30), 11);
  assert.equal(connectionShare(3, 30), 1);
});

test('admission rejects the same requests as a repeated search', () => {
  // Guards against a single pass that deviates from the rule: reject the lowest
  // worth up to the first late request, then search again from the start.
  const reference = (
    waiting: readonly QueuedRequest[],
    concurrency: number,
    capacity: number,
  ): readonly QueuedRequest[] => {
    const kept = [...waiting];
    const rejected: QueuedRequest[] = [];
    const dropLowest = (count: number): void => {
      const worths = kept.slice(0, count).map(item => item.worth);
      const lowest = worths.lastIndexOf(Math.min(...worths));
      rejected.push(...kept.splice(lowest, 1));
    };
    while (kept.length > capacity) {
      dropLowest(kept.length);
    }
    const firstLate = (): number =>
      kept.findIndex((item, index) => {
        const ahead = kept.slice(0, index);
        const workMs = ahead.reduce(
          (sum, {estimatedMs}) => sum + estimatedMs,
          0,
        );
        const waitMs = (workMs + item.estimatedMs / 2) / concurrency;
        return waitMs + item.estimatedMs > item.deadlineMs;
      });
    for (let late = firstLate(); late >= 0; late = firstLate()) {
      dropLowest(late + 1);
    }
    return rejected;
  };
  fc.assert(
    fc.property(
      fc.array(queued, {maxLength: 40}),
      fc.integer({min: 1, max: 6}),
      fc.integer({min: 1, max: 30}),
      (items, concurrency, capacity) => {
        const queue = new RequestQueue<QueuedRequest>();
        items.forEach(item => queue.add(item));
        const options = {nowMs: 0, concurrency, capacity, byDeadline: true};
        assert.deepEqual(
          chooseRejected(queue.waiting, options),
          reference(queue.waiting, concurrency, capacity),
        );
      },
    ),
    {seed: 27, numRuns: 500},
  );
});
