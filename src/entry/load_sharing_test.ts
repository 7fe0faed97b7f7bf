import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/index.js';
import {
  FleetNode,
  type Dispatch,
  type Heartbeat,
  type MemberIdentity,
} from '../fleet/index.js';
import {LoadBoard} from '../load/index.js';
import {FingerprintQuarantine} from '../recovery/index.js';
import type {KnownTarget} from '../registry/index.js';
import {knownTarget} from '../registry/target_fixture.js';
import {encodeMessage, MAX_DATAGRAM_BYTES} from '../peer_datagram/index.js';
import {TargetReachability} from '../relay/index.js';
import {LoadSharing, type SharingActions} from './load_sharing.js';

/**
 * A VM that is head of its failure domain unless it knows a VM of higher rank.
 */
class TestVm {
  readonly identity: MemberIdentity;
  readonly fleet: FleetNode;
  readonly board = new LoadBoard({failureDomain: 'a'});
  readonly quarantine = new FingerprintQuarantine({quarantineTargetCount: 3});
  readonly reachability = new TargetReachability();
  readonly sharing: LoadSharing;

  constructor(host: string, capacityMillicores: number) {
    this.identity = {
      vmId: host,
      bootId: 1,
      host,
      failureDomain: 'a',
      capacityMillicores,
    };
    const random = new SeededRandom({seed: 1});
    const {identity, board, quarantine} = this;
    this.fleet = new FleetNode({identity, random, startMs: 0});
    this.fleet.setState('ready');
    this.sharing = new LoadSharing({
      host,
      failureDomain: 'a',
      fleet: this.fleet,
      board,
      quarantine,
      reachability: this.reachability,
      maxProbesPerSecond: 60,
      linkMbitPerSecond: 100,
    });
    board.syncTargets(TARGETS);
  }

  /** Delivers a heartbeat of each of the other VMs of the failure domain. */
  receiveHeartbeats(...others: readonly TestVm[]): void {
    for (const {fleet} of others) {
      const sender = fleet.reportSelf();
      const position = {era: 0, revision: 0, ageMs: 0, digest: ''};
      const sizes = {domainSize: 3, fleetSize: 3, quarantineDigest: 0};
      const message = {
        type: 'heartbeat' as const,
        sender,
        position,
        members: [],
      };
      this.fleet.onMessage({...message, ...sizes}, 0);
    }
    this.fleet.onTick(0);
  }

  tick(nowMs: number): SharingActions {
    return this.sharing.onTick(TARGETS, nowMs);
  }
}

const TARGETS: ReadonlyMap<string, KnownTarget> = new Map(
  [knownTarget('x'), knownTarget('y', {failureDomain: 'b'})].map(each => [
    each.targetId,
    each,
  ]),
);

/**
 * Creates an acting head (the VM of highest capacity), a standby and a member.
 */
function createDomain(): readonly [TestVm, TestVm, TestVm] {
  const vms = [
    new TestVm('h1', 8_000),
    new TestVm('h2', 2_000),
    new TestVm('m', 200),
  ] as const;
  vms.forEach(vm => vm.receiveHeartbeats(...vms.filter(other => other !== vm)));
  return [...vms];
}

function hostsOf(dispatches: readonly Dispatch[]): readonly string[] {
  return dispatches.flatMap(({hosts}) => hosts);
}

test('only the acting head probes the targets of its failure domain', () => {
  // The number of probes must not grow with the fleet. The standby probes only
  // when the load tables of the acting head have stopped.
  const [head, standby, member] = createDomain();
  assert.deepEqual(
    head.tick(0).probes.map(({targetId}) => targetId),
    ['x'],
  );
  assert.deepEqual(head.tick(50).probes, []);
  assert.equal(head.tick(200).probes.length, 1);
  const table = {type: 'load' as const, sender: head.fleet.reportSelf()};
  standby.sharing.onTable({...table, reports: []}, 0);
  assert.deepEqual(standby.tick(300).probes, []);
  assert.deepEqual(member.tick(5_000).probes, []);
  assert.equal(standby.tick(5_000).probes.length, 1);
});

test('a load table updates the load boards of the members', () => {
  // Members do not probe: without the table they would route without loads.
  const [head, , member] = createDomain();
  const load = {running: 5, waiting: 1, slots: 6, slowness: 3};
  head.board.onLoadReport('x', {...load, measuredMs: 0});
  const [dispatch] = head.tick(10).dispatches;
  assert.deepEqual(dispatch?.hosts.slice().sort(), ['h2', 'm']);
  const {message} = dispatch!;
  assert.ok(message.type === 'load');
  member.sharing.onTable(message, 11);
  const options = {service: 's', workMs: 100, excludedTargetIds: []};
  const forecasts = member.board.forecasts(options, 11);
  const found = forecasts.find(({targetId}) => targetId === 'x');
  assert.equal(found?.slowness, 3);
});

test('outcomes reach the head and implications all VMs, each once', () => {
  // A failure that only one VM has seen must reach the others, without repeats.
  const [head, standby, member] = createDomain();
  member.board.onSent('x', 0);
  member.board.onEnded('x', 'failed', 0);
  member.quarantine.onCrash('x', ['poison'], 0);
  const {dispatches} = member.tick(10);
  assert.deepEqual(new Set(hostsOf(dispatches)), new Set(['h1', 'h2']));
  const passedOn: Dispatch[] = [];
  for (const {message} of dispatches) {
    assert.ok(message.type === 'outcomes');
    passedOn.push(...head.sharing.onReport(message, 11));
    standby.sharing.onReport(message, 11);
  }
  assert.deepEqual(hostsOf(passedOn).slice().sort(), ['h2', 'm']);
  assert.ok(head.quarantine.isImplicated('poison', 11));
  assert.ok(standby.quarantine.isImplicated('poison', 11));
  assert.deepEqual(member.tick(20).dispatches, []);
});

test('a request that a target answered is cleared on all VMs', () => {
  // Guards against a read that stays refused on the VMs that do not send it.
  const [head, standby, member] = createDomain();
  const lost = ['x', 'y', 'z'];
  for (const {quarantine} of [head, standby, member]) {
    lost.forEach(targetId => quarantine.onCrash(targetId, ['read'], 0));
  }
  member.tick(10);
  head.tick(10);
  member.quarantine.onAnswered('read', 20);
  for (const {message} of member.tick(30).dispatches) {
    head.sharing.onMessage(message, 31);
  }
  assert.equal(head.quarantine.isQuarantined('read', 31), false);
  // The standby has missed the message and still reports its quarantine.
  const [repair] = standby.sharing.onMessage(heartbeatOf(head), 400);
  assert.ok(repair?.message.type === 'outcomes');
  const [answer] = head.sharing.onMessage(heartbeatOf(standby, 7), 401);
  head.sharing.onMessage(repair.message, 402);
  assert.equal(head.quarantine.isQuarantined('read', 402), false);
  assert.equal(answer, undefined, 'the head has not cleared it itself');
  const [cleared] = member.sharing.onMessage(heartbeatOf(standby, 7), 403);
  assert.ok(cleared !== undefined);
  standby.sharing.onMessage(cleared.message, 404);
  assert.equal(standby.quarantine.isQuarantined('read', 404), false);
});

test('VMs that quarantine the same requests send each other nothing', () => {
  // Guards against control traffic that goes on once all VMs agree.
  const [head, , member] = createDomain();
  for (const {quarantine} of [head, member]) {
    ['x', 'y', 'z'].forEach(id => quarantine.onCrash(id, ['f', 'g'], 0));
  }
  head.tick(10);
  member.tick(10);
  assert.deepEqual(head.sharing.onMessage(heartbeatOf(member), 11), []);
  member.quarantine.onCrash('w', ['h'], 12);
  member.tick(300);
  assert.deepEqual(head.sharing.onMessage(heartbeatOf(member), 301), []);
});

function heartbeatOf({fleet}: TestVm, digest?: number): Heartbeat {
  const [sent] = fleet.announce(0);
  assert.ok(sent?.message.type === 'heartbeat');
  const {quarantineDigest} = sent.message;
  return {...sent.message, quarantineDigest: digest ?? quarantineDigest};
}

test('a table of many targets lists those to avoid, within datagrams', () => {
  // Guards against tables that exceed a datagram, which are not sent: then no
  // member has any load, and the standby probes as well.
  const targets = new Map(
    Array.from({length: 575}, (_, index) => {
      const target = knownTarget(`i-${index}`);
      return [target.targetId, target] as const;
    }),
  );
  const [head, standby, member] = createDomain();
  for (const {board} of [head, standby, member]) {
    board.syncTargets(targets);
  }
  const load = {running: 1, waiting: 0, slots: 6, slowness: 1, measuredMs: 0};
  for (const targetId of targets.keys()) {
    head.board.onLoadReport(targetId, load);
  }
  assert.deepEqual(
    head.sharing
      .onTick(targets, 10)
      .dispatches.map(({hosts, message}) => [
        hosts,
        message.type === 'load' ? message.reports.length : undefined,
      ]),
    [[['h2'], 0]],
    'only a sign of life for the standby',
  );
  for (let index = 0; index < 230; index += 1) {
    head.board.onProbed(`i-${index}`, false, 900);
  }
  const {dispatches} = head.sharing.onTick(targets, 1_000);
  const reported = new Set<string>();
  for (const {hosts, message} of dispatches) {
    assert.ok(encodeMessage(message).length <= MAX_DATAGRAM_BYTES);
    assert.ok(message.type === 'load');
    assert.deepEqual([...hosts].sort(), ['h2', 'm']);
    member.sharing.onTable(message, 1_001);
    message.reports.forEach(({targetId}) => reported.add(targetId));
  }
  assert.equal(reported.size, 230);
  const options = {service: 's', workMs: 100, excludedTargetIds: []};
  for (const forecast of member.board.forecasts(options, 1_001)) {
    const isListed = reported.has(forecast.targetId);
    assert.equal(forecast.failureShare > 0.9, isListed);
  }
});

test('the probes of a head do not grow with its targets', () => {
  // Guards against a head that has no processor time left for its callers.
  for (const targetCount of [100, 500, 2_000]) {
    const targets = new Map(
      Array.from({length: targetCount}, (_, index) => {
        const target = knownTarget(`i-${index}`);
        return [target.targetId, target] as const;
      }),
    );
    const [head] = createDomain();
    let probeCount = 0;
    for (let nowMs = 0; nowMs < 40_000; nowMs += 50) {
      probeCount += head.sharing.onTick(targets, nowMs).probes.length;
    }
    assert.ok(probeCount <= 40 * 100 + targetCount, `${probeCount} probes`);
  }
});

test('a head whose links may have failed reports nothing about targets', () => {
  // Guards against targets that the whole fleet avoids because a
  // VM that is cut off reports them as unreachable.
  const [head, , member] = createDomain();
  for (const vm of [head, member]) {
    vm.board.onSent('x', 0);
    vm.board.onEnded('x', 'failed', 0);
    vm.board.onProbed('x', false, 0);
    vm.reachability.onFailed('x', 0);
    vm.reachability.onFailed('y', 0);
    assert.ok(vm.reachability.isSuspect);
    assert.deepEqual(vm.tick(10).dispatches, []);
  }
  member.reachability.onReached('y', 20);
  assert.equal(member.tick(30).dispatches.length, 1);
});

test('reports of a VM that is cut off from all targets are ignored', () => {
  // Guards against tables that were sent before the head knew of its cut.
  const [head, standby, member] = createDomain();
  const sender = {...head.fleet.reportSelf(), reachesTargets: false};
  const report = {targetId: 'x', running: 0, waiting: 0, slots: 6};
  const state = {slowness: 1, ageMs: 0, failureShare: 1, isReachable: false};
  const reports = [{...report, ...state}];
  member.sharing.onTable({type: 'load', sender, reports}, 0);
  const outcomes = [{targetId: 'x', answeredCount: 0, failedCount: 50}];
  const nothing = {implications: [], clearedFingerprints: []};
  standby.sharing.onReport({type: 'outcomes', sender, outcomes, ...nothing}, 0);
  for (const {board} of [member, standby]) {
    const options = {service: 's', workMs: 1, excludedTargetIds: []};
    const found = board.forecasts(options, 1);
    assert.ok(found.every(({failureShare}) => failureShare === 0));
  }
});
