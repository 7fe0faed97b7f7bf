/**
 * Measures the cost of gossip membership by number of VMs: bytes and processor
 * time per second and VM, and rounds until a fact reaches all VMs. Messages are
 * encoded as on the wire but exchanged within the process; HTTP/2 and TCP are
 * not counted.
 *
 * Usage: node dist/bench/membership_cost.js [seed [sizes...]]
 *
 * @packageDocumentation
 */
import {SeededRandom} from '../src/core/index.js';
import {
  GossipMembership,
  ownerIdOf,
  ROUND_MS,
  shortIdOf,
  type OwnerDelta,
} from '../src/membership/index.js';
import {
  decodeDelta,
  decodeDigest,
  encodeDelta,
  encodeDigest,
} from '../src/peer_grpc/codec.js';
import {
  FRAME_BYTES,
  methodOf,
  type CallName,
  type RequestOf,
  type ResponseOf,
} from '../src/peer_grpc/wire.js';
import {slopeOf} from './slope.js';

const DEFAULT_SIZES = [6, 12, 24, 32, 64, 128, 256];
const TARGET_COUNT = 26;
/** Rounds until membership is complete and the bytes per round are stable. */
const WARM_UP_ROUNDS = 30;
/** Rounds for up to 32 VMs; fewer for larger fleets, to keep the run short. */
const MEASURED_ROUNDS = 80;
const FULL_ROUNDS_VM_COUNT = 32;
/** Facts whose dissemination is measured; fewer for larger fleets. */
const SPREAD_FACT_COUNT = 10;
const MIN_SPREAD_FACT_COUNT = 3;

/** Same values as in probing and in the engine's fact publisher. */
const RESPONSIBLE_VM_COUNT = 3;
const REPORT_INTERVAL_MS = 1_000;

/** Whether VMs publish probe results; `REPORTS=off` disables it. */
const WITH_REPORTS = process.env['REPORTS'] !== 'off';

const TIME = {wallMs: 1_764_800_000_000, counter: 3};

/** Cost of membership in a fleet of one size. */
interface FleetCost {
  readonly vmCount: number;
  readonly bytesPerSecond: number;
  readonly microsPerSecond: number;
  readonly meanRounds: number;
  readonly maxRounds: number;
  readonly maxHeartbeatGapMs: number;
}

/** VMs that gossip within one process. */
class Fleet {
  bytes = 0;
  nowMs = 0;
  /** Due time of the next report by VM and target. */
  private readonly reportDueMs = new Map<string, number>();
  readonly vms: readonly GossipMembership[];

  constructor(
    vmCount: number,
    readonly random: SeededRandom,
  ) {
    this.vms = Array.from({length: vmCount}, (_, i) => {
      const vm = new GossipMembership({
        self: {
          vmId: `e-${String(i).padStart(3, '0')}`,
          bootId: Math.floor(random.nextFloat() * 2 ** 32).toString(16),
          host: '10.0.0.1',
          port: i,
        },
        startMs: 0,
      });
      vm.addContacts([{host: '10.0.0.1', port: 0}]);
      return vm;
    });
  }

  runRound(): void {
    this.nowMs += ROUND_MS;
    for (const [index, vm] of this.vms.entries()) {
      vm.tick(this.nowMs);
      vm.setState('ready');
      if (WITH_REPORTS) {
        this.publishReports(vm, index);
      }
    }
    const first = this.random.nextInt(this.vms.length);
    for (let i = 0; i < this.vms.length; i++) {
      const vm = this.vms[(first + i) % this.vms.length];
      const port = vm?.nextPeer(this.random)?.port;
      const peer = port === undefined ? undefined : this.vms[port];
      if (vm !== undefined && peer !== undefined) {
        this.exchange(vm, peer);
      }
    }
  }

  /** Publishes probe results for the targets that a VM is responsible for. */
  private publishReports(vm: GossipMembership, index: number): void {
    const share = Math.min(1, RESPONSIBLE_VM_COUNT / this.vms.length);
    for (let target = 0; target < TARGET_COUNT; target++) {
      const position =
        (target * RESPONSIBLE_VM_COUNT + index) % this.vms.length;
      const id = `${vm.self.vmId} ${target}`;
      const dueMs = this.reportDueMs.get(id) ?? this.random.nextFloat() * 1_000;
      if (position < share * this.vms.length && this.nowMs >= dueMs) {
        const report = [this.random.nextInt(7), this.random.nextInt(ROUND_MS)];
        const name = String(target).padStart(2, '0');
        vm.publish(`report/t-${name}`, JSON.stringify(report));
        this.reportDueMs.set(id, this.nowMs + REPORT_INTERVAL_MS);
      } else {
        this.reportDueMs.set(id, dueMs);
      }
    }
  }

  private exchange(vm: GossipMembership, peer: GossipMembership): void {
    const request = this.transferRequest('Exchange', {
      time: TIME,
      digest: encodeDigest(vm.digest()),
    });
    const reply = this.transferResponse('Exchange', {
      time: TIME,
      deltas: peer.deltaFor(decodeDigest(request.digest)).map(encodeDelta),
      digest: encodeDigest(peer.missingFrom(decodeDigest(request.digest))),
    });
    vm.merge(decodeAll(reply.deltas), this.nowMs);
    const missing = decodeDigest(reply.digest);
    const deltas = vm.deltaFor(missing, {listedOnly: true});
    if (deltas.length > 0) {
      const push = this.transferRequest('Push', {
        time: TIME,
        deltas: deltas.map(encodeDelta),
      });
      peer.merge(decodeAll(push.deltas), this.nowMs);
      this.transferResponse('Push', {time: TIME});
    }
  }

  private transferRequest<N extends CallName>(
    name: N,
    message: RequestOf<N>,
  ): RequestOf<N> {
    const encoded = methodOf(name).requestSerialize(message);
    this.bytes += encoded.length + FRAME_BYTES;
    return methodOf(name).requestDeserialize(encoded);
  }

  private transferResponse<N extends CallName>(
    name: N,
    message: ResponseOf<N>,
  ): ResponseOf<N> {
    const encoded = methodOf(name).responseSerialize(message);
    this.bytes += encoded.length + FRAME_BYTES;
    return methodOf(name).responseDeserialize(encoded);
  }
}

function decodeAll(
  deltas: ResponseOf<'Exchange'>['deltas'],
): readonly OwnerDelta[] {
  return deltas.map(decodeDelta);
}

function measure(vmCount: number, seed: number): FleetCost {
  const fleet = new Fleet(vmCount, new SeededRandom({seed}));
  for (let i = 0; i < WARM_UP_ROUNDS; i++) {
    fleet.runRound();
  }
  fleet.bytes = 0;
  let maxHeartbeatGapMs = 0;
  let cpuMicros = 0;
  const share = Math.min(1, (FULL_ROUNDS_VM_COUNT / vmCount) ** 2);
  const measuredRounds = Math.max(16, Math.round(MEASURED_ROUNDS * share));
  for (let i = 0; i < measuredRounds; i++) {
    const before = process.cpuUsage();
    fleet.runRound();
    const {user, system} = process.cpuUsage(before);
    cpuMicros += user + system;
    maxHeartbeatGapMs = Math.max(maxHeartbeatGapMs, heartbeatGapMs(fleet));
  }
  const {bytes} = fleet;
  const seconds = (measuredRounds * ROUND_MS) / 1_000;
  const factCount = Math.max(
    MIN_SPREAD_FACT_COUNT,
    Math.round(SPREAD_FACT_COUNT * share),
  );
  const rounds = measureSpread(fleet, factCount);
  return {
    vmCount,
    // Each byte is sent by one VM and received by another.
    bytesPerSecond: (2 * bytes) / vmCount / seconds,
    microsPerSecond: cpuMicros / vmCount / seconds,
    meanRounds: rounds.reduce((sum, value) => sum + value, 0) / rounds.length,
    maxRounds: Math.max(...rounds),
    maxHeartbeatGapMs,
  };
}

/** Returns the maximum age of a heartbeat as seen by the first VM. */
function heartbeatGapMs(fleet: Fleet): number {
  const members = fleet.vms[0]?.members() ?? [];
  return Math.max(...members.map(member => fleet.nowMs - member.lastHeardMs));
}

/** Measures the rounds until each of several facts reaches all VMs. */
function measureSpread(fleet: Fleet, factCount: number): readonly number[] {
  return Array.from({length: factCount}, (_, i) => {
    const owner = fleet.vms[i % fleet.vms.length];
    if (owner === undefined) {
      return 0;
    }
    owner.publish(`quarantine/${i}`, '1');
    const shortId = shortIdOf(ownerIdOf(owner.self));
    const sequence = owner.digest().get(shortId) ?? 0;
    const lacksFact = (vm: GossipMembership): boolean =>
      (vm.digest().get(shortId) ?? 0) < sequence;
    let rounds = 0;
    while (fleet.vms.some(lacksFact)) {
      fleet.runRound();
      rounds += 1;
    }
    return rounds;
  });
}

function main(): void {
  const seed = Number(process.argv[2] ?? 41);
  console.log(
    `seed ${seed}, ${TARGET_COUNT} targets, round ${ROUND_MS} ms, ` +
      (WITH_REPORTS ? 'with probe reports' : 'no probe reports'),
  );
  console.log(
    'VMs  bytes/s (sent+received)  us/s  rounds mean/max  heartbeat gap max ms',
  );
  const sizes = process.argv.slice(3).map(Number);
  const measuredSizes = sizes.length > 0 ? sizes : DEFAULT_SIZES;
  // The first run only warms up the compiler.
  measure(measuredSizes[0] ?? 0, seed);
  const costs = measuredSizes.map(vmCount => {
    const cost = measure(vmCount, seed);
    console.log(
      [
        String(vmCount).padStart(3),
        cost.bytesPerSecond.toFixed(0).padStart(8),
        cost.microsPerSecond.toFixed(0).padStart(6),
        `${cost.meanRounds.toFixed(1)}/${cost.maxRounds}`,
        cost.maxHeartbeatGapMs,
      ].join('  '),
    );
    return cost;
  });
  const bytes = slopeOf(
    costs.map(cost => ({x: cost.vmCount, y: cost.bytesPerSecond})),
  );
  const micros = slopeOf(
    costs.map(cost => ({x: cost.vmCount, y: cost.microsPerSecond})),
  );
  console.log(
    `slope per VM: ${bytes.toFixed(0)} bytes/s, ${micros.toFixed(1)} us/s`,
  );
}

main();
