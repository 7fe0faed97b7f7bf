import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FleetShare} from './index.js';

/** Returns the load of a service after 10 s with one VM for each demand. */
function settledLoad(demands: readonly number[], slotCount: number): number {
  const shares = demands.map(() => new FleetShare());
  let inFlightCount = demands.reduce((sum, demand) => sum + demand, 0);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
    const load = {slotCount, inFlightCount};
    const limits = shares.map(share =>
      share.limit(load, demands.length, nowMs),
    );
    inFlightCount = limits.reduce(
      (sum, limit, index) => sum + Math.min(limit, demands[index] ?? 0),
      0,
    );
  }
  return inFlightCount / slotCount;
}

test('under overload the load of all VMs together settles near the slots', () => {
  // Guards against many VMs that together overflow the queues of targets.
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 20, max: 60}), {minLength: 4, maxLength: 24}),
      demands => {
        const load = settledLoad(demands, demands.length * 5);
        // The setpoint is 1.1; rounding to whole requests leaves a band.
        assert.ok(load > 0.8 && load < 1.4, `load ${load}`);
      },
    ),
    {seed: 81},
  );
});

test('a VM with many callers uses the capacity that others do not', () => {
  // Guards against requests that wait while slots are idle.
  const load = settledLoad([30, 1, 1, 1, 1, 1, 1, 1], 40);
  assert.ok(load > 0.9, `load ${load}`);
});

test('a VM may always have one request in flight', () => {
  // Guards against VMs that can serve no request in a large fleet.
  const share = new FleetShare();
  for (let nowMs = 0; nowMs < 5_000; nowMs += 50) {
    const load = {slotCount: 10, inFlightCount: 40};
    assert.ok(share.limit(load, 200, nowMs) >= 1);
  }
});
