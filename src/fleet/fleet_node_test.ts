import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/index.js';
import {PublishedState, type PublishedDelta} from '../registry/index.js';
import {FleetNode, STALE_AFTER_MS, type Dispatch} from './index.js';

const TICK_MS = 50;
const HOP_MS = 1;

interface Vm {
  readonly host: string;
  readonly node: FleetNode;
  readonly state: PublishedState;
  isUp: boolean;
  /** The store does not answer this VM. */
  isCutFromStore: boolean;
  adoptedMs: Map<number, number>;
}

/** VMs that exchange messages in simulated time, with a store that they read. */
class Fleet {
  readonly vms: Vm[] = [];
  nowMs = 0;
  storeRevision = 1;
  /** Reads of everything from the store. */
  readCount = 0;
  readonly messageCounts = new Map<string, number>();
  private readonly deltas: PublishedDelta[] = [];
  private readonly inTransit: {
    readonly atMs: number;
    readonly to: string;
    readonly run: (vm: Vm) => void;
  }[] = [];

  constructor(domains: readonly string[], perDomain: number) {
    const seeds = domains.map((_, index) => `10.${index}.0.0`);
    domains.forEach((failureDomain, domain) => {
      for (let index = 0; index < perDomain; index += 1) {
        this.add(`10.${domain}.0.${index}`, failureDomain, seeds);
      }
    });
  }

  add(host: string, failureDomain: string, seeds: readonly string[]): Vm {
    const identity = {
      vmId: host,
      bootId: this.vms.length,
      host,
      failureDomain,
      capacityMillicores: 400,
    };
    const random = new SeededRandom({seed: this.vms.length + 1});
    const vm: Vm = {
      host,
      node: new FleetNode({identity, random, startMs: this.nowMs}),
      state: new PublishedState(),
      isUp: true,
      isCutFromStore: false,
      adoptedMs: new Map(),
    };
    vm.node.setSeeds(seeds);
    this.vms.push(vm);
    return vm;
  }

  publish(): number {
    const afterRevision = this.storeRevision;
    this.storeRevision += 1;
    const {storeRevision: revision} = this;
    const change = {type: 'target-removed', revision, targetId: 'x'} as const;
    this.deltas.push({afterRevision, revision, changes: [change]});
    return revision;
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.deliver();
      for (const vm of this.vms.filter(({isUp}) => isUp)) {
        this.sendAll(vm, vm.node.onTick(this.nowMs));
        if (vm.node.shouldRead(this.nowMs)) {
          this.readStore(vm);
        }
      }
      this.deliver();
    }
  }

  private deliver(): void {
    let due = this.takeDue();
    while (due.length > 0) {
      for (const {to, run} of due) {
        const vm = this.vms.find(({host, isUp}) => host === to && isUp);
        if (vm !== undefined) {
          run(vm);
        }
      }
      due = this.takeDue();
    }
  }

  private takeDue(): typeof this.inTransit {
    const due = this.inTransit.filter(({atMs}) => atMs <= this.nowMs);
    const left = this.inTransit.filter(({atMs}) => atMs > this.nowMs);
    this.inTransit.splice(0, this.inTransit.length, ...left);
    return due;
  }

  private sendAll(sender: Vm, dispatches: readonly Dispatch[]): void {
    for (const {hosts, message} of dispatches) {
      const count = this.messageCounts.get(sender.host) ?? 0;
      this.messageCounts.set(sender.host, count + hosts.length);
      for (const to of hosts) {
        const run = (vm: Vm): void => this.receive(vm, sender, message);
        this.inTransit.push({atMs: this.nowMs + HOP_MS, to, run});
      }
    }
  }

  private receive(vm: Vm, sender: Vm, message: Dispatch['message']): void {
    const {news, dispatches} = vm.node.onMessage(message, this.nowMs);
    this.sendAll(vm, dispatches);
    if (news.delta !== undefined) {
      this.offer(vm, news.delta, false);
    }
    if (news.isSenderAhead) {
      vm.state.offerSnapshot(sender.state.snapshot(), this.nowMs);
      this.adopted(vm);
    }
  }

  private offer(vm: Vm, delta: PublishedDelta, isOwnRead: boolean): void {
    if (vm.state.offerDelta(delta, this.nowMs) === 'advanced') {
      this.adopted(vm);
      const {nowMs} = this;
      this.sendAll(vm, vm.node.passOn(delta, {isOwnRead, nowMs}));
    }
  }

  private adopted(vm: Vm): void {
    vm.node.setRevision(vm.state.revision);
    vm.node.setState('ready');
    if (!vm.adoptedMs.has(vm.state.revision)) {
      vm.adoptedMs.set(vm.state.revision, this.nowMs);
    }
  }

  private readStore(vm: Vm): void {
    vm.node.setReadFailing(vm.isCutFromStore);
    if (vm.isCutFromStore) {
      return;
    }
    if (vm.state.revision === 0) {
      this.readCount += 1;
      const {storeRevision: revision} = this;
      vm.state.offerSnapshot(
        {revision, routes: undefined, targets: []},
        this.nowMs,
      );
      this.adopted(vm);
    }
    for (const delta of this.deltas) {
      if (delta.revision > vm.state.revision) {
        this.offer(vm, delta, true);
      }
    }
    vm.node.onConfirmed(this.nowMs);
  }
}

const DOMAINS = ['a', 'b', 'c'];

function lateness(fleet: Fleet, revision: number, publishedMs: number): number {
  const delays = fleet.vms
    .filter(({isUp}) => isUp)
    .map(({adoptedMs}) => (adoptedMs.get(revision) ?? Infinity) - publishedMs);
  return Math.max(...delays);
}

/** Publishes a change and returns when the last VM has adopted it. */
function spread(fleet: Fleet): number {
  const publishedMs = fleet.nowMs;
  const revision = fleet.publish();
  fleet.run(3_000);
  return lateness(fleet, revision, publishedMs);
}

test('two VMs read in a calm fleet of any size, and all learn at once', () => {
  // Guards against reads of the store that grow with the fleet.
  for (const perDomain of [2, 8, 40]) {
    const fleet = new Fleet(DOMAINS, perDomain);
    fleet.run(6_000);
    const reading = fleet.vms.filter(({node}) => node.shouldRead(fleet.nowMs));
    assert.equal(reading.length, 2);
    assert.ok(spread(fleet) <= 200);
    for (const {node} of fleet.vms) {
      assert.equal(node.fleetSize(fleet.nowMs), perDomain * DOMAINS.length);
    }
  }
});

test('when all VMs start at once, only the seeds read everything', () => {
  // Guards against a store that is asked by every VM after a loss of power.
  const fleet = new Fleet(DOMAINS, 40);
  fleet.run(1_500);
  assert.ok(fleet.readCount <= DOMAINS.length, `${fleet.readCount} reads`);
  assert.ok(fleet.vms.every(({state}) => state.revision > 0));
});

test('a VM whose seeds are all gone reads for itself', () => {
  // Guards against a VM that waits for seeds that will not answer.
  const fleet = new Fleet(['a'], 1);
  const lonely = fleet.add('10.9.0.1', 'a', ['10.8.0.1', '10.8.0.2']);
  fleet.run(1_000);
  assert.ok(lonely.state.revision > 0);
});

test('the messages of a member do not grow with the fleet', () => {
  // Guards against control cost that grows with the fleet.
  const perSecond = (perDomain: number): number => {
    const fleet = new Fleet(DOMAINS, perDomain);
    fleet.run(6_000);
    fleet.messageCounts.clear();
    fleet.run(10_000);
    const members = fleet.vms.filter(({node}) => !node.isHead);
    const counts = members.map(({host}) => fleet.messageCounts.get(host) ?? 0);
    return Math.max(...counts) / 10;
  };
  assert.equal(perSecond(5), perSecond(40));
});

const FAULTS: readonly (readonly [string, (reader: Vm) => void])[] = [
  ['are killed', vm => void (vm.isUp = false)],
  ['lose the store', vm => void (vm.isCutFromStore = true)],
];

for (const [name, strike] of FAULTS) {
  test(`changes arrive within 2 s after both readers ${name}`, () => {
    // Guards against requests at a leaving target for want of a reader.
    const fleet = new Fleet(DOMAINS, 6);
    fleet.run(6_000);
    fleet.vms.filter(({node}) => node.isReader).forEach(strike);
    assert.ok(spread(fleet) <= 2_000);
    fleet.run(4_000);
    assert.ok(spread(fleet) <= 300);
  });
}

test('a VM cut off from its peers reads for itself, then stops', () => {
  // Guards against a VM that trusts old news because nobody contradicts.
  const fleet = new Fleet(DOMAINS, 6);
  fleet.run(6_000);
  const lonely = fleet.vms.find(({node}) => !node.isHead);
  assert.ok(lonely !== undefined);
  const others = fleet.vms.filter(vm => vm !== lonely);
  others.forEach(vm => (vm.isUp = false));
  fleet.run(STALE_AFTER_MS + 900);
  assert.ok(lonely.node.shouldRead(fleet.nowMs));
  assert.ok(lonely.node.confirmationAgeMs(fleet.nowMs) < 200);
  others.forEach(vm => (vm.isUp = true));
  fleet.run(6_000);
  assert.ok(!lonely.node.shouldRead(fleet.nowMs));
});

test('a VM that joins through one seed is known to its heads', () => {
  // Guards against replacements that nobody sends changes to.
  const fleet = new Fleet(DOMAINS, 4);
  fleet.run(6_000);
  const joined = fleet.add('10.1.0.99', 'b', ['10.2.0.0']);
  fleet.run(1_500);
  assert.ok(joined.state.revision > 0);
  assert.ok(spread(fleet) <= 300);
  assert.equal(fleet.vms[0]?.node.fleetSize(fleet.nowMs), 13);
});

test('a failure domain without its heads finds new ones', () => {
  // Guards against members that go on turning to VMs that are gone.
  const fleet = new Fleet(DOMAINS, 6);
  fleet.run(6_000);
  const heads = fleet.vms.filter(({node}) => node.isHead);
  assert.equal(heads.length, 6);
  heads.forEach(vm => (vm.isUp = false));
  fleet.run(4_000);
  const next = fleet.vms.filter(({isUp, node}) => isUp && node.isHead);
  assert.equal(next.length, 6);
  assert.ok(spread(fleet) <= 400);
});

test('the fleet counts as large until spent budgets have expired', () => {
  // Guards against shares that grow as soon as VMs are gone.
  const fleet = new Fleet(DOMAINS, 6);
  fleet.run(6_000);
  fleet.vms.slice(0, 9).forEach(vm => (vm.isUp = false));
  fleet.run(8_000);
  const last = fleet.vms.at(-1);
  assert.equal(last?.node.fleetSize(fleet.nowMs), 18);
  fleet.run(10_000);
  assert.equal(last?.node.fleetSize(fleet.nowMs), 9);
});
