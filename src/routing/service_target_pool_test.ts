import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import type {
  KindPreset,
  ListedVm,
  RoutingPolicyName,
  ServicePreset,
} from '../preset/index.js';
import {ServiceTargetPool, type AttemptOutcome} from './index.js';

const POLICIES: readonly RoutingPolicyName[] = [
  'estimated-load',
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
];
const OUTCOMES: readonly AttemptOutcome[] = [
  'answered',
  'server-error',
  'refused',
  'unreachable',
  'lost',
  'timed-out',
  'cancelled',
];

const shortKind: KindPreset = {
  name: 'price',
  method: 'GET',
  pathPrefix: '/price',
  idempotent: true,
  urgent: false,
  long: false,
  worth: 1,
  timeoutMs: 500,
};
const longKind: KindPreset = {...shortKind, name: 'batch', long: true};

function presetOf(changes: Partial<ServicePreset> = {}): ServicePreset {
  return {
    name: 'desk',
    slotsPerTarget: 3,
    connectionsPerTarget: 300,
    probeBudgetPerSecond: 200,
    routing: 'estimated-load',
    longLaneShare: 0.5,
    maxEjectedShare: 0.3,
    retryBudgetShare: 0.1,
    queueCapacity: 256,
    slowStartMs: 5_000,
    admission: true,
    kinds: [shortKind, longKind],
    ...changes,
  };
}

function targetsOf(
  count: number,
  state: ListedVm['state'] = 'live',
): readonly ListedVm[] {
  return Array.from({length: count}, (_, index) => ({
    id: `t-${index}`,
    role: 'target',
    service: 'desk',
    host: '127.0.0.1',
    port: 9_000 + index,
    failureDomain: index % 2 === 0 ? 'a' : 'b',
    state,
  }));
}

/** A pool with helpers that fix what a test does not vary. */
class Bench {
  nowMs = 0;
  readonly pool = new ServiceTargetPool({
    service: 'desk',
    failureDomain: 'a',
    vmId: 'e-1',
  });
  private readonly random = new SeededRandom({seed: 7});

  constructor(count: number, changes: Partial<ServicePreset> = {}) {
    this.pool.applyPreset(presetOf(changes), 30);
    this.pool.syncTargets(targetsOf(count), 0);
    this.pool.setLiveVmCount(4);
  }

  choose(kind = shortKind, excludedTargetIds: readonly string[] = []): string {
    const {nowMs, random} = this;
    const choice = this.pool.choose({kind, excludedTargetIds, nowMs, random});
    return choice.type === 'target' ? choice.targetId : choice.type;
  }

  /** Chooses and sends until the answer is not a target. */
  fill(kind = shortKind): {readonly sent: string[]; readonly end: string} {
    const sent: string[] = [];
    for (;;) {
      const targetId = this.choose(kind);
      if (!targetId.startsWith('t-')) {
        return {sent, end: targetId};
      }
      this.pool.onSent(targetId, this.nowMs);
      sent.push(targetId);
    }
  }

  report(targetId: string, inFlight: number, measuredMs = this.nowMs): void {
    this.pool.onReport(
      {targetId, source: 'probe', inFlight, draining: false, measuredMs},
      this.nowMs,
    );
  }

  status(targetId: string): ReturnType<ServiceTargetPool['statuses']>[number] {
    return this.pool
      .statuses(this.nowMs)
      .find(status => status.targetId === targetId)!;
  }
}

const step = fc.record({
  action: fc.constantFrom('send', 'finish', 'report', 'sync', 'drain'),
  pick: fc.nat(9),
  count: fc.nat(40),
  outcome: fc.constantFrom(...OUTCOMES),
  waitMs: fc.nat(300),
});

test('any history keeps counts, shares and drains right', () => {
  // Guards against lost or doubled in-flight counts, requests to draining or
  // removed targets, more than the connection share, and a VM that stops below
  // its guaranteed share.
  fc.assert(
    fc.property(
      fc.array(step, {maxLength: 120}),
      fc.constantFrom(...POLICIES),
      (steps, routing) => {
        const bench = new Bench(8, {routing, connectionsPerTarget: 90});
        const inFlight = new Map<string, number>();
        let listed = targetsOf(8).map(target => target.id);
        const draining = new Set<string>();
        for (const {action, pick, count, outcome, waitMs} of steps) {
          bench.nowMs += waitMs;
          const id = `t-${pick}`;
          const own = inFlight.get(id) ?? 0;
          if (action === 'finish') {
            bench.pool.onFinished(id, outcome, bench.nowMs);
            inFlight.set(id, Math.max(own - 1, 0));
          } else if (action === 'report') {
            bench.report(id, count, bench.nowMs - count * 10);
          } else if (action === 'sync') {
            const kept = targetsOf(count % 10);
            bench.pool.syncTargets(kept, bench.nowMs);
            listed = kept.map(target => target.id);
            draining.forEach(d => listed.includes(d) || draining.delete(d));
          } else if (action === 'drain' && listed.includes(id)) {
            bench.pool.markDraining(id, 'response', bench.nowMs);
            draining.add(id);
          }
          const open = listed.filter(target => !draining.has(target));
          const ownOpen = open.reduce(
            (sum, target) => sum + (inFlight.get(target) ?? 0),
            0,
          );
          const choice = bench.choose();
          if (choice === 'none') {
            assert.equal(open.length, 0);
          } else if (choice === 'full') {
            assert.ok(ownOpen >= Math.ceil((3 * open.length) / 4));
          } else {
            assert.ok(open.includes(choice));
            assert.ok((inFlight.get(choice) ?? 0) < 3);
            bench.pool.onSent(choice, bench.nowMs);
            inFlight.set(choice, (inFlight.get(choice) ?? 0) + 1);
          }
          for (const status of bench.pool.statuses(bench.nowMs)) {
            const expected = inFlight.get(status.targetId) ?? 0;
            assert.equal(status.ownInFlight, expected);
            assert.ok(status.estimatedInFlight >= expected);
          }
        }
      },
    ),
    {seed: 41, numRuns: 300},
  );
});

test('sends up to the guaranteed share while all targets report full', () => {
  // Guards against a VM that starves behind the load of its peers.
  const bench = new Bench(8);
  targetsOf(8).forEach(target => bench.report(target.id, 12));
  const {sent, end} = bench.fill();
  assert.equal(end, 'full');
  assert.equal(sent.length, 6, 'ceil(3 slots x 8 targets / 4 VMs)');
  assert.equal(bench.choose(), 'full');
});

test('uses every idle slot, also outside the sample', () => {
  // Guards against a queue in the VM while targets sit idle.
  const bench = new Bench(8);
  const {sent} = bench.fill();
  assert.equal(sent.length, 24);
  targetsOf(8).forEach(target => {
    assert.equal(sent.filter(id => id === target.id).length, 3);
  });
  bench.pool.onFinished('t-5', 'answered', 0);
  assert.equal(bench.choose(), 't-5');
});

test('reports that stay away expire', () => {
  // Guards against a service that looks full for ever after its last reports.
  const bench = new Bench(8);
  targetsOf(8).forEach(target => bench.report(target.id, 12));
  bench.fill();
  bench.nowMs = 2_001;
  assert.equal(bench.fill().sent.length, 24 - 6);
});

test('only recent evidence holds requests back', () => {
  // Guards against a queue in the VM behind reports that are long outdated.
  const bench = new Bench(8);
  targetsOf(8).forEach(target => bench.report(target.id, 12));
  assert.equal(bench.fill().sent.length, 6);
  bench.nowMs = 50;
  assert.equal(bench.fill().sent.length, 0, 'others count as 6');
  bench.nowMs = 250;
  assert.equal(bench.fill().sent.length, 24 - 6, 'others count as 0.4');
});

test('a fraction of a request does not decide', () => {
  // Guards against VMs that share a report and all choose the same target.
  const bench = new Bench(4);
  ['t-0', 't-2'].forEach(id => bench.report(id, 0));
  ['t-1', 't-3'].forEach(id => bench.report(id, 12));
  bench.nowMs = 120;
  bench.report('t-0', 1);
  bench.nowMs = 300;
  const chosen = new Set(Array.from({length: 50}, () => bench.choose()));
  assert.deepEqual(chosen, new Set(['t-0', 't-2']));
});

test('corrects a late report by what was sent and ended since', () => {
  // Guards against own requests counted twice or not at all.
  const bench = new Bench(1);
  bench.nowMs = 10;
  bench.pool.onSent('t-0', 10);
  bench.nowMs = 20;
  bench.pool.onSent('t-0', 20);
  bench.nowMs = 30;
  bench.report('t-0', 5, 15);
  assert.equal(bench.status('t-0').estimatedInFlight, 6);
  bench.report('t-0', 0, 14);
  assert.equal(bench.status('t-0').estimatedInFlight, 6, 'older report');
  bench.pool.onFinished('t-0', 'answered', 30);
  assert.equal(bench.status('t-0').estimatedInFlight, 5);
});

test('a target that fails fast attracts no load', () => {
  // Guards against a broken target that looks idle and takes most requests.
  // The penalty alone must do, for health may be ignored.
  for (const outcome of ['server-error', 'refused'] as const) {
    const bench = new Bench(10, {maxEjectedShare: 0});
    let failed = 0;
    for (let count = 0; count < 1_000; count += 1) {
      bench.nowMs += 5;
      targetsOf(10).forEach(({id}) => bench.report(id, id === 't-0' ? 0 : 2));
      const targetId = bench.choose();
      bench.pool.onSent(targetId, bench.nowMs);
      const isBroken = targetId === 't-0';
      failed += isBroken ? 1 : 0;
      bench.pool.onFinished(
        targetId,
        isBroken ? outcome : 'answered',
        bench.nowMs,
      );
    }
    assert.ok(failed < 30, `${failed} of 1,000 requests failed: ${outcome}`);
  }
});

test('a target on probation gets one request at a time', () => {
  // Guards against full load on a target that may still be broken.
  const bench = new Bench(8, {routing: 'least-in-flight'});
  for (let count = 0; count < 3; count += 1) {
    bench.pool.onSent('t-0', 0);
    bench.pool.onFinished('t-0', 'server-error', 0);
  }
  assert.ok(!bench.fill().sent.includes('t-0'));
  bench.nowMs = 1_000;
  assert.deepEqual(bench.fill().sent, ['t-0']);
});

test('a failing service with idle targets holds no request back', () => {
  // Guards against a penalty for failures that counts as load.
  const bench = new Bench(8, {maxEjectedShare: 0});
  for (let count = 0; count < 100; count += 1) {
    const targetId = `t-${count % 8}`;
    bench.pool.onSent(targetId, 0);
    bench.pool.onFinished(targetId, 'server-error', 0);
  }
  assert.equal(bench.fill().sent.length, 24);
});

test('misleading reports do not stop the service', () => {
  // Guards against one target's endless load that raises the mean, and
  // against values that are no counts.
  const bench = new Bench(8);
  bench.report('t-0', 1e12);
  assert.ok(bench.status('t-0').estimatedInFlight <= 12);
  [Number.NaN, -5, Number.POSITIVE_INFINITY].forEach(value => {
    bench.report('t-1', value);
    assert.equal(bench.status('t-1').reportMeasuredMs, undefined);
  });
});

test('long kinds stay in their lane; urgent long kinds may go anywhere', () => {
  // Guards against head-of-line blocking of short requests on all targets.
  const used = new Set(new Bench(8).fill(longKind).sent);
  assert.equal(used.size, 4);
  const urgent = {...longKind, urgent: true};
  assert.equal(new Set(new Bench(8).fill(urgent).sent).size, 8);
});

test('a drain by a header holds until the list shows it and ends it', () => {
  // Guards against a lagging list that brings a leaving target back (I5).
  const bench = new Bench(1);
  const report = {targetId: 't-0', source: 'probe', inFlight: 0} as const;
  bench.report('t-0', 1, 10);
  bench.nowMs = 20;
  bench.pool.onReport({...report, draining: true, measuredMs: 5}, 20);
  assert.equal(bench.choose(), 'none');
  bench.pool.onReport({...report, draining: false, measuredMs: 20}, 20);
  bench.pool.syncTargets(targetsOf(1), 21);
  assert.equal(bench.choose(), 'none');
  bench.pool.syncTargets(targetsOf(1, 'leaving'), 22);
  bench.pool.syncTargets(targetsOf(1), 23);
  assert.equal(bench.choose(), 't-0');
});

test('excluded and unknown targets', () => {
  // Guards against a retry at the target that failed, and a crash on a late
  // event for a target that is gone.
  const bench = new Bench(2);
  assert.equal(bench.choose(shortKind, ['t-0']), 't-1');
  assert.equal(bench.choose(shortKind, ['t-0', 't-1']), 'none');
  bench.pool.onFinished('t-9', 'answered', 0);
  bench.pool.onSent('t-9', 0);
  bench.pool.syncTargets(targetsOf(10), 0);
  assert.equal(bench.status('t-9').ownInFlight, 1);
});

test('prefers the own failure domain among equally loaded targets', () => {
  // Guards against needless latency between failure domains when idle.
  const bench = new Bench(3);
  for (let count = 0; count < 20; count += 1) {
    assert.ok(['t-0', 't-2'].includes(bench.choose()));
  }
});
