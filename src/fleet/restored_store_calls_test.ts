import assert from 'node:assert/strict';
import {test} from 'node:test';
import {emptyRoutes, ReplicaFleet} from './restored_store_fixture.js';

/** Calls per second that the store allows. */
const MAX_CALLS_PER_SECOND = 2_000;

/** Full reads of a fleet after one restore, whatever its size. */
const MAX_FULL_READS = 12;

const SIZES = [
  [20, 3],
  [312, 5],
  [1_000, 11],
] as const;

for (const [vmCount, domainCount] of SIZES) {
  test(`${vmCount} VMs call a restored store within its limit`, () => {
    // Guards against a full read by every VM, and against calls without a pause.
    const fleet = new ReplicaFleet(3, {vmCount, domainCount, tickMs: 50});
    const {store} = fleet;
    const publish = (version: number): number =>
      store.write(revision => ({
        type: 'routes',
        revision,
        config: emptyRoutes(version),
      }));
    publish(1);
    fleet.at(8_000, () => publish(2));
    fleet.at(9_000, () => (store.isDown = true));
    fleet.at(11_000, () => {
      store.isDown = false;
      store.restore(5_000);
      publish(3);
    });
    const count = (of: 'callCount' | 'readAllCount'): number =>
      fleet.vms.reduce((sum, vm) => sum + vm[of], 0);
    fleet.run(9_000);
    const readAllBefore = count('readAllCount');
    for (let atMs = 10_000; atMs <= 18_000; atMs += 1_000) {
      const before = count('callCount');
      fleet.run(atMs);
      const perSecond = count('callCount') - before;
      assert.ok(
        perSecond <= MAX_CALLS_PER_SECOND,
        `${perSecond} calls until ${atMs} ms`,
      );
    }
    const readAllCount = count('readAllCount') - readAllBefore;
    assert.ok(readAllCount <= MAX_FULL_READS, `${readAllCount} full reads`);
    for (const {state} of fleet.vms) {
      assert.equal(state.era, 2);
      assert.equal(state.routes?.version, 3);
    }
  });
}
