import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fleetShareLimit} from './index.js';

test('under overload the shares of all VMs stay near the slots', () => {
  // Guards against targets that are filled beyond their queues by many VMs.
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 900}),
      fc.integer({min: 1, max: 200}),
      (slotCount, fleetSize) => {
        const load = {slotCount, inFlightCount: slotCount * 1.1};
        const limit = fleetShareLimit(load, fleetSize);
        // Rounding may add half a request to each share; one is always allowed.
        const total = slotCount * 1.4 + fleetSize / 2;
        assert.ok(limit >= 1);
        assert.ok(limit * fleetSize <= Math.max(total, fleetSize));
      },
    ),
    {seed: 81},
  );
});

test('a VM is not limited while the service has room', () => {
  // Guards against VMs with many callers that wait beside idle targets.
  const load = {slotCount: 90, inFlightCount: 30};
  assert.equal(fleetShareLimit(load, 24), Infinity);
  const half = fleetShareLimit({...load, inFlightCount: 85}, 24);
  const full = fleetShareLimit({...load, inFlightCount: 99}, 24);
  assert.ok(half > full);
});
