import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import {FleetNode, type FleetMessage} from '../fleet/index.js';
import {RequestGrants, TargetLimits} from '../limits/index.js';
import {LoadBoard} from '../load/index.js';
import {decodeMessage, encodeMessage} from '../peer_datagram/index.js';
import {FingerprintQuarantine} from '../recovery/index.js';
import {PublishedState} from '../registry/index.js';
import {knownTarget, registeredTarget} from '../registry/target_fixture.js';
import {TargetReachability} from '../relay/index.js';
import {LimitSharing} from './limit_sharing.js';
import {LoadSharing} from './load_sharing.js';

/** Inputs per run; FUZZ_RUNS sets more for a long run by hand. */
const RUN_COUNT = Number(process.env['FUZZ_RUNS'] ?? 3_000);

const SENDER = {
  vmId: 'front-a-1',
  bootId: 7,
  host: '10.0.0.9',
  failureDomain: 'a',
  capacityMillicores: 400,
  state: 'ready',
  isReadFailing: false,
  reachesTargets: true,
  ageMs: 0,
} as const;

const POSITION = {era: 1, revision: 3, ageMs: 40, digest: 'd'};

const MESSAGES: readonly FleetMessage[] = [
  {
    type: 'heartbeat',
    sender: SENDER,
    position: POSITION,
    members: [{...SENDER, host: '10.0.0.8', ageMs: 90}],
    domainSize: 2,
    fleetSize: 6,
    quarantineDigest: 77,
  },
  {
    type: 'changes',
    sender: SENDER,
    position: POSITION,
    delta: {
      afterEra: 1,
      afterRevision: 2,
      era: 1,
      revision: 3,
      changes: [
        {type: 'target', revision: 3, target: registeredTarget('x')},
        {type: 'target-removed', revision: 3, targetId: 'y'},
        {type: 'target-missing', revision: 3, targetId: 'z'},
      ],
    },
  },
  {
    type: 'load',
    sender: SENDER,
    reports: [
      {
        targetId: 'x',
        running: 1,
        waiting: 2,
        slots: 6,
        slowness: 1.5,
        ageMs: 30,
        failureShare: 0.25,
        isReachable: true,
      },
    ],
  },
  {
    type: 'outcomes',
    sender: SENDER,
    outcomes: [{targetId: 'x', answeredCount: 3, failedCount: 1}],
    implications: [{fingerprint: 'f', targetId: 'x', remainingMs: 9_000}],
    clearedFingerprints: ['g'],
  },
  {
    type: 'drain-notices',
    sender: SENDER,
    notices: [{targetId: 'x', startedMs: 1, ageMs: 40}],
  },
  {
    type: 'limit-report',
    sender: SENDER,
    reporterPeak: {count: 6, ageMs: 50},
    limits: [{targetId: 'x', perSecond: 4.2, ageMs: 30}],
    demands: [{targetId: 'x', demand: 7.5, lapsedCount: 1}],
  },
  {
    type: 'limit-grants',
    sender: SENDER,
    reporterPeak: {count: 6, ageMs: 50},
    validMs: 1_600,
    limits: [{targetId: 'x', perSecond: 4.2, ageMs: 30}],
    grants: [{targetId: 'x', count: 2}],
  },
];

interface Mutation {
  readonly position: number;
  readonly byte: number;
}

const mutations = fc.array(
  fc.record({
    position: fc.nat({max: 400}),
    byte: fc.nat({max: 255}),
  }),
  {minLength: 1, maxLength: 6},
);

function mutate(
  bytes: Uint8Array,
  changes: readonly Mutation[],
  keptShare: number,
): Uint8Array {
  const length = Math.ceil(bytes.length * keptShare);
  const mutated = Uint8Array.from(bytes.subarray(0, length));
  for (const {position, byte} of changes) {
    mutated[position % Math.max(1, length)] = byte;
  }
  return mutated;
}

/** Checks that a message grants no more than a limit allows in its validity. */
function assertWithinLimit(limits: TargetLimits, grants: RequestGrants): void {
  const perSecond = limits.limitOf('x');
  if (perSecond === undefined || perSecond > 1_000) {
    return;
  }
  // The first requests after a limit was named need no grant.
  grants.mayBeSent('x', 1_050);
  let count = 0;
  while (grants.mayBeSent('x', 1_500)) {
    grants.onSent('x', 1_500);
    count += 1;
    assert.ok(count <= perSecond * 2 + 2, `${count} at ${perSecond} a second`);
  }
}

/** Checks that a VM which received a message can still divide its budgets. */
function assertUsable(message: FleetMessage): void {
  const identity = {...SENDER, vmId: 'self', host: '10.0.0.1'};
  const fleet = new FleetNode({
    identity,
    random: new SeededRandom({seed: 1}),
    startMs: 0,
  });
  const board = new LoadBoard({failureDomain: 'a'});
  board.syncTargets(new Map([['x', knownTarget('x')]]));
  const quarantine = new FingerprintQuarantine({quarantineTargetCount: 3});
  const sharing = new LoadSharing({
    host: identity.host,
    failureDomain: 'a',
    fleet,
    board,
    quarantine,
    reachability: new TargetReachability(),
    maxProbesPerSecond: 60,
    linkMbitPerSecond: 100,
  });
  const {update} = fleet.onMessage(message, 1_000);
  const limits = new TargetLimits();
  const grants = new RequestGrants(limits);
  const limitSharing = new LimitSharing({
    host: identity.host,
    failureDomain: 'a',
    fleet,
    board,
    limits,
    grants,
    actsAsHead: () => true,
  });
  sharing.onMessage(message, 1_000);
  limitSharing.onMessage(message, 1_000);
  if (update.delta !== undefined) {
    new PublishedState().offerDelta(update.delta, 1_000);
  }
  fleet.onTick(1_050);
  sharing.onTick(new Map(), 1_050);
  const targets = new Map([['x', knownTarget('x')]]);
  for (const {message: sent} of limitSharing.onTick(targets, 1_050)) {
    assert.ok(decodeMessage(encodeMessage(sent)).isOk());
  }
  assertWithinLimit(limits, grants);
  const size = fleet.fleetSize(1_050);
  assert.ok(size >= 1 && size <= 100_000, `fleet size ${size}`);
  assert.ok(fleet.confirmationAgeMs(1_050) >= 0);
  const options = {service: 's', workMs: 100, excludedTargetIds: []};
  for (const {durationMs, failureShare} of board.forecasts(options, 1_050)) {
    assert.ok(Number.isFinite(durationMs) && durationMs > 0);
    assert.ok(failureShare >= 0 && failureShare <= 1);
  }
}

test('a mutated datagram is rejected or leaves the VM usable', () => {
  // Guards against one malformed message that ends a process or its budgets.
  fc.assert(
    fc.property(
      fc.constantFrom(...MESSAGES),
      mutations,
      fc.constantFrom(1, 1, 1, 0.9, 0.4),
      (message, changes, keptShare) => {
        const bytes = mutate(encodeMessage(message), changes, keptShare);
        const decoded = decodeMessage(bytes);
        if (decoded.isOk()) {
          assertUsable(decoded.value);
        }
      },
    ),
    {seed: 19, numRuns: RUN_COUNT},
  );
});

test('arbitrary bytes are rejected or leave the VM usable', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 300}), bytes => {
      const decoded = decodeMessage(bytes);
      if (decoded.isOk()) {
        assertUsable(decoded.value);
      }
    }),
    {seed: 20, numRuns: RUN_COUNT},
  );
});
