import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readLimit, RequestGrants, TargetLimits} from './index.js';

function createLimited(): RequestGrants {
  const limits = new TargetLimits();
  limits.onStatement('x', readLimit('4'), 0);
  const grants = new RequestGrants(limits);
  // The first look at the limit.
  assert.equal(grants.mayBeSent('x', 0), true);
  return grants;
}

test('a limited target gets only granted requests, each once and in time', () => {
  const grants = createLimited();
  assert.equal(grants.mayBeSent('x', 399), true, 'before the first grants');
  assert.equal(grants.mayBeSent('x', 400), false);
  assert.equal(grants.mayBeSent('other', 400), true);
  grants.onGrant({targetId: 'x', count: 2, expiresMs: 2_000}, 400);
  grants.onSent('x', 500);
  assert.equal(grants.mayBeSent('x', 500), true);
  grants.onSent('x', 500);
  assert.equal(grants.mayBeSent('x', 500), false);
  grants.onGrant({targetId: 'x', count: 1, expiresMs: 2_000}, 500);
  assert.equal(grants.mayBeSent('x', 1_999), true);
  assert.equal(grants.mayBeSent('x', 2_000), false);
});

test('a corrupt grant does not lift a limit', () => {
  const grants = createLimited();
  grants.onGrant({targetId: 'x', count: 1e12, expiresMs: 2_000}, 1_000);
  let count = 0;
  while (grants.mayBeSent('x', 1_000)) {
    grants.onSent('x', 1_000);
    count += 1;
  }
  assert.equal(count, 5);
});

test('unused grants reduce the demand and are reported once', () => {
  const grants = createLimited();
  const target = {targetId: 'x', service: 's'};
  for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
    grants.onRequest('s', nowMs);
  }
  const {demand} = grants.takeDemand(target, 1_000);
  grants.onGrant({targetId: 'x', count: 3, expiresMs: 1_500}, 1_000);
  const later = grants.takeDemand(target, 1_500);
  assert.equal(later.lapsedCount, 3);
  assert.ok(later.demand < demand / 2);
  assert.equal(grants.takeDemand(target, 1_500).lapsedCount, 0);
});
