/**
 * Cost of membership and gossip by number of VMs: bytes and processor time a
 * second and VM, and rounds until a fact reaches all. Messages are encoded as
 * on the wire but exchanged within the process; HTTP/2 and TCP are not counted.
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
/** Rounds until all know all, and the bytes of a round no longer fall. */
const WARM_UP_ROUNDS = 30;
/** Rounds of up to 32 VMs; larger fleets get fewer, so that the run is short. */
const MEASURED_ROUNDS = 80;
const FULL_ROUNDS_VM_COUNT = 32;
/** Facts whose spread is measured; fewer in larger fleets. */
const PROBE_FACTS = 10;
const LEAST_PROBE_FACTS = 3;

/** Rules of probing and of the engine's fact publisher. */
const RESPONSIBLE_VMS = 3;
const REPORT_INTERVAL_MS = 1_000;

/** Facts with the results of probes; `REPORTS=off` leaves them out. */
const WITH_REPORTS = process.env['REPORTS'] !== 'off';

const TIME = {wallMs: 1_764_800_000_000, counter: 3};

/** Figures of one fleet size. */
interface Figures {
  readonly vmCount: number;
  readonly bytesPerSecond: number;
  readonly microsPerSecond: number;
  readonly meanRounds: number;
  readonly maxRounds: number;
  readonly maxHeartbeatGapMs: number;
}

/** VMs that gossip within this process. */
class Fleet {
  bytes = 0;
  nowMs = 0;
  /** Instant of the next report by VM and target. */
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

  round(): void {
    this.nowMs += ROUND_MS;
    for (const [index, vm] of this.vms.entries()) {
      vm.tick(this.nowMs);
      vm.setOwnState('ready');
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

  /** Publishes what the responsible VMs share of their probes. */
  private publishReports(vm: GossipMembership, index: number): void {
    const share = Math.min(1, RESPONSIBLE_VMS / this.vms.length);
    for (let target = 0; target < TARGET_COUNT; target++) {
      const position = (target * RESPONSIBLE_VMS + index) % this.vms.length;
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
    const request = this.carryRequest('Exchange', {
      time: TIME,
      digest: encodeDigest(vm.digest()),
    });
    const reply = this.carryResponse('Exchange', {
      time: TIME,
      deltas: peer.deltaFor(decodeDigest(request.digest)).map(encodeDelta),
      digest: encodeDigest(peer.missingFrom(decodeDigest(request.digest))),
    });
    vm.merge(decodeAll(reply.deltas), this.nowMs);
    const missing = decodeDigest(reply.digest);
    const deltas = vm.deltaFor(missing, {listedOnly: true});
    if (deltas.length > 0) {
      const push = this.carryRequest('Push', {
        time: TIME,
        deltas: deltas.map(encodeDelta),
      });
      peer.merge(decodeAll(push.deltas), this.nowMs);
      this.carryResponse('Push', {time: TIME});
    }
  }

  private carryRequest<N extends CallName>(
    name: N,
    message: RequestOf<N>,
  ): RequestOf<N> {
    const encoded = methodOf(name).requestSerialize(message);
    this.bytes += encoded.length + FRAME_BYTES;
    return methodOf(name).requestDeserialize(encoded);
  }

  private carryResponse<N extends CallName>(
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

function measure(vmCount: number, seed: number): Figures {
  const fleet = new Fleet(vmCount, new SeededRandom({seed}));
  for (let i = 0; i < WARM_UP_ROUNDS; i++) {
    fleet.round();
  }
  fleet.bytes = 0;
  let maxHeartbeatGapMs = 0;
  let cpuMicros = 0;
  const share = Math.min(1, (FULL_ROUNDS_VM_COUNT / vmCount) ** 2);
  const measuredRounds = Math.max(16, Math.round(MEASURED_ROUNDS * share));
  for (let i = 0; i < measuredRounds; i++) {
    const before = process.cpuUsage();
    fleet.round();
    const {user, system} = process.cpuUsage(before);
    cpuMicros += user + system;
    maxHeartbeatGapMs = Math.max(maxHeartbeatGapMs, heartbeatGapMs(fleet));
  }
  const {bytes} = fleet;
  const seconds = (measuredRounds * ROUND_MS) / 1_000;
  const factCount = Math.max(
    LEAST_PROBE_FACTS,
    Math.round(PROBE_FACTS * share),
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

/** Greatest age of a heartbeat as seen by the first VM. */
function heartbeatGapMs(fleet: Fleet): number {
  const members = fleet.vms[0]?.members() ?? [];
  return Math.max(...members.map(member => fleet.nowMs - member.lastHeardMs));
}

/** Rounds until single facts, published one after another, reach all VMs. */
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
      fleet.round();
      rounds += 1;
    }
    return rounds;
  });
}

function main(): void {
  const seed = Number(process.argv[2] ?? 41);
  console.log(
    `seed ${seed}, ${TARGET_COUNT} targets, round ${ROUND_MS} ms, ` +
      (WITH_REPORTS ? 'with reports of probes' : 'no reports'),
  );
  console.log(
    'VMs  bytes/s (sent+received)  us/s  rounds mean/max  heartbeat gap max ms',
  );
  const sizes = process.argv.slice(3).map(Number);
  const measuredSizes = sizes.length > 0 ? sizes : DEFAULT_SIZES;
  // The first run only warms up the compiler.
  measure(measuredSizes[0] ?? 0, seed);
  const figures = measuredSizes.map(vmCount => {
    const figure = measure(vmCount, seed);
    console.log(
      [
        String(vmCount).padStart(3),
        figure.bytesPerSecond.toFixed(0).padStart(8),
        figure.microsPerSecond.toFixed(0).padStart(6),
        `${figure.meanRounds.toFixed(1)}/${figure.maxRounds}`,
        figure.maxHeartbeatGapMs,
      ].join('  '),
    );
    return figure;
  });
  const bytes = slopeOf(
    figures.map(figure => ({x: figure.vmCount, y: figure.bytesPerSecond})),
  );
  const micros = slopeOf(
    figures.map(figure => ({x: figure.vmCount, y: figure.microsPerSecond})),
  );
  console.log(
    `slope per VM: ${bytes.toFixed(0)} bytes/s, ${micros.toFixed(1)} us/s`,
  );
}

main();
