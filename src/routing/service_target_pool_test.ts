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

/** Pool with default arguments for the parameters that a test does not vary. */
class PoolFixture {
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

  /** Chooses and sends until `choose` returns no target. */
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

const stepArbitrary = fc.record({
  action: fc.constantFrom('send', 'finish', 'report', 'sync', 'drain'),
  pick: fc.nat(9),
  count: fc.nat(40),
  outcome: fc.constantFrom(...OUTCOMES),
  waitMs: fc.nat(300),
});

test('counts, shares and drains hold for any sequence of events', () => {
  // Guards against lost or double-counted attempts in flight, requests to
  // draining or removed targets, exceeding the connection share, and `full`
  // below the guaranteed share.
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {maxLength: 120}),
      fc.constantFrom(...POLICIES),
      (steps, routing) => {
        const fixture = new PoolFixture(8, {routing, connectionsPerTarget: 90});
        const inFlight = new Map<string, number>();
        let listed = targetsOf(8).map(target => target.id);
        const draining = new Set<string>();
        for (const {action, pick, count, outcome, waitMs} of steps) {
          fixture.nowMs += waitMs;
          const id = `t-${pick}`;
          const own = inFlight.get(id) ?? 0;
          if (action === 'finish') {
            fixture.pool.onFinished(id, outcome, fixture.nowMs);
            inFlight.set(id, Math.max(own - 1, 0));
          } else if (action === 'report') {
            fixture.report(id, count, fixture.nowMs - count * 10);
          } else if (action === 'sync') {
            const kept = targetsOf(count % 10);
            fixture.pool.syncTargets(kept, fixture.nowMs);
            listed = kept.map(target => target.id);
            draining.forEach(d => listed.includes(d) || draining.delete(d));
          } else if (action === 'drain' && listed.includes(id)) {
            fixture.pool.markDraining(id, 'response', fixture.nowMs);
            draining.add(id);
          }
          const open = listed.filter(target => !draining.has(target));
          const ownOpen = open.reduce(
            (sum, target) => sum + (inFlight.get(target) ?? 0),
            0,
          );
          const choice = fixture.choose();
          if (choice === 'none') {
            assert.equal(open.length, 0);
          } else if (choice === 'full') {
            assert.ok(ownOpen >= Math.ceil((3 * open.length) / 4));
          } else {
            assert.ok(open.includes(choice));
            assert.ok((inFlight.get(choice) ?? 0) < 3);
            fixture.pool.onSent(choice, fixture.nowMs);
            inFlight.set(choice, (inFlight.get(choice) ?? 0) + 1);
          }
          for (const status of fixture.pool.statuses(fixture.nowMs)) {
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
  // Guards against a VM that is starved by the load of its peers.
  const fixture = new PoolFixture(8);
  targetsOf(8).forEach(target => fixture.report(target.id, 12));
  const {sent, end} = fixture.fill();
  assert.equal(end, 'full');
  assert.equal(sent.length, 6, 'ceil(3 slots x 8 targets / 4 VMs)');
  assert.equal(fixture.choose(), 'full');
});

test('uses every idle slot, including those outside the sample', () => {
  // Guards against requests queuing in the VM while targets are idle.
  const fixture = new PoolFixture(8);
  const {sent} = fixture.fill();
  assert.equal(sent.length, 24);
  targetsOf(8).forEach(target => {
    assert.equal(sent.filter(id => id === target.id).length, 3);
  });
  fixture.pool.onFinished('t-5', 'answered', 0);
  assert.equal(fixture.choose(), 't-5');
});

test('a report expires when no newer one arrives', () => {
  // Guards against a service that counts as full forever after its last
  // reports.
  const fixture = new PoolFixture(8);
  targetsOf(8).forEach(target => fixture.report(target.id, 12));
  fixture.fill();
  fixture.nowMs = 2_001;
  assert.equal(fixture.fill().sent.length, 24 - 6);
});

test('only recent reports make requests wait', () => {
  // Guards against requests queuing in the VM because of outdated reports.
  const fixture = new PoolFixture(8);
  targetsOf(8).forEach(target => fixture.report(target.id, 12));
  assert.equal(fixture.fill().sent.length, 6);
  fixture.nowMs = 50;
  assert.equal(fixture.fill().sent.length, 0, 'others count as 6');
  fixture.nowMs = 250;
  assert.equal(fixture.fill().sent.length, 24 - 6, 'others count as 0.4');
});

test('a difference of less than one request counts as a tie', () => {
  // Guards against VMs that share a report all choosing the same target.
  const fixture = new PoolFixture(4);
  ['t-0', 't-2'].forEach(id => fixture.report(id, 0));
  ['t-1', 't-3'].forEach(id => fixture.report(id, 12));
  fixture.nowMs = 120;
  fixture.report('t-0', 1);
  fixture.nowMs = 300;
  const chosen = new Set(Array.from({length: 50}, () => fixture.choose()));
  assert.deepEqual(chosen, new Set(['t-0', 't-2']));
});

test('adjusts a late report by attempts sent and ended since then', () => {
  // Guards against counting this VM's requests twice or not at all.
  const fixture = new PoolFixture(1);
  fixture.nowMs = 10;
  fixture.pool.onSent('t-0', 10);
  fixture.nowMs = 20;
  fixture.pool.onSent('t-0', 20);
  fixture.nowMs = 30;
  fixture.report('t-0', 5, 15);
  assert.equal(fixture.status('t-0').estimatedInFlight, 6);
  fixture.report('t-0', 0, 14);
  assert.equal(fixture.status('t-0').estimatedInFlight, 6, 'older report');
  fixture.pool.onFinished('t-0', 'answered', 30);
  assert.equal(fixture.status('t-0').estimatedInFlight, 5);
});

test('a target that fails fast does not attract load', () => {
  // Guards against a broken target that receives most requests because it seems
  // idle. The penalty must suffice on its own, since health may be ignored.
  for (const outcome of ['server-error', 'refused'] as const) {
    const fixture = new PoolFixture(10, {maxEjectedShare: 0});
    let failed = 0;
    for (let count = 0; count < 1_000; count += 1) {
      fixture.nowMs += 5;
      targetsOf(10).forEach(({id}) => fixture.report(id, id === 't-0' ? 0 : 2));
      const targetId = fixture.choose();
      fixture.pool.onSent(targetId, fixture.nowMs);
      const isBroken = targetId === 't-0';
      failed += isBroken ? 1 : 0;
      fixture.pool.onFinished(
        targetId,
        isBroken ? outcome : 'answered',
        fixture.nowMs,
      );
    }
    assert.ok(failed < 30, `${failed} of 1,000 requests failed: ${outcome}`);
  }
});

test('a target on probation gets one request at a time', () => {
  // Guards against sending full load to a target that may still be broken.
  const fixture = new PoolFixture(8, {routing: 'least-in-flight'});
  for (let count = 0; count < 3; count += 1) {
    fixture.pool.onSent('t-0', 0);
    fixture.pool.onFinished('t-0', 'server-error', 0);
  }
  assert.ok(!fixture.fill().sent.includes('t-0'));
  fixture.nowMs = 1_000;
  assert.deepEqual(fixture.fill().sent, ['t-0']);
});

test('failures at idle targets do not make requests wait', () => {
  // Guards against a failure penalty that counts as load.
  const fixture = new PoolFixture(8, {maxEjectedShare: 0});
  for (let count = 0; count < 100; count += 1) {
    const targetId = `t-${count % 8}`;
    fixture.pool.onSent(targetId, 0);
    fixture.pool.onFinished(targetId, 'server-error', 0);
  }
  assert.equal(fixture.fill().sent.length, 24);
});

test('implausible reports do not block the service', () => {
  // Guards against one target's excessive load that raises the mean, and
  // against values that are not valid counts.
  const fixture = new PoolFixture(8);
  fixture.report('t-0', 1e12);
  assert.ok(fixture.status('t-0').estimatedInFlight <= 12);
  [Number.NaN, -5, Number.POSITIVE_INFINITY].forEach(value => {
    fixture.report('t-1', value);
    assert.equal(fixture.status('t-1').reportMeasuredMs, undefined);
  });
});

test('long kinds use the long lane; urgent long kinds use all targets', () => {
  // Guards against head-of-line blocking of short requests at all targets.
  const used = new Set(new PoolFixture(8).fill(longKind).sent);
  assert.equal(used.size, 4);
  const urgent = {...longKind, urgent: true};
  assert.equal(new Set(new PoolFixture(8).fill(urgent).sent).size, 8);
});

test('a drain set by a header holds until the list shows and ends it', () => {
  // Guards against a stale list that reactivates a leaving target (I5).
  const fixture = new PoolFixture(1);
  const report = {targetId: 't-0', source: 'probe', inFlight: 0} as const;
  fixture.report('t-0', 1, 10);
  fixture.nowMs = 20;
  fixture.pool.onReport({...report, draining: true, measuredMs: 5}, 20);
  assert.equal(fixture.choose(), 'none');
  fixture.pool.onReport({...report, draining: false, measuredMs: 20}, 20);
  fixture.pool.syncTargets(targetsOf(1), 21);
  assert.equal(fixture.choose(), 'none');
  fixture.pool.syncTargets(targetsOf(1, 'leaving'), 22);
  fixture.pool.syncTargets(targetsOf(1), 23);
  assert.equal(fixture.choose(), 't-0');
});

test('skips excluded targets and ignores events of unknown ones', () => {
  // Guards against a retry at the target that failed, and against a crash on a
  // late event for a removed target.
  const fixture = new PoolFixture(2);
  assert.equal(fixture.choose(shortKind, ['t-0']), 't-1');
  assert.equal(fixture.choose(shortKind, ['t-0', 't-1']), 'none');
  fixture.pool.onFinished('t-9', 'answered', 0);
  fixture.pool.onSent('t-9', 0);
  fixture.pool.syncTargets(targetsOf(10), 0);
  assert.equal(fixture.status('t-9').ownInFlight, 1);
});

test('prefers the local failure domain among equally loaded targets', () => {
  // Guards against needless latency between failure domains at low load.
  const fixture = new PoolFixture(3);
  for (let count = 0; count < 20; count += 1) {
    assert.ok(['t-0', 't-2'].includes(fixture.choose()));
  }
});
