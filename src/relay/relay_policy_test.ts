import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/index.js';
import {
  RelayPeers,
  RelayPolicy,
  TargetReachability,
  type RelayCandidate,
} from './index.js';

const NOTHING_TRIED = {unreachableCount: 0, triedHosts: []};

function candidatesOf(
  failureDomain: string,
  count: number,
): readonly RelayCandidate[] {
  return Array.from({length: count}, (_, index) => ({
    host: `${failureDomain}-${index}`,
    failureDomain,
  }));
}

function peersOf(candidates: readonly RelayCandidate[]): RelayPeers {
  const random = new SeededRandom({seed: 4});
  return new RelayPeers({
    failureDomain: 'a',
    random,
    candidates: () => candidates,
  });
}

function policyOf(
  peers: RelayPeers,
  options: {readonly isCutOff: boolean},
): RelayPolicy {
  const reachability = new TargetReachability();
  if (options.isCutOff) {
    reachability.onFailed('x', 0);
    reachability.update(1, 300);
  }
  const random = new SeededRandom({seed: 5});
  return new RelayPolicy({reachability, peers, random});
}

test('a VM that reaches targets sends requests directly', () => {
  // Guards against relays that load peers for nothing.
  const policy = policyOf(peersOf(candidatesOf('a', 3)), {isCutOff: false});
  const decision = policy.decide(NOTHING_TRIED, 1_000);
  assert.equal(decision.type, 'send-directly');
});

test('a request that two targets could not be reached for goes to a peer', () => {
  // Guards against cuts of most targets, or of new connections only.
  const policy = policyOf(peersOf(candidatesOf('a', 3)), {isCutOff: false});
  const progress = {unreachableCount: 2, triedHosts: []};
  assert.equal(policy.decide(progress, 1_000).type, 'relay');
});

test('a VM that is cut off asks at most three peers, each once', () => {
  // Guards against requests that use up their time at one peer after the other.
  const policy = policyOf(peersOf(candidatesOf('a', 9)), {isCutOff: true});
  const triedHosts: string[] = [];
  for (let i = 0; i < 3; i += 1) {
    const decision = policy.decide({unreachableCount: 0, triedHosts}, 1_000);
    assert.ok(decision.type === 'relay');
    assert.ok(!triedHosts.includes(decision.host));
    triedHosts.push(decision.host);
  }
  const last = policy.decide({unreachableCount: 0, triedHosts}, 1_000);
  assert.equal(last.type, 'give-up');
});

test('requests go directly when no peer reaches targets either', () => {
  // Guards against targets that are down and taken for a cut.
  const policy = policyOf(peersOf([]), {isCutOff: true});
  const decision = policy.decide(NOTHING_TRIED, 1_000);
  assert.equal(decision.type, 'send-directly');
});

test('peers of the own failure domain come first if there are enough', () => {
  // Guards against bytes between domains, and against one peer that carries the
  // requests of its whole domain.
  const others = candidatesOf('b', 4);
  const local = peersOf([...candidatesOf('a', 2), ...others]);
  const single = peersOf([...candidatesOf('a', 1), ...others]);
  const hosts = new Set<string | undefined>();
  for (let i = 0; i < 50; i += 1) {
    assert.match(local.choose([], i) ?? '', /^a-/);
    hosts.add(single.choose([], i));
  }
  assert.equal(hosts.size, 5);
});

test('a peer that hangs gets few further requests', () => {
  // Guards against a frozen peer that takes its share until it counts as down.
  const peers = peersOf(candidatesOf('a', 4));
  let toFrozen = 0;
  for (let i = 0; i < 400; i += 1) {
    const host = peers.choose([], i) ?? '';
    peers.onStarted(host);
    if (host === 'a-0') {
      toFrozen += 1;
    } else {
      peers.onEnded(host, 'carried', i);
    }
  }
  assert.ok(toFrozen < 40, `${toFrozen} of 400`);
});

test('a peer that cannot be reached is avoided unless it is the only one', () => {
  // Guards against requests that fail although another peer would carry them.
  const peers = peersOf(candidatesOf('a', 2));
  peers.onStarted('a-0');
  peers.onEnded('a-0', 'failed', 0);
  for (let i = 1; i < 20; i += 1) {
    assert.equal(peers.choose([], i), 'a-1');
  }
  assert.equal(peers.choose(['a-1'], 20), 'a-0');
  assert.equal(peers.choose(['a-0', 'a-1'], 20), undefined);
});
