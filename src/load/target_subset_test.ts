import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import {knownTarget} from '../registry/target_fixture.js';
import {LoadBoard, rankTargets} from './index.js';
import {
  MAX_UNDIVIDED_COUNT,
  selectSubset,
  subsetRank,
  type SubsetCandidate,
} from './target_subset.js';

interface Candidate extends SubsetCandidate {
  readonly targetId: string;
}

function candidatesOf(
  vmKey: string,
  localCount: number,
  remoteCount: number,
): readonly Candidate[] {
  return Array.from({length: localCount + remoteCount}, (_, index) => ({
    targetId: `i-${index}`,
    isLocalDomain: index < localCount,
    rank: subsetRank(vmKey, `i-${index}`),
  }));
}

test('a subset is bounded, prefers its domain, and spans others', () => {
  // Guards against a VM whose targets all go with its failure domain.
  fc.assert(
    fc.property(
      fc.nat({max: 600}),
      fc.nat({max: 600}),
      (localCount, remoteCount) => {
        const all = candidatesOf('vm', localCount, remoteCount);
        const subset = selectSubset(all);
        if (all.length <= MAX_UNDIVIDED_COUNT) {
          assert.equal(subset.length, all.length);
          return;
        }
        assert.ok(subset.length >= 24 && subset.length <= 32);
        const usedLocalCount = subset.filter(each => each.isLocalDomain).length;
        assert.equal(usedLocalCount, Math.min(localCount, 24));
        assert.equal(
          subset.length - usedLocalCount,
          Math.min(remoteCount, 32 - usedLocalCount),
        );
      },
    ),
    {seed: 11},
  );
});

test('a target that leaves changes a subset by one target at most', () => {
  // Guards against connections that are thrown away whenever a target leaves.
  const all = candidatesOf('vm', 143, 260);
  const before = new Set(selectSubset(all).map(each => each.targetId));
  for (const left of all) {
    const rest = all.filter(each => each !== left);
    const after = selectSubset(rest).map(each => each.targetId);
    const added = after.filter(targetId => !before.has(targetId));
    assert.equal(added.length, before.has(left.targetId) ? 1 : 0);
  }
});

for (const vmCount of [20, 312, 1_000]) {
  test(`with ${vmCount} VMs, no target is in far more subsets than others`, () => {
    // Guards against a few targets that all VMs send to.
    const counts = new Map<string, number>();
    const targetCount = 400;
    for (let index = 0; index < vmCount; index += 1) {
      const all = candidatesOf(`10.0.0.${index}`, targetCount, 0);
      for (const {targetId} of selectSubset(all)) {
        counts.set(targetId, (counts.get(targetId) ?? 0) + 1);
      }
    }
    const mean = (vmCount * 24) / targetCount;
    const most = Math.max(...counts.values());
    // Six standard deviations of independent choices.
    assert.ok(most <= mean + 6 * Math.sqrt(mean), `${most}, mean ${mean}`);
  });
}

test('VMs without any load report spread their probes over all targets', () => {
  // Answers the start of 300 VMs with 400 targets: in a fixed order of equal
  // targets, each VM probed and used the same five.
  const targets = new Map(
    Array.from({length: 400}, (_, index) => {
      const target = knownTarget(`i-${index}`);
      return [target.targetId, target] as const;
    }),
  );
  const needs = {
    timeToObjectiveMs: 2_500,
    objectiveMs: 2_500,
    timeToDeadlineMs: 8_000,
    sizeKb: 5,
    maxExcessCount: 1,
  };
  const counts = new Map<string, number>();
  for (let vm = 0; vm < 300; vm += 1) {
    const vmKey = `10.0.0.${vm}`;
    const board = new LoadBoard({failureDomain: 'a', vmKey});
    board.syncTargets(targets);
    const options = {service: 's', workMs: 900, excludedTargetIds: []};
    const forecasts = board.forecasts(options, 0);
    const random = new SeededRandom({seed: vm});
    const ranked = rankTargets(forecasts, needs, random);
    for (const {forecast} of ranked.slice(0, 5)) {
      const count = counts.get(forecast.targetId) ?? 0;
      counts.set(forecast.targetId, count + 1);
    }
  }
  const mean = (300 * 5) / targets.size;
  const most = Math.max(...counts.values());
  assert.ok(most <= mean + 6 * Math.sqrt(mean), `${most}, mean ${mean}`);
});

test('an outdated report approaches the mean load, not idleness', () => {
  // Guards against sending to the targets that a VM knows least about while
  // the whole service is busy.
  const ids = Array.from({length: 100}, (_, index) => `i-${index}`);
  const board = new LoadBoard({failureDomain: 'a'});
  board.syncTargets(new Map(ids.map(id => [id, knownTarget(id)])));
  const busy = {running: 5, waiting: 0, slots: 6, slowness: 1};
  for (let round = 0; round < 100; round += 1) {
    board.onLoadReport('i-1', {...busy, measuredMs: round});
    board.onLoadReport('i-2', {...busy, measuredMs: round});
  }
  const {slotCount, inFlightCount} = board.serviceLoad('s', 20_000);
  assert.equal(slotCount, 600);
  assert.ok(inFlightCount > 480 && inFlightCount < 520, `${inFlightCount}`);
});
