import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {RouteConfig} from '../routes/index.js';
import {
  PublishedState,
  type PublishedChange,
  type RegisteredTarget,
} from './index.js';
import {
  publishedDelta,
  publishedSnapshot,
  registeredTarget,
} from './target_fixture.js';

function routes(version: number): RouteConfig {
  return {
    version,
    rules: [],
    services: [],
    bounds: {
      maxHeadBytes: 1,
      maxBodyBytes: 1,
      headTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

test('revision and route version never decrease in any order of offers', () => {
  // Guards against a stale read or a lagging peer that reverts routes.
  const offer = fc.record({
    revision: fc.integer({min: 1, max: 30}),
    version: fc.integer({min: 1, max: 30}),
    isSnapshot: fc.boolean(),
    after: fc.integer({min: 0, max: 30}),
  });
  fc.assert(
    fc.property(fc.array(offer, {maxLength: 20}), offers => {
      const state = new PublishedState();
      let revision = 0;
      let version = -1;
      for (const each of offers) {
        const config = routes(each.version);
        if (each.isSnapshot) {
          const {revision: at} = each;
          state.offerSnapshot(publishedSnapshot(at, {routes: config}), 0);
        } else {
          const change = {
            type: 'routes',
            revision: each.revision,
            config,
          } as const;
          const {after: afterRevision} = each;
          const delta = publishedDelta(each.revision, {
            afterRevision,
            changes: [change],
          });
          state.offerDelta(delta, 0);
        }
        assert.ok(state.revision >= revision);
        assert.ok((state.routes?.version ?? -1) >= version);
        revision = state.revision;
        version = state.routes?.version ?? -1;
      }
    }),
    {seed: 21},
  );
});

test('the kept changes bring a lagging peer to the same state', () => {
  // Guards against peers that miss a change and keep a leaving target.
  const change = (revision: number): fc.Arbitrary<PublishedChange> =>
    fc.oneof(
      fc.constantFrom('x', 'y', 'z').map(targetId => ({
        type: 'target-removed' as const,
        revision,
        targetId,
      })),
      fc
        .tuple(fc.constantFrom('x', 'y', 'z'), fc.boolean())
        .map(([id, draining]) => ({
          type: 'target' as const,
          revision,
          target: registeredTarget(id, {draining}),
        })),
    );
  const history = fc
    .integer({min: 1, max: 25})
    .chain(count =>
      fc.tuple(...Array.from({length: count}, (_, index) => change(index + 2))),
    );
  fc.assert(
    fc.property(history, fc.nat(25), (changes, joinedAt) => {
      const first = publishedSnapshot(1, {routes: routes(1)});
      const [reader, peer] = [new PublishedState(), new PublishedState()];
      reader.offerSnapshot(first, 0);
      peer.offerSnapshot(first, 0);
      changes.forEach((each, index) => {
        const {revision} = each;
        const delta = publishedDelta(revision, {changes: [each]});
        reader.offerDelta(delta, 0);
        if (index < joinedAt) {
          peer.offerDelta(delta, 0);
        }
      });
      const missing = reader.changesAfter(peer.position);
      assert.ok(missing !== undefined);
      peer.offerDelta(missing, 0);
      assert.equal(peer.digest, reader.digest);
      assert.deepEqual(peer.targets, reader.targets);
    }),
    {seed: 22},
  );
});

test('a delta with a gap is rejected, a reader far behind gets none', () => {
  // Guards against a state that silently lacks a change.
  const state = new PublishedState();
  state.offerSnapshot(publishedSnapshot(5, {routes: routes(1)}), 0);
  const delta = publishedDelta(8, {afterRevision: 7});
  assert.equal(state.offerDelta(delta, 0), 'gap');
  assert.equal(state.revision, 5);
  assert.equal(state.changesAfter({era: 1, revision: 4}), undefined);
});

test('a target that restarts under its id is cold again', () => {
  // Guards against full load on a target that has just started.
  const state = new PublishedState();
  const put = (
    revision: number,
    each: RegisteredTarget,
    nowMs: number,
  ): void => {
    const change = {type: 'target' as const, revision, target: each};
    state.offerDelta(publishedDelta(revision, {changes: [change]}), nowMs);
  };
  state.offerSnapshot(publishedSnapshot(1, {routes: routes(1)}), 0);
  put(2, registeredTarget('x', {warmupRemainingMs: 3000}), 100);
  put(3, registeredTarget('x', {warmupRemainingMs: 1500}), 1500);
  assert.equal(state.targets.get('x')?.coldUntilMs, 3100);
  put(4, registeredTarget('x', {warmupRemainingMs: 3000, startedMs: 2}), 9000);
  assert.equal(state.targets.get('x')?.coldUntilMs, 12_000);
});
