import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fixtureRequest, readyEngine} from './engine_fixture.js';
import type {AttemptSignal, Effect, RequestEngine} from './index.js';

type EffectOf<T extends Effect['type']> = Extract<Effect, {type: T}>;

const OK: AttemptSignal = {
  type: 'response',
  status: 200,
  refused: false,
  draining: false,
  inFlight: undefined,
};
const REFUSED: AttemptSignal = {...OK, status: 503, refused: true};
const UNANSWERED: AttemptSignal = {...OK, status: 502, unanswered: true};
const LOST: AttemptSignal = {type: 'lost', crashed: false};
const UNREACHABLE: AttemptSignal = {type: 'unreachable'};
/** Instants at which the links are lost, and the VM counts as cut off. */
const LOST_MS = 1_000;
const CUT_MS = 1_260;

function effectsOf<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): readonly EffectOf<T>[] {
  return effects.filter((each): each is EffectOf<T> => each.type === type);
}

/** Sends a request whose targets cannot be reached; a peer answers it. */
function loseLinks(engine: RequestEngine, requestId: string): void {
  let effects = engine.onRequest(fixtureRequest(requestId), LOST_MS);
  let [send] = effectsOf(effects, 'send');
  while (send !== undefined) {
    effects = engine.onAttemptSignal(send.token, UNREACHABLE, LOST_MS);
    [send] = effectsOf(effects, 'send');
  }
  for (const {token} of effectsOf(effects, 'relay')) {
    engine.onAttemptSignal(token, {type: 'sent'}, LOST_MS);
    engine.onAttemptSignal(token, OK, LOST_MS);
  }
}

/** Returns an engine that knows two peers and reaches no target. */
function cutOffEngine(): RequestEngine {
  const engine = readyEngine({
    seed: 7,
    targetCount: 3,
    nowMs: 0,
    relayPort: 9_900,
  });
  for (const vmId of ['e-02', 'e-03']) {
    const value = JSON.stringify({host: '127.0.0.1', port: 9_901});
    const ownerId = `${vmId}/b1`;
    engine.onPeerFact({ownerId, key: 'relay', value, sequence: 1}, 0);
  }
  for (let i = 0; i < 20; i += 1) {
    loseLinks(engine, `before-${i}`);
  }
  for (let nowMs = LOST_MS; nowMs < CUT_MS; nowMs += 100) {
    engine.onTick(nowMs);
  }
  engine.onTick(CUT_MS + 10);
  assert.ok(engine.cutOffMs(CUT_MS + 10) > 0, 'not cut off');
  return engine;
}

test('a VM withdraws its relay address while it reaches no target', () => {
  // Guards against VMs that are cut off and pass requests to each other.
  const engine = readyEngine({
    seed: 7,
    targetCount: 3,
    nowMs: 0,
    relayPort: 9_900,
  });
  const [first] = effectsOf(engine.onTick(10), 'publish');
  assert.deepEqual(
    [first?.key, first?.value],
    ['relay', '{"host":"127.0.0.1","port":9900}'],
  );
  const [last] = effectsOf(engine.stopCarrying(), 'publish');
  assert.deepEqual([last?.key, last?.value], ['relay', '']);
});

test('a VM that shuts down announces no relay address when a cut ends', () => {
  // Guards against requests that are passed to a VM that is about to end.
  const engine = cutOffEngine();
  engine.stopCarrying();
  for (const targetId of ['t-1', 't-2']) {
    const source = 'probe';
    const load = {inFlight: 0, draining: false, measuredMs: CUT_MS + 30};
    engine.onReport('desk', {targetId, source, ...load}, CUT_MS + 30);
  }
  const effects = engine.onTick(CUT_MS + 40);
  assert.equal(engine.cutOffMs(CUT_MS + 40), 0);
  const published = effectsOf(effects, 'publish');
  assert.ok(published.every(({key, value}) => key !== 'relay' || value === ''));
});

test('a daemon cut off from all targets passes requests to a peer', () => {
  // Guards against VMs that can only fail the requests of their callers.
  const engine = cutOffEngine();
  const nowMs = CUT_MS + 20;
  const effects = engine.onRequest(fixtureRequest('r'), nowMs);
  assert.deepEqual(effectsOf(effects, 'send'), []);
  const [relay] = effectsOf(effects, 'relay');
  assert.ok(relay !== undefined);
  engine.onAttemptSignal(relay.token, {type: 'sent'}, nowMs);
  const ended = engine.onAttemptSignal(relay.token, OK, nowMs);
  const [respond] = effectsOf(ended, 'respond');
  assert.equal(respond?.outcome.type, 'response');
  assert.equal(engine.inFlightCount(), 0);
});

test('what a peer refuses goes to another one, and is refused as not run at last', () => {
  // Guards against requests that fail because one peer is busy.
  const engine = cutOffEngine();
  const nowMs = CUT_MS + 20;
  const request = fixtureRequest('r', {path: '/book'});
  let [relay] = effectsOf(engine.onRequest(request, nowMs), 'relay');
  const peers = new Set<string>();
  let last: readonly Effect[] = [];
  for (let i = 0; i < 3 && relay !== undefined; i += 1) {
    peers.add(relay.token);
    engine.onAttemptSignal(relay.token, {type: 'sent'}, nowMs);
    last = engine.onAttemptSignal(relay.token, REFUSED, nowMs);
    [relay] = effectsOf(last, 'relay');
  }
  assert.equal(peers.size, 2);
  const [respond] = effectsOf(last, 'respond');
  const {outcome} = respond ?? {};
  assert.ok(outcome?.type === 'refusal' && outcome.verdict === 'not-run');
});

test('what is lost at a peer may have run and is not sent again', () => {
  // Guards against a booking that runs twice, and against a false verdict.
  for (const signal of [LOST, UNANSWERED]) {
    const engine = cutOffEngine();
    const nowMs = CUT_MS + 20;
    const request = fixtureRequest('r', {path: '/book'});
    const [relay] = effectsOf(engine.onRequest(request, nowMs), 'relay');
    assert.ok(relay !== undefined);
    engine.onAttemptSignal(relay.token, {type: 'sent'}, nowMs);
    const effects = engine.onAttemptSignal(relay.token, signal, nowMs);
    assert.deepEqual(effectsOf(effects, 'relay'), []);
    const [respond] = effectsOf(effects, 'respond');
    const {outcome} = respond ?? {};
    assert.ok(outcome?.type === 'refusal' && outcome.status === 502);
    assert.equal(outcome.verdict, 'may-have-run');
  }
});

test('the first VM claims the key of a request, and the peer does not', () => {
  // Guards against a second claim of the same copy, which would be denied.
  const keyed = {path: '/book', idempotencyKey: 'k', attempt: 1};
  const engine = cutOffEngine();
  const nowMs = CUT_MS + 20;
  const claimed = engine.onRequest(fixtureRequest('r', keyed), nowMs);
  const [claim] = effectsOf(claimed, 'claim');
  assert.ok(claim !== undefined);
  assert.deepEqual(effectsOf(claimed, 'relay'), []);
  const {token} = claim.claim;
  const reply = {token, answer: {type: 'granted' as const}};
  const granted = engine.onClaimReply(reply, nowMs);
  const [relay] = effectsOf(granted, 'relay');
  assert.ok(relay !== undefined);
  engine.onAttemptSignal(relay.token, {type: 'sent'}, nowMs);
  const ended = engine.onAttemptSignal(relay.token, OK, nowMs);
  const [settle] = effectsOf(ended, 'settle');
  assert.equal(settle?.settlement.verdict, 'ran');
  const peer = readyEngine({seed: 8, targetCount: 3, nowMs: 0});
  const relayed = fixtureRequest('p', {...keyed, isRelayed: true});
  const effects = peer.onRequest(relayed, 10);
  assert.deepEqual(effectsOf(effects, 'claim'), []);
  assert.equal(effectsOf(effects, 'send').length, 1);
});

test('a peer that is cut off itself refuses a relayed request', () => {
  // Guards against relay loops.
  const engine = cutOffEngine();
  const request = fixtureRequest('r', {isRelayed: true});
  const effects = engine.onRequest(request, CUT_MS + 20);
  assert.deepEqual(effectsOf(effects, 'relay'), []);
  const [respond] = effectsOf(effects, 'respond');
  const {outcome} = respond ?? {};
  assert.ok(outcome?.type === 'refusal' && outcome.reason === 'cut-off');
});

test('a malformed relay address is rejected', () => {
  // Guards against a peer's fact that sends requests to a wrong address.
  const engine = readyEngine({seed: 7, targetCount: 3, nowMs: 0});
  for (const value of ['{"host":"desk","port":1}', '{"host":"::1"}', 'x']) {
    const fact = {ownerId: 'e-02/b1', key: 'relay', value, sequence: 1};
    const [event] = effectsOf(engine.onPeerFact(fact, 1), 'event');
    assert.equal(event?.name, 'fact-rejected');
  }
});
