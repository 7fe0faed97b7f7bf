import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetReachability} from './index.js';

const TARGET_COUNT = 8;

/** Reachability of a VM that has lost its links at 1,000 ms. */
function cutOff(): TargetReachability {
  const reachability = new TargetReachability();
  reachability.onReached('x0', 1_000);
  for (const targetId of ['x1', 'x2', 'x3']) {
    reachability.onFailed(targetId, 1_300);
  }
  const change = reachability.update(TARGET_COUNT, 1_300);
  assert.deepEqual(change, {type: 'cut-off', failedCount: 3});
  return reachability;
}

test('a VM at which several targets fail in a row is cut off', () => {
  // Guards against requests that wait for targets that this VM cannot reach.
  const reachability = cutOff();
  assert.ok(reachability.isCutOff);
  assert.equal(reachability.cutOffSinceMs, 1_300);
  assert.equal(reachability.relayShare(1_300), 1);
});

test('a VM that still reaches one target is not cut off', () => {
  // Guards against targets of one failure domain that are taken for a cut.
  const reachability = new TargetReachability();
  reachability.onReached('x7', 0);
  for (let nowMs = 0; nowMs < 5_000; nowMs += 50) {
    for (let index = 0; index < 6; index += 1) {
      reachability.onFailed(`x${index}`, nowMs);
    }
    assert.equal(reachability.update(TARGET_COUNT, nowMs + 1), undefined);
    reachability.onReached('x7', nowMs + 2);
  }
  assert.ok(!reachability.isSuspect);
});

test('a VM at which a single target fails is not cut off', () => {
  // Guards against a crashed target that an idle VM takes for a cut.
  const reachability = new TargetReachability();
  for (let nowMs = 0; nowMs < 5_000; nowMs += 50) {
    reachability.onFailed('x0', nowMs);
    assert.equal(reachability.update(TARGET_COUNT, nowMs), undefined);
  }
});

test('old failures are no evidence of a cut', () => {
  // Guards against targets that fail one by one, minutes apart.
  const reachability = new TargetReachability();
  for (let index = 0; index < 6; index += 1) {
    reachability.onFailed(`x${index}`, index * 60_000);
    const change = reachability.update(TARGET_COUNT, index * 60_000);
    assert.equal(change, undefined);
  }
});

test('a VM returns when two targets respond, and takes its requests back gradually', () => {
  // Guards against a burst of new connections, and against late answers that are
  // taken for the end of a cut.
  const reachability = cutOff();
  reachability.onReached('x1', 5_000);
  assert.equal(reachability.update(TARGET_COUNT, 5_000), undefined);
  reachability.onReached('x1', 5_900);
  assert.equal(reachability.update(TARGET_COUNT, 5_900), undefined);
  reachability.onReached('x2', 6_000);
  const change = reachability.update(TARGET_COUNT, 6_000);
  assert.deepEqual(change, {type: 'returned', cutOffSinceMs: 1_300});
  assert.equal(reachability.relayShare(6_000), 1);
  assert.equal(reachability.relayShare(6_500), 0.5);
  assert.equal(reachability.relayShare(7_000), 0);
});

test('a VM that is cut off probes all targets in turn, and few at a time', () => {
  // Guards against cuts that no VM sees end, and against a storm of probes.
  const targetIds = Array.from({length: TARGET_COUNT}, (_, i) => `x${i}`);
  const reachability = cutOff();
  const probed = new Map<string, number>();
  for (let nowMs = 2_000; nowMs < 4_000; nowMs += 10) {
    for (const targetId of reachability.takeProbes(targetIds, false, nowMs)) {
      probed.set(targetId, (probed.get(targetId) ?? 0) + 1);
    }
  }
  assert.equal(probed.size, TARGET_COUNT);
  assert.ok([...probed.values()].every(count => count <= 4));
  const idle = new TargetReachability();
  assert.deepEqual(idle.takeProbes(targetIds, false, 0), []);
});

test('an idle VM checks its own links while a peer is cut off', () => {
  // Guards against VMs of a cut domain that become its heads one after the other.
  const targetIds = Array.from({length: TARGET_COUNT}, (_, i) => `x${i}`);
  const reachability = new TargetReachability();
  for (let nowMs = 0; nowMs < 1_500 && !reachability.isCutOff; nowMs += 50) {
    for (const targetId of reachability.takeProbes(targetIds, true, nowMs)) {
      reachability.onFailed(targetId, nowMs);
    }
    reachability.update(TARGET_COUNT, nowMs);
  }
  assert.ok(reachability.isCutOff);
  const connected = new TargetReachability();
  connected.onReached('x1', 1_000);
  assert.deepEqual(connected.takeProbes(targetIds, true, 1_200), []);
});

test('what ran out during a pause of the VM is no evidence of a cut', () => {
  // Guards against a VM that wakes up and passes its requests to peers.
  const reachability = new TargetReachability();
  reachability.onReached('x0', 0);
  for (const targetId of ['x1', 'x2', 'x3']) {
    reachability.onFailed(targetId, 5_000);
  }
  reachability.onPause(5_000);
  reachability.onFailed('x4', 5_010);
  assert.equal(reachability.update(TARGET_COUNT, 5_010), undefined);
  for (const targetId of ['x5', 'x6']) {
    reachability.onFailed(targetId, 5_200);
  }
  assert.equal(reachability.update(TARGET_COUNT, 5_200), undefined);
  assert.equal(reachability.update(TARGET_COUNT, 5_250)?.type, 'cut-off');
});
