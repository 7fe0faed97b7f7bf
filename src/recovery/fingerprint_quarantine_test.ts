import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FingerprintQuarantine} from './index.js';

const QUARANTINE_MS = 600_000;

test('quarantines a request that was in flight at two crashed targets', () => {
  // Guards against a request that crashes one target after another.
  const quarantine = new FingerprintQuarantine();
  quarantine.onCrash('t-1', ['f', 'g'], 0);
  quarantine.onCrash('t-1', ['f'], 1);
  assert.equal(quarantine.isImplicated('f', 1), true);
  assert.equal(quarantine.isQuarantined('f', 1), false);
  quarantine.onPeerImplication('f', 't-2', 2);
  assert.equal(quarantine.isQuarantined('f', 2), true);
  assert.equal(quarantine.isQuarantined('g', 2), false);
  assert.equal(quarantine.isQuarantined('f', 1 + QUARANTINE_MS), true);
  assert.equal(quarantine.isQuarantined('f', 2 + QUARANTINE_MS), false);
});

test('a complete response clears a fingerprint locally and at peers', () => {
  // Guards against a frequent read that stays refused after a rack failure.
  const quarantine = new FingerprintQuarantine();
  quarantine.onCrash('t-1', ['f'], 0);
  quarantine.onCrash('t-2', ['f'], 0);
  assert.deepEqual(quarantine.implications(0).get('f'), ['t-1', 't-2']);
  quarantine.onAnswered('f', 1);
  assert.equal(quarantine.isQuarantined('f', 1), false);
  assert.deepEqual(quarantine.implications(1).get('f'), []);
  const peer = new FingerprintQuarantine();
  peer.onPeerImplication('f', 't-1', 0);
  peer.onPeerCleared('f', 0);
  assert.equal(peer.isImplicated('f', 1), false);
});

test('repeated gossip does not extend a quarantine', () => {
  // Guards against VMs that renew a quarantine for each other indefinitely.
  const quarantine = new FingerprintQuarantine();
  quarantine.onPeerImplication('f', 't-1', 0);
  quarantine.onPeerImplication('f', 't-2', 0);
  quarantine.onPeerImplication('f', 't-2', QUARANTINE_MS - 1);
  assert.equal(quarantine.isQuarantined('f', QUARANTINE_MS), false);
  assert.deepEqual([...quarantine.implications(0).keys()], []);
});

test('the number of fingerprints is bounded', () => {
  // Guards against memory use that grows with the number of crashes.
  const quarantine = new FingerprintQuarantine({maxFingerprints: 2});
  quarantine.onCrash('t-1', ['a', 'b', 'c'], 0);
  assert.deepEqual([...quarantine.implications(0).keys()], ['b', 'c']);
});
