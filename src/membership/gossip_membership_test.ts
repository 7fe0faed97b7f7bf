import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import {
  GossipMembership,
  ownerIdOf,
  ROUND_MS,
  shortIdOf,
  type Digest,
  type OwnerDelta,
} from './index.js';

const SIZE = 5;

interface Vm {
  readonly membership: GossipMembership;
  /** Offset of the VM's clock from the network's clock. */
  readonly offsetMs: number;
  readonly slot: number;
  isPaused: boolean;
}

type Message =
  | {readonly type: 'request'; readonly digest: Digest}
  | {
      readonly type: 'response';
      readonly delta: readonly OwnerDelta[];
      readonly digest: Digest;
    }
  | {readonly type: 'push'; readonly delta: readonly OwnerDelta[]};

interface Envelope {
  readonly from: Vm;
  /** Responses go to the requesting process, all others to an address. */
  readonly to: Vm | number;
  readonly message: Message;
  readonly arrivesMs: number;
}

/** Simulates a network that delays, reorders and drops messages. */
class SimulatedNetwork {
  nowMs = 0;
  lossShare = 0;
  isPartitioned: (from: number, to: number) => boolean = () => false;
  readonly vms = new Map<number, Vm>();
  readonly ended = new Set<string>();
  /** Changes as `observer: vmId state planned`. */
  changes: string[] = [];
  private queue: Envelope[] = [];
  private bootCount = 0;

  constructor(readonly random: SeededRandom) {}

  start(slot: number): Vm {
    const offsetMs = this.random.nextInt(1_000_000);
    const membership = new GossipMembership({
      self: {
        vmId: `e-${slot}`,
        bootId: `b${this.bootCount++}`,
        host: '127.0.0.1',
        port: slot + 1,
      },
      startMs: this.nowMs + offsetMs,
      maxFactsPerMessage: 7,
    });
    membership.addContacts([
      {host: '127.0.0.1', port: 1},
      {host: '127.0.0.1', port: 2},
    ]);
    const vm = {membership, offsetMs, slot, isPaused: false};
    this.vms.set(slot, vm);
    return vm;
  }

  replace(slot: number): void {
    const old = this.vms.get(slot);
    if (old !== undefined) {
      this.ended.add(ownerIdOf(old.membership.self));
    }
    this.start(slot);
  }

  wake(vm: Vm): void {
    vm.isPaused = false;
    vm.membership.onPause(this.nowMs + vm.offsetMs);
  }

  run(rounds: number, afterStep: () => void = () => undefined): void {
    for (let step = 0; step < rounds * 5; step++) {
      this.nowMs += ROUND_MS / 5;
      for (const vm of this.vms.values()) {
        if (!vm.isPaused) {
          this.tick(vm, step % 5 === vm.slot % 5);
        }
      }
      this.deliver();
      afterStep();
    }
  }

  private tick(vm: Vm, startsRound: boolean): void {
    const {membership} = vm;
    for (const change of membership.tick(this.nowMs + vm.offsetMs)) {
      const {vmId, to, planned} = change;
      this.changes.push(`e-${vm.slot}: ${vmId} ${to} ${planned}`);
    }
    if (membership.members().length > 1 && startsRound) {
      membership.setState('ready');
    }
    const peer = startsRound ? membership.nextPeer(this.random) : undefined;
    if (peer !== undefined) {
      const digest = membership.digest();
      this.send(vm, peer.port - 1, {type: 'request', digest});
    }
  }

  private send(from: Vm, to: Vm | number, message: Message): void {
    const arrivesMs = this.nowMs + this.random.nextInt(400);
    if (this.random.nextFloat() >= this.lossShare) {
      this.queue.push({from, to, message, arrivesMs});
    }
  }

  private deliver(): void {
    const due = this.queue.filter(entry => entry.arrivesMs <= this.nowMs);
    this.queue = this.queue.filter(entry => entry.arrivesMs > this.nowMs);
    for (const {from, to, message} of due) {
      const receiver = typeof to === 'number' ? this.vms.get(to) : to;
      if (receiver !== undefined && this.isDeliverable(from, receiver)) {
        this.handle(receiver, from, message);
      }
    }
  }

  private isDeliverable(from: Vm, to: Vm): boolean {
    const isRunning = [...this.vms.values()].includes(to) && !to.isPaused;
    return isRunning && !this.isPartitioned(from.slot, to.slot);
  }

  private handle(to: Vm, from: Vm, message: Message): void {
    const {membership, offsetMs} = to;
    if (message.type !== 'request') {
      membership.merge(message.delta, this.nowMs + offsetMs);
    }
    if (message.type === 'request') {
      const delta = membership.deltaFor(message.digest);
      const digest = membership.missingFrom(message.digest);
      this.send(to, from, {type: 'response', delta, digest});
    } else if (message.type === 'response') {
      const {digest} = message;
      const delta = membership.deltaFor(digest, {listedOnly: true});
      this.send(to, from.slot, {type: 'push', delta});
    }
  }
}

function startGroup(seed: number): SimulatedNetwork {
  const network = new SimulatedNetwork(new SeededRandom({seed}));
  for (let slot = 0; slot < SIZE; slot++) {
    network.start(slot);
  }
  network.run(24);
  return network;
}

function readyViews(network: SimulatedNetwork): readonly string[] {
  return [...network.vms.values()].map(vm => vm.membership.readyVmIds().join());
}

const ALL_READY = Array.from({length: SIZE}, () => 'e-0,e-1,e-2,e-3,e-4');

const slotArbitrary = fc.nat({max: SIZE - 1});
const stepArbitrary = fc.oneof(
  fc.record({type: fc.constant('replace' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('pause' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('wake' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('leave' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('split' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('cut' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('heal' as const), slot: slotArbitrary}),
  fc.record({type: fc.constant('publish' as const), slot: slotArbitrary}),
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

function applyStep(network: SimulatedNetwork, step: Step): void {
  const vm = network.vms.get(step.slot)!;
  switch (step.type) {
    case 'replace':
      network.replace(step.slot);
      break;
    case 'pause':
      vm.isPaused = true;
      break;
    case 'wake':
      network.wake(vm);
      break;
    case 'leave':
      network.ended.add(ownerIdOf(vm.membership.self));
      vm.membership.setState('leaving');
      break;
    case 'split':
      network.isPartitioned = (a, b) => a < step.slot !== b < step.slot;
      break;
    case 'cut':
      network.isPartitioned = (from, to) =>
        from === step.slot && to === (step.slot + 1) % SIZE;
      break;
    case 'heal':
      network.isPartitioned = () => false;
      break;
    case 'publish': {
      const key = `drain/t${network.random.nextInt(12)}`;
      const value = network.random.nextInt(3);
      vm.membership.publish(key, value === 0 ? '' : String(value));
      break;
    }
  }
}

/** Asserts that no VM lists an ended incarnation as ready again. */
function makeEndedCheck(network: SimulatedNetwork): () => void {
  const seen = new Set<string>();
  return () => {
    for (const {membership} of network.vms.values()) {
      const viewer = ownerIdOf(membership.self);
      for (const member of membership.members()) {
        const ownerId = ownerIdOf(member.incarnation);
        const id = `${viewer} ${ownerId}`;
        if (!network.ended.has(ownerId)) {
          continue;
        }
        if (member.state === 'leaving') {
          seen.add(id);
        }
        assert.ok(!(seen.has(id) && member.state === 'ready'), id);
      }
    }
  };
}

test('views converge and digests hide no fact after any faults', () => {
  // Guards against partitions that never rejoin, ended incarnations that
  // return, and facts or deletions that a digest hides.
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(fc.tuple(stepArbitrary, fc.nat({max: 60})), {maxLength: 12}),
      (seed, steps) => {
        const network = startGroup(seed);
        network.lossShare = 0.2;
        const check = makeEndedCheck(network);
        for (const [step, rounds] of steps) {
          applyStep(network, step);
          network.run(rounds, check);
        }
        network.lossShare = 0;
        network.isPartitioned = () => false;
        for (const vm of [...network.vms.values()]) {
          network.wake(vm);
          if (network.ended.has(ownerIdOf(vm.membership.self))) {
            network.replace(vm.slot);
          }
        }
        network.run(200, check);
        assert.deepEqual(readyViews(network), ALL_READY);
        assertSameFacts(network);
      },
    ),
    {seed: 11, numRuns: 60},
  );
});

/** Asserts that all VMs hold each live owner's facts, heartbeats aside. */
function assertSameFacts(network: SimulatedNetwork): void {
  const stable = (vm: Vm, ownerId: string): unknown =>
    vm.membership
      .factsByPrefix('')
      .filter(fact => fact.ownerId === ownerId && fact.key !== 'heartbeat')
      .map(fact => `${fact.key}=${fact.value}#${fact.sequence}`)
      .sort();
  for (const owner of network.vms.values()) {
    const ownerId = ownerIdOf(owner.membership.self);
    for (const viewer of network.vms.values()) {
      assert.deepEqual(stable(viewer, ownerId), stable(owner, ownerId));
    }
  }
}

test('a silent VM turns suspect, then dead, and ready again on return', () => {
  // Guards against keys that stay with a crashed home VM, and against a paused
  // VM that stays excluded or excludes all others when it resumes.
  const network = startGroup(3);
  const paused = network.vms.get(4)!;
  paused.isPaused = true;
  network.run(16);
  const stateAt0 = (): string | undefined =>
    network.vms
      .get(0)!
      .membership.members()
      .find(member => member.incarnation.vmId === 'e-4')?.state;
  assert.equal(stateAt0(), 'suspect');
  network.run(16);
  assert.equal(stateAt0(), 'dead');
  network.wake(paused);
  assert.equal(paused.membership.readyVmIds().length, SIZE);
  network.run(16);
  assert.deepEqual(readyViews(network), ALL_READY);
});

test('an announced departure takes effect at once and is removed later', () => {
  // Guards against requests to a leaving VM, and against unbounded memory.
  const network = startGroup(4);
  network.changes = [];
  network.vms.get(2)!.membership.setState('leaving');
  network.run(8);
  for (const vm of network.vms.values()) {
    assert.equal(vm.membership.readyVmIds().includes('e-2'), false);
  }
  network.vms.delete(2);
  network.run(300);
  const atFirstVm = network.changes.filter(line => line.startsWith('e-0: '));
  assert.deepEqual(atFirstVm, ['e-0: e-2 leaving true', 'e-0: e-2 dead true']);
  const observer = network.vms.get(0)!.membership;
  assert.equal(observer.members().length, SIZE - 1);
});

test('a VM replaced during its pause detects it and is ready nowhere', () => {
  // Guards against two incarnations that both act as the same VM.
  const network = startGroup(5);
  const old = network.vms.get(3)!;
  old.isPaused = true;
  network.replace(3);
  network.run(30);
  const fresh = network.vms.get(3)!;
  network.vms.set(9, old);
  network.wake(old);
  network.run(30);
  assert.equal(old.membership.replacedBy, ownerIdOf(fresh.membership.self));
  const states = network.vms
    .get(0)!
    .membership.members()
    .filter(member => member.incarnation.vmId === 'e-3')
    .map(member => member.incarnation.bootId);
  assert.deepEqual(states, [fresh.membership.self.bootId]);
  assert.equal(
    old.membership.members()[0]?.state,
    'dead',
    'the replaced VM does not count itself as ready',
  );
});

test('facts of removed and deleted owners do not accumulate', () => {
  // Guards against memory that grows with replacements and deleted facts.
  const network = startGroup(6);
  const observer = network.vms.get(0)!.membership;
  const before = observer.factCount();
  for (let i = 0; i < 8; i++) {
    network.vms.get(1)!.membership.publish(`drain/x${i}`, '1');
    network.run(4);
    network.vms.get(1)!.membership.publish(`drain/x${i}`, '');
    network.replace(4);
    network.run(20);
  }
  network.run(2_800);
  assert.equal(observer.factsByPrefix('drain/').length, 0);
  // The latest declaration of each replaced incarnation may remain.
  assert.ok(observer.factCount() <= before + SIZE, `${observer.factCount()}`);
});

test('a delta that leaves a gap is rejected', () => {
  // Guards against a late push that was meant for an older incarnation.
  const [a, b] = [0, 1].map(
    slot => startGroup(7).vms.get(slot)!.membership,
  ) as [GossipMembership, GossipMembership];
  const fresh = new GossipMembership({
    self: {vmId: 'e-8', bootId: 'x', host: '127.0.0.1', port: 99},
    startMs: 0,
  });
  const ownerId = ownerIdOf(a.self);
  const late = a.deltaFor(new Map([...b.digest(), [shortIdOf(ownerId), 2]]));
  assert.deepEqual(fresh.merge(late, 1), []);
  assert.equal(fresh.digest().has(shortIdOf(ownerId)), false);
});
