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
  LoadCountsCodec,
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
  methodOf,
  type CallName,
  type RequestOf,
  type ResponseOf,
} from '../src/peer_grpc/wire.js';

const DEFAULT_SIZES = [6, 12, 24, 32, 64, 128, 256];
const TARGET_COUNT = 26;
const WARM_UP_ROUNDS = 60;
const MEASURED_ROUNDS = 80;
const PROBE_FACTS = 10;

/** Least time between two load facts; unset for the module's own choice. */
const LOAD_INTERVAL = process.env['LOAD_INTERVAL_MS'];

/** Prefix of a gRPC message, in bytes. */
const FRAME_BYTES = 5;

const TIME = {wallMs: 1_764_800_000_000, counter: 3};

/** Figures of one fleet size. */
interface Figures {
  readonly vmCount: number;
  readonly bytesPerSecond: number;
  readonly microsPerSecond: number;
  readonly meanRounds: number;
  readonly maxRounds: number;
  readonly loadAgeMs: number;
  readonly maxHeartbeatGapMs: number;
}

/** VMs that gossip within this process. */
class Fleet {
  bytes = 0;
  nowMs = 0;
  /** Instant of publication by owner and sequence. */
  readonly publishedMs = new Map<string, number>();
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
        ...(LOAD_INTERVAL ? {loadIntervalMs: Number(LOAD_INTERVAL)} : {}),
      });
      vm.addContacts([{host: '10.0.0.1', port: 0}]);
      return vm;
    });
  }

  round(): void {
    this.nowMs += ROUND_MS;
    for (const vm of this.vms) {
      vm.tick(this.nowMs);
      vm.setOwnState('ready');
      publishLoad(vm, this.random);
      const ownerId = ownerIdOf(vm.self);
      const own = vm
        .factsByPrefix('load/')
        .find(fact => fact.ownerId === ownerId);
      const id = `${ownerId} ${own?.sequence ?? 0}`;
      if (!this.publishedMs.has(id)) {
        this.publishedMs.set(id, this.nowMs);
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

const TARGET_IDS = Array.from(
  {length: TARGET_COUNT},
  (_, i) => `t-${String(i).padStart(2, '0')}`,
);
const LOAD_CODEC = new LoadCountsCodec(TARGET_IDS);

/** Publishes the own in-flight count of each target; changes each round. */
function publishLoad(vm: GossipMembership, random: SeededRandom): void {
  const counts = TARGET_IDS.map(id => [id, random.nextInt(4)] as const);
  vm.publish('load/desk', LOAD_CODEC.encode(new Map(counts)));
}

function measure(vmCount: number, seed: number): Figures {
  const fleet = new Fleet(vmCount, new SeededRandom({seed}));
  for (let i = 0; i < WARM_UP_ROUNDS; i++) {
    fleet.round();
  }
  fleet.bytes = 0;
  const gauge = new FreshnessGauge(fleet);
  let cpuMicros = 0;
  for (let i = 0; i < MEASURED_ROUNDS; i++) {
    const before = process.cpuUsage();
    fleet.round();
    const {user, system} = process.cpuUsage(before);
    cpuMicros += user + system;
    gauge.observe();
  }
  const {bytes} = fleet;
  const seconds = (MEASURED_ROUNDS * ROUND_MS) / 1_000;
  const rounds = measureSpread(fleet);
  return {
    vmCount,
    // Each byte is sent by one VM and received by another.
    bytesPerSecond: (2 * bytes) / vmCount / seconds,
    microsPerSecond: cpuMicros / vmCount / seconds,
    meanRounds: rounds.reduce((sum, value) => sum + value, 0) / rounds.length,
    maxRounds: Math.max(...rounds),
    loadAgeMs: gauge.meanLoadAgeMs(),
    maxHeartbeatGapMs: gauge.maxHeartbeatGapMs,
  };
}

/** Ages of load facts and gaps between heartbeats as seen by the first VM. */
class FreshnessGauge {
  maxHeartbeatGapMs = 0;
  private ageSumMs = 0;
  private ageCount = 0;

  constructor(private readonly fleet: Fleet) {}

  observe(): void {
    const {vms, nowMs} = this.fleet;
    const [viewer] = vms;
    const facts = viewer?.factsByPrefix('load/') ?? [];
    for (const {ownerId, sequence} of facts) {
      const id = `${ownerId} ${sequence}`;
      this.ageSumMs += nowMs - (this.fleet.publishedMs.get(id) ?? nowMs);
      this.ageCount += 1;
    }
    for (const {lastHeardMs} of viewer?.members() ?? []) {
      const gapMs = nowMs - lastHeardMs;
      this.maxHeartbeatGapMs = Math.max(this.maxHeartbeatGapMs, gapMs);
    }
  }

  meanLoadAgeMs(): number {
    return this.ageSumMs / this.ageCount;
  }
}

/** Rounds until single facts, published one after another, reach all VMs. */
function measureSpread(fleet: Fleet): readonly number[] {
  return Array.from({length: PROBE_FACTS}, (_, i) => {
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

/** Least-squares slope of y over the number of VMs. */
function slopeOf(
  figures: readonly Figures[],
  valueOf: (figure: Figures) => number,
): number {
  const meanX = mean(figures.map(figure => figure.vmCount));
  const meanY = mean(figures.map(valueOf));
  const covariance = figures.map(
    figure => (figure.vmCount - meanX) * (valueOf(figure) - meanY),
  );
  const variance = figures.map(figure => (figure.vmCount - meanX) ** 2);
  return mean(covariance) / mean(variance);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function main(): void {
  const seed = Number(process.argv[2] ?? 41);
  console.log(
    `seed ${seed}, ${TARGET_COUNT} targets, round ${ROUND_MS} ms, ` +
      `load interval ${LOAD_INTERVAL ?? 'adapted'}`,
  );
  console.log(
    'VMs  bytes/s (sent+received)  us/s  rounds mean/max  ' +
      'mean age of load facts ms  heartbeat gap max ms',
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
        figure.loadAgeMs.toFixed(0),
        figure.maxHeartbeatGapMs,
      ].join('  '),
    );
    return figure;
  });
  const bytes = slopeOf(figures, figure => figure.bytesPerSecond);
  const micros = slopeOf(figures, figure => figure.microsPerSecond);
  console.log(
    `slope per VM: ${bytes.toFixed(0)} bytes/s, ${micros.toFixed(1)} us/s`,
  );
}

main();
