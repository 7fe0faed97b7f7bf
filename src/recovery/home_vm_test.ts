import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rendezvousRank, type InstantMs} from '../core/index.js';
import {
  GossipMembership,
  type MembershipChange,
  type MemberState,
} from '../membership/index.js';
import {HomeVm, KeyedClaimBook, type ClaimRequest} from './index.js';

const START_MS = 1_000_000;

function vmOf(vmId: string, port: number): GossipMembership {
  const self = {vmId, bootId: 'b', host: '127.0.0.1', port};
  return new GossipMembership({self, startMs: START_MS});
}

/** Three ready VMs in full contact; `beat` runs one round at an instant. */
function startThree(): {
  readonly vms: readonly GossipMembership[];
  readonly beat: (nowMs: InstantMs) => void;
} {
  const vms = ['e-1', 'e-2', 'e-3'].map((vmId, i) => vmOf(vmId, i + 1));
  const beat = (nowMs: InstantMs): void => {
    vms.forEach(vm => vm.tick(nowMs));
    for (const from of vms) {
      vms.forEach(to => to.merge(from.deltaFor(to.digest()), nowMs));
    }
  };
  vms.forEach(vm => vm.setOwnState('ready'));
  beat(START_MS);
  beat(START_MS + 250);
  return {vms, beat};
}

function keyWithRank(...vmIds: readonly string[]): string {
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

function homeOf(membership: GossipMembership): {
  readonly home: HomeVm;
  readonly book: KeyedClaimBook;
} {
  const book = new KeyedClaimBook({startMs: 0});
  return {home: new HomeVm({membership, book}), book};
}

test('only the home VM of a key answers its claims', () => {
  // Guards against two VMs that grant the same key.
  const {vms} = startThree();
  const key = keyWithRank('e-2');
  const answers = vms.map(
    vm => homeOf(vm).home.claim(claimOf(key, 1), START_MS + 300).type,
  );
  assert.deepEqual(answers, ['not-home', 'granted', 'not-home']);
});

test('a silent VM puts records in doubt before it can be suspected', () => {
  // Guards against a home that grants a resent request while the silent VM
  // has taken over its keys.
  const {vms, beat} = startThree();
  const {home} = homeOf(vms[1]!);
  const key = keyWithRank('e-2');
  beat(START_MS + 500);
  const silentMs = START_MS + 500 + 1_600;
  assert.equal(vms[1]!.readyVmIds().length, 3);
  assert.equal(home.claim(claimOf(key, 2), silentMs).type, 'may-have-run');
});

test('a planned stop hands each record over to its next home', () => {
  // Guards against records lost in a planned stop, and against settlements
  // that arrive after it.
  const {vms} = startThree();
  const {home} = homeOf(vms[0]!);
  const next = homeOf(vms[1]!);
  const key = keyWithRank('e-1', 'e-2');
  const nowMs = START_MS + 300;
  assert.equal(home.claim(claimOf(key, 1), nowMs).type, 'granted');
  home.stopTaking();
  assert.equal(home.claim(claimOf(key, 2), nowMs).type, 'not-home');
  const plan = home.planHandOver(nowMs);
  assert.equal(plan.isComplete, true);
  assert.deepEqual([...plan.batches.keys()], ['e-2']);
  next.home.adopt(plan.batches.get('e-2') ?? [], undefined, nowMs);
  assert.equal(next.book.summary().completeSinceMs, 0);
  const settlement = {
    key,
    claimantId: 'e-9/b',
    token: 't1',
    verdict: 'ran' as const,
  };
  assert.equal(home.settle(settlement, nowMs), 'e-2');
  next.home.settle(settlement, nowMs);
  assert.equal(next.book.exportRecords(nowMs)[0]?.state, 'ran');
});

test('a stop while a VM is suspected is not announced as complete', () => {
  // Guards against a next home that is ready elsewhere and got no records.
  const {vms} = startThree();
  vms[0]!.tick(START_MS + 250 + 2_500);
  const {home} = homeOf(vms[0]!);
  assert.equal(home.planHandOver(START_MS + 2_750).isComplete, false);
});

test('unplanned departures and returns move the horizon, others do not', () => {
  // Guards against I4 after a partition, and against needless refusals after
  // planned stops and first starts.
  const moves = (
    from: MemberState | undefined,
    to: MemberState,
    planned: boolean,
    returned: boolean,
  ): boolean => {
    const {home, book} = homeOf(vmOf('e-1', 1));
    const change: MembershipChange = {
      vmId: 'e-2',
      bootId: 'b',
      from,
      to,
      planned,
      returned,
    };
    home.onMembershipChanges([change], START_MS);
    return book.summary().completeSinceMs > START_MS;
  };
  assert.equal(moves('ready', 'suspect', false, false), true);
  assert.equal(moves('ready', 'dead', false, false), true);
  assert.equal(moves('suspect', 'ready', false, true), true);
  assert.equal(moves('starting', 'ready', false, true), true);
  assert.equal(moves('starting', 'ready', false, false), false);
  assert.equal(moves('starting', 'suspect', false, false), false);
  assert.equal(moves('ready', 'leaving', true, false), false);
  assert.equal(moves('leaving', 'dead', true, false), false);
});

test('a VM that was up before it was heard of counts as returned', () => {
  // Guards against a horizon that stays when a partition longer than the
  // removal time heals.
  const {vms, beat} = startThree();
  for (let round = 2; round < 30; round++) {
    beat(START_MS + round * 250);
  }
  const late = vmOf('e-4', 4);
  late.setOwnState('ready');
  const changes = [];
  for (let round = 30; round < 33; round++) {
    const nowMs = START_MS + round * 250;
    beat(nowMs);
    late.merge(vms[0]!.deltaFor(late.digest()), nowMs);
    changes.push(...late.tick(nowMs));
    vms[0]!.merge(late.deltaFor(vms[0]!.digest()), nowMs);
    const seen = vms[0]!.tick(nowMs + 1);
    assert.ok(seen.every(change => !change.returned));
  }
  const returned = changes.filter(change => change.returned);
  assert.equal(returned.length, 3);
});

test('an own pause moves the horizon', () => {
  // Guards against a woken home that missed claims granted by its substitute.
  const {home, book} = homeOf(vmOf('e-1', 1));
  home.onPause(100, START_MS);
  assert.equal(book.summary().completeSinceMs, 0);
  home.onPause(900, START_MS);
  assert.ok(book.summary().completeSinceMs > START_MS);
});
