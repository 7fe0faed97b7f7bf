import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GRANT_VALIDITY_MS, GrantDivider} from './index.js';

const NO_PEAK = {count: 0, ageMs: 0};

/** Lets VMs report each 500 ms and divides the limit of one target. */
function grantedCounts(options: {
  readonly divider: GrantDivider;
  readonly demands: ReadonlyMap<string, number>;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly durationMs: number;
}): ReadonlyMap<string, number> {
  const {divider, demands, perSecond, fromMs, durationMs} = options;
  const counts = new Map<string, number>();
  for (let nowMs = fromMs; nowMs <= fromMs + durationMs; nowMs += 250) {
    for (const [host, demand] of nowMs % 500 === 0 ? demands : []) {
      const report = {targetId: 'x', demand, lapsedCount: 0};
      const reporterPeak = NO_PEAK;
      divider.onReport(host, {demands: [report], reporterPeak}, nowMs);
    }
    const limits = new Map([['x', perSecond]]);
    for (const [host, grants] of divider.divide(limits, nowMs)) {
      const count = grants.reduce((sum, each) => sum + each.count, 0);
      counts.set(host, (counts.get(host) ?? 0) + count);
    }
  }
  return counts;
}

function totalOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function demandsOf(vmCount: number, demand: (index: number) => number) {
  return new Map(
    Array.from({length: vmCount}, (_, index) => [`vm-${index}`, demand(index)]),
  );
}

for (const vmCount of [20, 312, 1_000]) {
  test(`a limit is handed out once among ${vmCount} VMs`, () => {
    for (const perSecond of [0.1, 0.7, 4.2, 19, 400]) {
      const counts = grantedCounts({
        divider: new GrantDivider(),
        demands: demandsOf(vmCount, index => 1 + (index % 7)),
        perSecond,
        fromMs: 0,
        durationMs: 20_000,
      });
      const total = totalOf(counts);
      assert.ok(total <= perSecond * 20 + 1, `${total} at ${perSecond}`);
      assert.ok(total >= perSecond * 20 - 2, `${total} at ${perSecond}`);
    }
  });
}

test('grants follow demand', () => {
  // Guards against requests that lapse at VMs without callers.
  const counts = grantedCounts({
    divider: new GrantDivider(),
    demands: demandsOf(20, index => (index < 2 ? 45 : 5)),
    perSecond: 36,
    fromMs: 0,
    durationMs: 20_000,
  });
  assert.ok(Math.abs((counts.get('vm-0') ?? 0) - 180) <= 12);
  assert.ok(Math.abs((counts.get('vm-9') ?? 0) - 20) <= 4);
});

test('dividers of the parts of a fleet hand out the limit once', () => {
  // Guards against a cut fleet in which each part uses the whole limit.
  const seed = 23;
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 19}),
      fc.double({min: 0.5, max: 60, noNaN: true}),
      (firstCount, perSecond) => {
        const all = demandsOf(20, () => 5);
        const before = new GrantDivider();
        const common = {perSecond, durationMs: 4_000};
        grantedCounts({...common, divider: before, demands: all, fromMs: 0});
        // The other part has a divider of its own, which its VMs tell of before.
        const after = new GrantDivider();
        const reporterPeak = before.reporterPeak(4_000);
        assert.equal(reporterPeak.count, 20);
        after.onReport('vm-19', {demands: [], reporterPeak}, 4_000);
        const hosts = [...all];
        const first = new Map(hosts.slice(0, firstCount));
        const second = new Map(hosts.slice(firstCount));
        const later = {...common, fromMs: 6_000, durationMs: 20_000};
        const total =
          totalOf(grantedCounts({...later, divider: before, demands: first})) +
          totalOf(grantedCounts({...later, divider: after, demands: second}));
        assert.ok(total <= perSecond * 20 + 4 + perSecond, `${total}`);
      },
    ),
    {seed},
  );
});

test('a smaller fleet uses the whole limit after a while', () => {
  const divider = new GrantDivider();
  const common = {divider, perSecond: 10, durationMs: 4_000};
  grantedCounts({...common, demands: demandsOf(20, () => 5), fromMs: 0});
  const half = demandsOf(10, () => 5);
  const soon = grantedCounts({...common, demands: half, fromMs: 6_000});
  assert.ok(totalOf(soon) <= 10 * 4 * 0.6);
  const later = grantedCounts({...common, demands: half, fromMs: 130_000});
  assert.ok(totalOf(later) >= 10 * 4 * 0.9);
});

test('lapsed grants are handed out again within bounds', () => {
  const divider = new GrantDivider();
  let total = 0;
  for (let nowMs = 0; nowMs <= 20_000; nowMs += 250) {
    const demands = [{targetId: 'x', demand: 1, lapsedCount: 1e9}];
    divider.onReport('vm', {demands, reporterPeak: NO_PEAK}, nowMs);
    const granted = divider.divide(new Map([['x', 10]]), nowMs).get('vm') ?? [];
    total += granted.reduce((sum, {count}) => sum + count, 0);
  }
  assert.ok(total > 200 && total <= 10 * 20 * 1.2 + 1, `${total}`);
  assert.ok(GRANT_VALIDITY_MS < 2_000);
});
