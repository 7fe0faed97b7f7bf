import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rendezvousRank, type InstantMs} from '../core/index.js';
import {
  GossipMembership,
  type MembershipChange,
  type MemberState,
} from '../membership/index.js';
import {HomeVm, KeyedClaimTable, type ClaimRequest} from './index.js';

const START_MS = 1_000_000;

function createMembership(vmId: string, port: number): GossipMembership {
  const self = {vmId, bootId: 'b', host: '127.0.0.1', port};
  return new GossipMembership({self, startMs: START_MS});
}

/**
 * Starts three ready, fully connected VMs. `runRound` runs one gossip round at
 * an instant.
 */
function startThreeVms(): {
  readonly vms: readonly GossipMembership[];
  readonly runRound: (nowMs: InstantMs) => void;
} {
  const vms = ['e-1', 'e-2', 'e-3'].map((vmId, i) =>
    createMembership(vmId, i + 1),
  );
  const runRound = (nowMs: InstantMs): void => {
    vms.forEach(vm => vm.tick(nowMs));
    for (const from of vms) {
      vms.forEach(to => to.merge(from.deltaFor(to.digest()), nowMs));
    }
  };
  vms.forEach(vm => vm.setState('ready'));
  runRound(START_MS);
  runRound(START_MS + 250);
  return {vms, runRound};
}

/** Returns a key whose rendezvous ranking begins with the given VMs. */
function findKeyWithRank(...vmIds: readonly string[]): string {
  for (let i = 0; ; i++) {
    const rank = rendezvousRank(`k${i}`, ['e-1', 'e-2', 'e-3']);
    if (vmIds.every((vmId, position) => rank[position] === vmId)) {
      return `k${i}`;
    }
  }
}

function claimOf(key: string, attempt: number): ClaimRequest {
  const deadlineMs = START_MS + 5_000;
  const identity = {claimantId: 'e-9/b', token: `t${attempt}`};
  return {key, fingerprint: 'f', attempt, deadlineMs, ...identity};
}

function createHome(membership: GossipMembership): {
  readonly home: HomeVm;
  readonly claimTable: KeyedClaimTable;
} {
  const claimTable = new KeyedClaimTable({startMs: 0});
  return {home: new HomeVm({membership, claimTable}), claimTable};
}

test('only the home VM of a key decides its claims', () => {
  // Guards against two VMs that grant claims of the same key.
  const {vms} = startThreeVms();
  const key = findKeyWithRank('e-2');
  const answers = vms.map(
    vm => createHome(vm).home.claim(claimOf(key, 1), START_MS + 300).type,
  );
  assert.deepEqual(answers, ['not-home', 'granted', 'not-home']);
});

test('records count as incomplete before a silent VM is suspected', () => {
  // Guards against a home VM that grants a resent request although the silent
  // VM has taken over its keys.
  const {vms, runRound} = startThreeVms();
  const {home} = createHome(vms[1]!);
  const key = findKeyWithRank('e-2');
  runRound(START_MS + 500);
  const silentMs = START_MS + 500 + 1_600;
  assert.equal(vms[1]!.readyVmIds().length, 3);
  assert.equal(home.claim(claimOf(key, 2), silentMs).type, 'may-have-run');
});

test('a planned stop hands each record over to its next home VM', () => {
  // Guards against losing records in a planned stop, or settlements that arrive
  // afterwards.
  const {vms} = startThreeVms();
  const {home} = createHome(vms[0]!);
  const next = createHome(vms[1]!);
  const key = findKeyWithRank('e-1', 'e-2');
  const nowMs = START_MS + 300;
  assert.equal(home.claim(claimOf(key, 1), nowMs).type, 'granted');
  home.stopAcceptingClaims();
  assert.equal(home.claim(claimOf(key, 2), nowMs).type, 'not-home');
  const plan = home.planHandOver(nowMs);
  assert.equal(plan.isComplete, true);
  assert.deepEqual([...plan.batches.keys()], ['e-2']);
  next.home.adopt(plan.batches.get('e-2') ?? [], undefined, nowMs);
  assert.equal(next.claimTable.summary().completeSinceMs, 0);
  const settlement = {
    key,
    claimantId: 'e-9/b',
    token: 't1',
    verdict: 'ran' as const,
  };
  assert.equal(home.settle(settlement, nowMs), 'e-2');
  next.home.settle(settlement, nowMs);
  assert.equal(next.claimTable.exportRecords(nowMs)[0]?.state, 'ran');
});

test('a hand-over is incomplete while a VM is suspected', () => {
  // Guards against a suspected VM that peers consider the next home of keys and
  // that received no records.
  const {vms} = startThreeVms();
  vms[0]!.tick(START_MS + 250 + 2_500);
  const {home} = createHome(vms[0]!);
  assert.equal(home.planHandOver(START_MS + 2_750).isComplete, false);
});

test('only unplanned departures and returns advance the horizon', () => {
  // Guards against requests that run twice after a partition (I4), and against
  // needless refusals after planned stops and first starts.
  const movesHorizon = (
    from: MemberState | undefined,
    to: MemberState,
    planned: boolean,
    returned: boolean,
  ): boolean => {
    const {home, claimTable} = createHome(createMembership('e-1', 1));
    const change: MembershipChange = {
      vmId: 'e-2',
      bootId: 'b',
      from,
      to,
      planned,
      returned,
    };
    home.onMembershipChanges([change], START_MS);
    return claimTable.summary().completeSinceMs > START_MS;
  };
  assert.equal(movesHorizon('ready', 'suspect', false, false), true);
  assert.equal(movesHorizon('ready', 'dead', false, false), true);
  assert.equal(movesHorizon('suspect', 'ready', false, true), true);
  assert.equal(movesHorizon('starting', 'ready', false, true), true);
  assert.equal(movesHorizon('starting', 'ready', false, false), false);
  assert.equal(movesHorizon('starting', 'suspect', false, false), false);
  assert.equal(movesHorizon('ready', 'leaving', true, false), false);
  assert.equal(movesHorizon('leaving', 'dead', true, false), false);
});

test('VMs that started long before their discovery count as returned', () => {
  // Guards against a horizon that does not advance when a partition heals after
  // more than the removal time.
  const {vms, runRound} = startThreeVms();
  for (let round = 2; round < 30; round++) {
    runRound(START_MS + round * 250);
  }
  const lateVm = createMembership('e-4', 4);
  lateVm.setState('ready');
  const changes = [];
  for (let round = 30; round < 33; round++) {
    const nowMs = START_MS + round * 250;
    runRound(nowMs);
    lateVm.merge(vms[0]!.deltaFor(lateVm.digest()), nowMs);
    changes.push(...lateVm.tick(nowMs));
    vms[0]!.merge(lateVm.deltaFor(vms[0]!.digest()), nowMs);
    const seen = vms[0]!.tick(nowMs + 1);
    assert.ok(seen.every(change => !change.returned));
  }
  const returned = changes.filter(change => change.returned);
  assert.equal(returned.length, 3);
});

test('a long pause of the VM itself advances the horizon', () => {
  // Guards against a resumed home VM that misses claims granted in its place.
  const {home, claimTable} = createHome(createMembership('e-1', 1));
  home.onPause(100, START_MS);
  assert.equal(claimTable.summary().completeSinceMs, 0);
  home.onPause(900, START_MS);
  assert.ok(claimTable.summary().completeSinceMs > START_MS);
});
