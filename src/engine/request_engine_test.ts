import assert from 'node:assert/strict';
import {test} from 'node:test';
import {longLaneTargets} from '../limits/index.js';
import type {Fact} from '../membership/index.js';
import {
  fixtureEngine,
  fixturePreset,
  fixtureRequest,
  fixtureTargets,
  readyEngine,
} from './engine_fixture.js';
import type {
  AttemptSignal,
  CallerRequest,
  Effect,
  RequestEngine,
} from './index.js';

type EffectOf<T extends Effect['type']> = Extract<Effect, {type: T}>;

function findEffect<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): EffectOf<T> {
  const found = effects.find(
    (effect): effect is EffectOf<T> => effect.type === type,
  );
  assert.ok(found, `no effect ${type} in ${JSON.stringify(effects)}`);
  return found;
}

function refusalText(effects: readonly Effect[]): string {
  const {outcome} = findEffect(effects, 'respond');
  assert.equal(outcome.type, 'refusal');
  return outcome.type === 'refusal'
    ? `${outcome.status} ${outcome.verdict} ${outcome.reason}`
    : '';
}

const ok: AttemptSignal = {
  type: 'response',
  status: 200,
  refused: false,
  draining: false,
  inFlight: undefined,
};
const refused: AttemptSignal = {...ok, status: 503, refused: true};
const crashed: AttemptSignal = {type: 'lost', crashed: true};
/** Adjacent seeds yield similar first random numbers, so seeds are spread. */
const SEED_STEP = 418_916_003;
const booking = {path: '/book', idempotencyKey: 'k1', attempt: 1};

function drainFact(targetId: string): Fact {
  const value = '{"signal":"probe"}';
  return {ownerId: 'e-02/b1', key: `drain/${targetId}`, value, sequence: 1};
}

/** Sends a request, signals `sent` and returns the token of the attempt. */
function sendOne(
  engine: RequestEngine,
  requestId: string,
  fields: Parameters<typeof fixtureRequest>[1],
  nowMs: number,
): string {
  const request = fixtureRequest(requestId, fields);
  const {token} = findEffect(engine.onRequest(request, nowMs), 'send');
  engine.onAttemptSignal(token, {type: 'sent'}, nowMs);
  return token;
}

test('a request is sent and its response is forwarded', () => {
  // Guards against a response that never reaches its caller.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const token = sendOne(engine, 'r1', {}, 1);
  const respond = findEffect(engine.onAttemptSignal(token, ok, 5), 'respond');
  assert.deepEqual(respond.outcome, {type: 'response', token});
  assert.equal(engine.inFlightCount(), 0);
});

test('a server error that is not a refusal is forwarded', () => {
  // Guards against a retry of work that ran and ended with an error.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const token = sendOne(engine, 'r1', {path: '/book'}, 1);
  const effects = engine.onAttemptSignal(token, {...ok, status: 503}, 5);
  assert.equal(findEffect(effects, 'respond').outcome.type, 'response');
});

test('requests that cannot be routed are refused as not-run', () => {
  // Guards against requests without preset, service, kind or target that hang.
  const unready = fixtureEngine(1);
  const early = unready.onRequest(fixtureRequest('r0'), 0);
  assert.equal(refusalText(early), '503 not-run not-ready');
  const engine = readyEngine({seed: 1, targetCount: 0, nowMs: 0});
  const refusalFor = (fields: Parameters<typeof fixtureRequest>[1]) =>
    refusalText(engine.onRequest(fixtureRequest('r1', fields), 0));
  assert.equal(refusalFor({service: 'x'}), '404 not-run unknown-service');
  assert.equal(refusalFor({path: '/x'}), '404 not-run unknown-kind');
  assert.equal(refusalFor({deadlineMs: 0}), '504 not-run deadline');
  assert.equal(refusalFor({}), '503 not-run no-target');
});

test('a request that a target refuses is sent to another target', () => {
  // Guards against callers that receive the refusal of a draining target.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const first = findEffect(engine.onRequest(fixtureRequest('r1'), 1), 'send');
  engine.onAttemptSignal(first.token, {type: 'sent'}, 1);
  const second = findEffect(
    engine.onAttemptSignal(first.token, refused, 2),
    'send',
  );
  assert.notEqual(second.targetId, first.targetId);
});

test('a lost booking is not retried and its claim is settled', () => {
  // Guards against a booking that runs twice (I4).
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const {claim, homeVmId} = findEffect(
    engine.onRequest(fixtureRequest('r1', booking), 1),
    'claim',
  );
  const granted = {token: claim.token, answer: {type: 'granted'}} as const;
  const sent = findEffect(engine.onClaimReply(granted, 2), 'send');
  assert.equal(sent.freshness, 'proven');
  engine.onAttemptSignal(sent.token, {type: 'sent'}, 2);
  const lost = {type: 'lost', crashed: false} as const;
  const effects = engine.onAttemptSignal(sent.token, lost, 3);
  assert.equal(refusalText(effects), '502 may-have-run connection-lost');
  const settle = findEffect(effects, 'settle');
  assert.equal(settle.homeVmId, homeVmId);
  assert.equal(settle.settlement.verdict, 'may-have-run');
});

test('a denied claim yields the refusal for its answer', () => {
  // Guards against a false not-run for a resent copy that already ran (I3).
  const cases = [
    ['ran', 2, '409 ran already-ran'],
    ['running', 2, '409 may-have-run already-running'],
    ['may-have-run', 2, '409 may-have-run possibly-ran'],
    ['mismatch', 1, '422 not-run key-mismatch'],
    ['unreachable', 1, '503 not-run home-unreachable'],
    ['unreachable', 2, '409 may-have-run home-unreachable'],
    ['unreachable', undefined, '409 may-have-run home-unreachable'],
    ['not-home', 1, '503 not-run home-unreachable'],
  ] as const;
  for (const [type, attempt, expected] of cases) {
    const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
    const request = fixtureRequest('r1', {...booking, attempt});
    const {claim} = findEffect(engine.onRequest(request, 1), 'claim');
    const effects = engine.onClaimReply(
      {token: claim.token, answer: {type}},
      2,
    );
    assert.equal(refusalText(effects), expected);
    const isSettled = effects.some(effect => effect.type === 'settle');
    assert.equal(isSettled, type === 'unreachable');
    assert.equal(engine.inFlightCount(), 0);
  }
});

test('a sent booking runs to its end after its caller disconnects', () => {
  // Guards against a claim without a verdict because its caller disconnected.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const {claim} = findEffect(
    engine.onRequest(fixtureRequest('r1', booking), 1),
    'claim',
  );
  const granted = {token: claim.token, answer: {type: 'granted'}} as const;
  const {token} = findEffect(engine.onClaimReply(granted, 2), 'send');
  engine.onAttemptSignal(token, {type: 'sent'}, 2);
  assert.deepEqual(engine.onCallerGone('r1', 3), []);
  const effects = engine.onAttemptSignal(token, ok, 9);
  assert.equal(findEffect(effects, 'settle').settlement.verdict, 'ran');
  assert.equal(effects.length, 1);

  const read = sendOne(engine, 'r2', {}, 10);
  assert.equal(findEffect(engine.onCallerGone('r2', 11), 'cancel').token, read);
  assert.equal(engine.inFlightCount(), 0);
});

test('a request that crashes two targets is quarantined', () => {
  // Guards against one request that crashes one target after another.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  crashTwice(engine, () => ({fingerprint: 'bad'}));
  assert.equal(
    refusalText(
      engine.onRequest(fixtureRequest('r3', {fingerprint: 'bad'}), 3),
    ),
    '422 may-have-run quarantined',
  );
});

test('a request that crashes two targets does not pass by another query', () => {
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const copy = (index: number): Partial<CallerRequest> => ({
    fingerprint: `query-${index}`,
    resourceFingerprint: 'bad',
  });
  crashTwice(engine, copy);
  assert.equal(
    refusalText(engine.onRequest(fixtureRequest('r3', copy(3)), 3)),
    '422 may-have-run quarantined',
  );
});

test('a server error does not clear a request that crashes targets', () => {
  const engine = readyEngine({seed: 1, targetCount: 3, nowMs: 0});
  const bad = {fingerprint: 'bad'};
  crashTwice(
    engine,
    () => bad,
    () => {
      const request = fixtureRequest('r9', bad);
      const {token} = findEffect(engine.onRequest(request, 0), 'send');
      engine.onAttemptSignal(token, {type: 'sent'}, 0);
      engine.onAttemptSignal(token, {...ok, status: 500}, 0);
    },
  );
  assert.equal(
    refusalText(engine.onRequest(fixtureRequest('r3', bad), 3)),
    '422 may-have-run quarantined',
  );
});

/** Sends two requests, each of which crashes the target that it is sent to. */
function crashTwice(
  engine: RequestEngine,
  fields: (index: number) => Partial<CallerRequest>,
  between: () => void = () => undefined,
): void {
  const outcomes = ['r1', 'r2'].map((requestId, index) => {
    if (index > 0) {
      between();
    }
    const request = fixtureRequest(requestId, fields(index));
    const {token, targetId} = findEffect(
      engine.onRequest(request, index),
      'send',
    );
    engine.onAttemptSignal(token, {type: 'sent'}, index);
    engine.onPeerFact(drainFact(targetId), index);
    return refusalText(engine.onAttemptSignal(token, crashed, index));
  });
  assert.deepEqual(outcomes, [
    '502 may-have-run connection-lost',
    '502 may-have-run connection-lost',
  ]);
}

test('an attempt that expires during a pause is cancelled, not sent', () => {
  // Guards against a process that resumes and sends an expired request.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const {token} = findEffect(
    engine.onRequest(fixtureRequest('r1', {path: '/book'}), 1),
    'send',
  );
  const effects = engine.onAttemptSignal(token, {type: 'sent'}, 60_000);
  assert.equal(findEffect(effects, 'cancel').token, token);
  assert.equal(refusalText(effects), '504 not-run deadline');
});

test('a preset switch keeps drain flags', () => {
  // Guards against a preset that sends requests to a draining target (I5).
  const engine = readyEngine({seed: 1, targetCount: 1, nowMs: 0});
  engine.onPeerFact(drainFact('t-1'), 1);
  engine.applyPreset(fixturePreset({}, 'peak'), 1);
  const effects = engine.onRequest(fixtureRequest('r1'), 2);
  assert.equal(refusalText(effects), '503 not-run no-target');
});

test('facts are published on change, and reports at a bounded rate', () => {
  // Guards against gossip that grows with the rate of ticks or probes.
  const engine = readyEngine({seed: 1, targetCount: 1, nowMs: 0});
  const publishOnTick = (nowMs: number) =>
    engine
      .onTick(nowMs)
      .filter(effect => effect.type === 'publish')
      .map(effect => `${effect.key}=${effect.value}`);
  const measure = (inFlight: number, measuredMs: number) => {
    const targetId = 't-1';
    const report = {targetId, inFlight, draining: false, measuredMs};
    engine.onReport('desk', {...report, source: 'probe'}, measuredMs);
  };
  measure(1, 5);
  assert.deepEqual(publishOnTick(10), ['report/t-1=[1,5]']);
  assert.deepEqual(publishOnTick(20), []);
  assert.deepEqual(publishOnTick(260), []);
  measure(2, 300);
  assert.deepEqual(publishOnTick(510), []);
  measure(3, 1_004);
  assert.deepEqual(publishOnTick(1_005), []);
  measure(1, 1_255);
  assert.deepEqual(
    publishOnTick(1_260),
    ['report/t-1=[1,5]'],
    'a newer, equal one',
  );
});

test('a silent connection does not count as a failure of its target', () => {
  // Guards against the ejection of a target because of one dead connection.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const outcomes = [true, false].map(silent => {
    const token = sendOne(engine, `r${silent}`, {}, 1);
    const lost = {type: 'lost', crashed: false, silent} as const;
    const event = findEffect(engine.onAttemptSignal(token, lost, 2), 'event');
    return event.details['outcome'];
  });
  assert.deepEqual(outcomes, ['cancelled', 'lost']);
});

test('the first request of a kind has a silence limit, its retry none', () => {
  // Guards against the first request of a kind that waits on a silent
  // connection until its deadline, and against kinds that always take longer
  // than the limit and are therefore never answered.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const request = fixtureRequest('r0', {deadlineMs: 8_000});
  const first = findEffect(engine.onRequest(request, 0), 'send');
  assert.equal(first.silenceLimitMs, 2_000);
  engine.onAttemptSignal(first.token, {type: 'sent'}, 0);
  const lost = {type: 'lost', crashed: false, silent: true} as const;
  const second = findEffect(
    engine.onAttemptSignal(first.token, lost, 2_000),
    'send',
  );
  assert.equal(second.silenceLimitMs, undefined);
});

test('the silence limit follows the service time of the kind', () => {
  // Guards against long requests that are aborted on a healthy connection.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const first = findEffect(engine.onRequest(fixtureRequest('r0'), 0), 'send');
  engine.onAttemptSignal(first.token, {type: 'sent'}, 0);
  engine.onAttemptSignal(first.token, ok, 200);
  const slow = fixtureRequest('r1', {deadlineMs: 9_000});
  const second = findEffect(engine.onRequest(slow, 201), 'send');
  assert.equal(second.silenceLimitMs, 600);
  // Guards against a slow request that loses one attempt after the other.
  engine.onAttemptSignal(second.token, {type: 'sent'}, 201);
  const lost = {type: 'lost', crashed: false, silent: true} as const;
  const third = findEffect(
    engine.onAttemptSignal(second.token, lost, 801),
    'send',
  );
  assert.equal(third.silenceLimitMs, 2_400);
});

test('a non-idempotent request has no silence limit', () => {
  // Guards against slow bookings that are aborted while the target processes
  // them: they cannot be retried, so aborting gains nothing.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const fields = {method: 'POST', path: '/book'};
  const first = findEffect(
    engine.onRequest(fixtureRequest('r0', fields), 0),
    'send',
  );
  engine.onAttemptSignal(first.token, {type: 'sent'}, 0);
  engine.onAttemptSignal(first.token, ok, 200);
  const slow = fixtureRequest('r1', fields);
  const second = findEffect(engine.onRequest(slow, 201), 'send');
  assert.equal(second.silenceLimitMs, undefined);
});

test('peer implications apply, and malformed facts are recorded', () => {
  // Guards against a request that crashes targets through one VM after another,
  // and against a faulty peer that crashes this VM.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const fact = (key: string, value: string) =>
    engine.onPeerFact({ownerId: 'e-02/b1', key, value, sequence: 1}, 1);
  assert.deepEqual(fact('quarantine/bad', '["t-1","t-2"]'), []);
  const request = fixtureRequest('r1', {fingerprint: 'bad'});
  const effects = engine.onRequest(request, 2);
  assert.equal(refusalText(effects), '422 may-have-run quarantined');
  for (const key of ['report/t-1', 'quarantine/x']) {
    for (const value of ['{', '7', '{"t-1":-1}']) {
      assert.equal(findEffect(fact(key, value), 'event').name, 'fact-rejected');
    }
  }
});

test('a request keeps the preset that was active when it arrived', () => {
  // Guards against a preset switch that drops requests in flight.
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const token = sendOne(engine, 'r1', {}, 1);
  const empty = {name: 'empty', vmCeiling: 30, services: new Map()};
  engine.applyPreset(empty, 2);
  const late = engine.onRequest(fixtureRequest('r2'), 3);
  assert.equal(refusalText(late), '404 not-run unknown-service');
  const {targetId} = findEffect(
    engine.onAttemptSignal(token, refused, 4),
    'send',
  );
  assert.ok(targetId.startsWith('t-'));
});

test('a resent copy refused without a claim is not reported as not-run', () => {
  // Guards against a false not-run: the first copy may run on another VM (I3).
  const engine = readyEngine({seed: 1, targetCount: 2, nowMs: 0});
  const later = {...booking, attempt: 2};
  const ids = ['e-02'];
  engine.applyMembership({readyVmIds: [], liveVmIds: ids}, 1);
  const withoutHome = engine.onRequest(fixtureRequest('r1', later), 1);
  assert.equal(refusalText(withoutHome), '409 may-have-run home-unreachable');
  engine.applyMembership({readyVmIds: ids, liveVmIds: ids}, 1);
  engine.onRequest(fixtureRequest('r2', {...later, deadlineMs: 20}), 1);
  const expired = engine.onTick(40);
  assert.equal(refusalText(expired), '504 may-have-run deadline');
});

test('urgent requests wait for a target without long requests', () => {
  // Guards against urgent requests that queue behind long ones or wait without
  // bound, and against other requests that are blocked while urgent ones wait.
  const preset = fixturePreset({slotsPerTarget: 1});
  const targets = fixtureTargets(4);
  const targetIds = targets.map(({id}) => id);
  const lane = longLaneTargets({service: 'desk', targetIds, share: 0.5});
  const isOutside = ({targetId}: EffectOf<'send'>): boolean =>
    !lane.includes(targetId);
  for (let seed = 1; seed <= 20; seed += 1) {
    const engine = fixtureEngine(seed * SEED_STEP);
    engine.applyPreset(preset, 0);
    engine.applyVmList({vms: targets}, 0);
    const arrive = (id: string, path: string): readonly Effect[] =>
      engine.onRequest(fixtureRequest(id, {path}), 1);
    assert.ok(isOutside(findEffect(arrive('r1', '/kiln'), 'send')));
    assert.ok(isOutside(findEffect(arrive('r2', '/kiln'), 'send')));
    assert.ok(!arrive('r3', '/kiln').some(({type}) => type === 'send'));
    const other = findEffect(arrive('r4', '/price'), 'send');
    assert.equal(other.requestId, 'r4');
    assert.ok(!isOutside(other));
    assert.ok(!engine.onTick(120).some(({type}) => type === 'send'));
    const late = findEffect(engine.onTick(130), 'send');
    assert.equal(late.requestId, 'r3');
    assert.ok(!isOutside(late));
  }
});

test('urgent requests use all targets if none is outside the long lane', () => {
  // Guards against urgent requests that find no target when the targets outside
  // the long lane leave, or the long lane contains all targets.
  for (const longLaneShare of [0.5, 1]) {
    const engine = fixtureEngine(1);
    engine.applyPreset(fixturePreset({longLaneShare}), 0);
    engine.applyVmList({vms: fixtureTargets(2, ['t-1'])}, 0);
    const effects = engine.onRequest(fixtureRequest('r1', {path: '/kiln'}), 1);
    assert.equal(findEffect(effects, 'send').targetId, 't-2');
  }
});

test('kinds of higher worth prefer targets without long requests', () => {
  // Guards against bookings that queue behind long requests while price checks
  // occupy the targets outside the long lane, and against bookings that wait
  // for such a target.
  const targets = fixtureTargets(4);
  const targetIds = targets.map(({id}) => id);
  const lane = longLaneTargets({service: 'desk', targetIds, share: 0.5});
  const cheapInLane = new Set<boolean>();
  for (let seed = 1; seed <= 20; seed += 1) {
    const engine = fixtureEngine(seed * SEED_STEP);
    engine.applyPreset(fixturePreset({slotsPerTarget: 1}), 0);
    engine.applyVmList({vms: targets}, 0);
    const inLane = (id: string, path: string): boolean => {
      const effects = engine.onRequest(fixtureRequest(id, {path}), 1);
      return lane.includes(findEffect(effects, 'send').targetId);
    };
    cheapInLane.add(inLane('r1', '/price'));
    const sent = ['r2', 'r3', 'r4'].map(id => inLane(id, '/book'));
    const laneCount = sent.filter(isIn => isIn).length;
    assert.ok(laneCount >= 1 && laneCount <= 2);
    assert.ok(!sent[0] && sent[2]);
  }
  assert.equal(cheapInLane.size, 2);
});

test('a crash implication is published at the next tick', () => {
  // Guards against a request that crashes a target of each VM that receives the
  // implication only after the ordinary publication interval of 250 ms.
  const engine = readyEngine({seed: 1, targetCount: 3, nowMs: 0});
  engine.onTick(0);
  const send = findEffect(engine.onRequest(fixtureRequest('r1'), 1), 'send');
  engine.onAttemptSignal(send.token, {type: 'sent'}, 2);
  engine.onAttemptSignal(send.token, crashed, 3);
  const {key, value} = findEffect(engine.onTick(10), 'publish');
  assert.equal(key, 'quarantine/hash-r1');
  assert.equal(value, JSON.stringify([send.targetId]));
  assert.ok(!engine.onTick(20).some(({type}) => type === 'publish'));
});
