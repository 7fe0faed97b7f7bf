import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import {LoadBoard} from '../load/index.js';
import {FingerprintQuarantine} from '../recovery/index.js';
import type {KnownTarget} from '../registry/index.js';
import {knownTarget} from '../registry/target_fixture.js';
import {RouteTable, type RouteRule} from '../routes/index.js';
import {
  DeliveryEngine,
  type DeliveryEffect,
  type DeliveryOutcome,
  type RoutedRequest,
} from './index.js';

const SAFE: RouteRule = {
  name: 'read',
  host: 'desk.example',
  pathPrefix: '/read/',
  idempotent: true,
  rank: 1,
  objectiveMs: 400,
  timeoutMs: 1000,
  maxAttempts: 2,
  services: [{service: 's', weight: 1}],
};

const UNSAFE: RouteRule = {
  ...SAFE,
  name: 'book',
  pathPrefix: '/book/',
  idempotent: false,
};

type Send = Extract<DeliveryEffect, {readonly type: 'send'}>;

/** An engine with fake targets in simulated time. */
class Bench {
  readonly board = new LoadBoard({failureDomain: 'a'});
  readonly engine: DeliveryEngine;
  readonly sends: Send[] = [];
  readonly cancelled: string[] = [];
  readonly asked: Extract<DeliveryEffect, {readonly type: 'ask'}>[] = [];
  readonly outcomes = new Map<string, DeliveryOutcome[]>();
  nowMs = 0;
  private requestCount = 0;

  constructor(
    options: {
      readonly targets?: number;
      readonly allowance?: number;
      readonly asks?: boolean;
    } = {},
  ) {
    const {targets = 4, allowance = 1000} = options;
    this.engine = new DeliveryEngine({
      board: this.board,
      quarantine: new FingerprintQuarantine({quarantineTargets: 3}),
      random: new SeededRandom({seed: 3}),
      resendLimit: {ratio: 0, allowance, windowMs: 10_000},
      fleetSize: () => 1,
      takeProbes: () => options.asks ?? false,
    });
    this.engine.applyRoutes(tableOf([SAFE, UNSAFE]));
    this.setTargets(targets);
  }

  setTargets(count: number): void {
    const targets = new Map<string, KnownTarget>();
    for (let index = 0; index < count; index += 1) {
      const targetId = `x${index}`;
      targets.set(targetId, knownTarget(targetId, {slots: 2}));
    }
    this.board.syncTargets(targets);
  }

  /** All targets state that they are idle. */
  sampleAll(): void {
    for (let index = 0; index < 4; index += 1) {
      const load = {running: 0, waiting: 0, slots: 2, slowness: 1};
      this.board.onSample(`x${index}`, {...load, measuredMs: this.nowMs});
    }
  }

  request(rule: RouteRule, overrides: Partial<RoutedRequest> = {}): string {
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    const request: RoutedRequest = {
      requestId,
      callId: `call-${requestId}`,
      host: 'desk.example',
      method: 'GET',
      path: `${rule.pathPrefix}7`,
      fingerprint: requestId,
      bodySizeBytes: 0,
      arrivedMs: this.nowMs,
      deadlineMs: this.nowMs + 1500,
      ...overrides,
    };
    this.perform(this.engine.onRequest(request, this.nowMs));
    return requestId;
  }

  signal(token: string, signal: AttemptSignal): void {
    this.perform(this.engine.onSignal(token, signal, this.nowMs));
  }

  /** Sends the request and ends the attempt with a signal. */
  end(send: Send | undefined, signal: AttemptSignal): void {
    assert.ok(send !== undefined, 'nothing was sent');
    this.signal(send.token, {type: 'sent'});
    this.signal(send.token, signal);
  }

  /** Lets time pass, with all timers that the engine asks for. */
  pass(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    let next = this.engine.nextTimerMs();
    while (next <= endMs) {
      this.nowMs = Math.max(this.nowMs, next);
      this.perform(this.engine.onTimer(this.nowMs));
      const following = this.engine.nextTimerMs();
      assert.ok(following > this.nowMs, 'a timer that is due again at once');
      next = following;
    }
    this.nowMs = endMs;
  }

  answerAsk(requestId: string): void {
    this.perform(this.engine.onAsked(requestId, this.nowMs));
  }

  gone(requestId: string): void {
    this.perform(this.engine.onCallerGone(requestId, this.nowMs));
  }

  outcome(requestId: string): DeliveryOutcome | undefined {
    const outcomes = this.outcomes.get(requestId) ?? [];
    assert.ok(outcomes.length <= 1, 'answered more than once');
    return outcomes[0];
  }

  status(requestId: string): number | 'response' | undefined {
    const outcome = this.outcome(requestId);
    return outcome?.type === 'refusal' ? outcome.status : outcome?.type;
  }

  private perform(effects: readonly DeliveryEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') {
        this.sends.push(effect);
      } else if (effect.type === 'ask') {
        this.asked.push(effect);
      } else if (effect.type === 'cancel') {
        this.cancelled.push(effect.token);
      } else if (effect.type === 'respond') {
        const outcomes = this.outcomes.get(effect.requestId) ?? [];
        this.outcomes.set(effect.requestId, [...outcomes, effect.outcome]);
      }
    }
  }
}

function tableOf(rules: readonly RouteRule[]): RouteTable {
  return new RouteTable({
    version: 1,
    rules,
    services: [{name: 's', healthPath: '/h', maxConnectionsPerTarget: 50}],
    bounds: {
      maxHeadBytes: 1,
      maxBodyBytes: 1,
      headTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

function answer(status: number, refused = false): AttemptSignal {
  return {
    type: 'response',
    status,
    refused,
    draining: false,
    inFlight: undefined,
  };
}

const LOST: AttemptSignal = {type: 'lost', crashed: false};
const UNREACHABLE: AttemptSignal = {type: 'unreachable'};

test('an answer is passed on, also a late one', () => {
  // Guards against ready answers that are thrown away.
  const bench = new Bench();
  const id = bench.request(UNSAFE);
  bench.signal(bench.sends[0]!.token, {type: 'sent'});
  bench.pass(900);
  bench.signal(bench.sends[0]!.token, answer(200));
  assert.equal(bench.status(id), 'response');
  assert.equal(bench.engine.openCount, 0);
});

test('without routes the answer is 503, without a route 404', () => {
  // Guards against a VM that denies what it does not know yet.
  const engine = new DeliveryEngine({
    board: new LoadBoard({failureDomain: 'a'}),
    quarantine: new FingerprintQuarantine(),
    random: new SeededRandom({seed: 1}),
    resendLimit: {ratio: 0, allowance: 0, windowMs: 1},
    fleetSize: () => 1,
    takeProbes: () => false,
  });
  const request: RoutedRequest = {
    requestId: 'r',
    callId: 'c',
    host: 'desk.example',
    method: 'GET',
    path: '/none/7',
    fingerprint: 'f',
    bodySizeBytes: 0,
    arrivedMs: 0,
    deadlineMs: undefined,
  };
  const statusOf = (): number | undefined => {
    const [effect] = engine.onRequest(request, 0);
    return effect?.type === 'respond' && effect.outcome.type === 'refusal'
      ? effect.outcome.status
      : undefined;
  };
  assert.equal(statusOf(), 503);
  engine.applyRoutes(tableOf([SAFE]));
  assert.equal(statusOf(), 404);
});

test('a refusal of a target is sent elsewhere, also work that must not repeat', () => {
  // Guards against callers who must come back although another target is free.
  const bench = new Bench();
  const id = bench.request(UNSAFE);
  bench.end(bench.sends[0], answer(503, true));
  assert.equal(bench.sends.length, 2);
  assert.notEqual(bench.sends[0]!.targetId, bench.sends[1]!.targetId);
  bench.end(bench.sends[1], answer(503, true));
  assert.equal(bench.status(id), 503);
  const outcome = bench.outcome(id);
  assert.ok(outcome?.type === 'refusal' && outcome.verdict === 'not-run');
  assert.ok((outcome.retryAfterSeconds ?? 0) > 0);
});

test('lost work that must not repeat is answered 502 at once', () => {
  // Guards against a booking that runs twice, and against a false "not run".
  const bench = new Bench();
  const id = bench.request(UNSAFE);
  bench.end(bench.sends[0], LOST);
  assert.equal(bench.sends.length, 1);
  assert.equal(bench.status(id), 502);
});

test('lost idempotent work is sent once more, within attempts and budget', () => {
  // Guards against reads that fail with their first target.
  const bench = new Bench();
  const id = bench.request(SAFE);
  bench.end(bench.sends[0], LOST);
  bench.end(bench.sends[1], answer(200));
  assert.equal(bench.status(id), 'response');
  const poor = new Bench({allowance: 0});
  const refused = poor.request(SAFE);
  poor.end(poor.sends[0], LOST);
  assert.equal(poor.sends.length, 1);
  assert.equal(poor.status(refused), 502);
});

test('targets that cannot be reached cost neither attempts nor budget', () => {
  // Guards against requests that fail with the first machine that is dark.
  const bench = new Bench({allowance: 0});
  const id = bench.request(UNSAFE);
  bench.signal(bench.sends[0]!.token, UNREACHABLE);
  bench.signal(bench.sends[1]!.token, UNREACHABLE);
  bench.signal(bench.sends[2]!.token, UNREACHABLE);
  bench.end(bench.sends[3], answer(200));
  assert.equal(bench.status(id), 'response');
});

test('a server error is kept and delivered if the second target fails too', () => {
  // Guards against answers that are replaced by failures of the balancer.
  const bench = new Bench();
  const id = bench.request(SAFE);
  const [first] = bench.sends;
  bench.end(first, answer(500));
  assert.equal(bench.status(id), undefined);
  bench.end(bench.sends[1], LOST);
  const outcome = bench.outcome(id);
  assert.ok(outcome?.type === 'response' && outcome.token === first!.token);
  const other = bench.request(UNSAFE);
  bench.end(bench.sends[2], answer(500));
  assert.equal(bench.status(other), 'response');
  assert.equal(bench.sends.length, 3);
});

test('the route bounds the time: 504 if sent, 503 if not', () => {
  // Guards against callers that are kept waiting, and against false verdicts.
  const bench = new Bench();
  const [safe, unsafe] = [bench.request(SAFE), bench.request(UNSAFE)];
  bench.sends.forEach(({token}) => bench.signal(token, {type: 'sent'}));
  const unsent = bench.request(UNSAFE);
  bench.pass(1000);
  assert.equal(bench.status(safe), 504);
  assert.equal(bench.status(unsafe), 504);
  assert.equal(bench.status(unsent), 503);
  const unsafeToken = bench.sends[1]!.token;
  assert.ok(!bench.cancelled.includes(unsafeToken), 'sent work was broken off');
  bench.signal(unsafeToken, answer(200));
  assert.equal(bench.engine.openCount, 0);
});

test('no byte is written after the request has ended', () => {
  // Guards against work that runs after its caller was told otherwise.
  const bench = new Bench();
  const id = bench.request(UNSAFE);
  bench.pass(1000);
  assert.equal(bench.status(id), 503);
  const {token} = bench.sends[0]!;
  bench.signal(token, {type: 'sent'});
  assert.ok(bench.cancelled.includes(token));
});

test('a caller that leaves ends idempotent work, not work that must not repeat', () => {
  // Guards against targets at work for nobody.
  const bench = new Bench();
  const [safe, unsafe] = [bench.request(SAFE), bench.request(UNSAFE)];
  bench.sends.forEach(({token}) => bench.signal(token, {type: 'sent'}));
  bench.gone(safe);
  bench.gone(unsafe);
  assert.deepEqual(bench.cancelled, [bench.sends[0]!.token]);
  bench.signal(bench.sends[1]!.token, answer(200));
  assert.equal(bench.engine.openCount, 0);
  assert.equal(bench.outcomes.size, 0);
});

test('when all targets are full the request waits shortly, then comes back', () => {
  // Guards against requests that are held until their time is over.
  const bench = new Bench({targets: 1});
  bench.request(UNSAFE);
  bench.request(UNSAFE);
  bench.request(UNSAFE);
  const waiting = bench.request(UNSAFE);
  const refused = bench.request(UNSAFE);
  assert.equal(bench.sends.length, 3);
  bench.pass(20);
  bench.end(bench.sends[0], answer(200));
  assert.equal(bench.sends.length, 4);
  assert.equal(bench.sends[3]!.requestId, waiting);
  bench.pass(200);
  const outcome = bench.outcome(refused);
  assert.ok(outcome?.type === 'refusal' && outcome.reason === 'overloaded');
  assert.equal(outcome.verdict, 'not-run');
});

test('a request lost at three targets is refused from then on', () => {
  // Guards against a request that crashes one target after the other.
  const bench = new Bench({targets: 9});
  const poison = {fingerprint: 'poison'};
  let last = '';
  for (let i = 0; i < 6; i += 1) {
    last = bench.request(SAFE, poison);
    let send = bench.sends.at(-1);
    while (send?.requestId === last && bench.status(last) === undefined) {
      bench.end(send, LOST);
      send = bench.sends.at(-1);
    }
  }
  assert.equal(bench.sends.length, 3);
  assert.equal(bench.status(last), 503);
});

test('an unanswered read is sent to a second target while there is time', () => {
  // Guards against reads that wait for a target that hangs.
  const bench = new Bench();
  bench.sampleAll();
  const id = bench.request(SAFE);
  bench.signal(bench.sends[0]!.token, {type: 'sent'});
  bench.pass(150);
  bench.sampleAll();
  bench.pass(100);
  assert.equal(bench.sends.length, 2);
  bench.end(bench.sends[1], answer(200));
  assert.equal(bench.status(id), 'response');
  bench.signal(bench.sends[0]!.token, answer(200));
  assert.equal(bench.engine.openCount, 0);
});

test('targets are asked first, and the request goes to the fastest', () => {
  // Guards against choices by loads that changed since they were reported.
  const bench = new Bench({asks: true});
  const id = bench.request(UNSAFE);
  assert.equal(bench.sends.length, 0);
  const [asked] = bench.asked;
  assert.equal(asked?.targetIds.length, 4);
  const fast = asked!.targetIds[1]!;
  for (const targetId of asked!.targetIds) {
    const slowness = targetId === fast ? 1 : 7;
    const load = {running: 0, waiting: 0, slots: 2, slowness};
    bench.board.onSample(targetId, {...load, measuredMs: 1});
  }
  bench.answerAsk(id);
  assert.equal(bench.sends[0]?.targetId, fast);
});

test('targets that do not say their load hold no request up', () => {
  // Guards against requests that wait for a probe of a dark target.
  const bench = new Bench({asks: true});
  const id = bench.request(UNSAFE);
  bench.pass(10);
  assert.equal(bench.sends.length, 1);
  bench.answerAsk(id);
  assert.equal(bench.sends.length, 1);
});

test('any order of events keeps the promises to callers and targets', () => {
  // Guards against double runs, false verdicts and requests without an end.
  const step = fc.oneof(
    fc.record({type: fc.constant('request' as const), isSafe: fc.boolean()}),
    fc.record({
      type: fc.constant('signal' as const),
      pick: fc.nat(),
      signal: fc.constantFrom<AttemptSignal>(
        answer(200),
        answer(500),
        answer(503, true),
        LOST,
        UNREACHABLE,
        {type: 'sent'},
      ),
    }),
    fc.record({type: fc.constant('gone' as const), pick: fc.nat()}),
    fc.record({type: fc.constant('pass' as const), ms: fc.nat(400)}),
    fc.record({type: fc.constant('targets' as const), count: fc.nat(4)}),
  );
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const bench = new Bench({targets: 3, allowance: 10});
      const rules = new Map<string, RouteRule>();
      const sent = new Map<string, Set<string>>();
      const ran = new Map<string, number>();
      const ended = new Set<string>();
      const gone = new Set<string>();
      for (const each of steps) {
        if (each.type === 'request') {
          const rule = each.isSafe ? SAFE : UNSAFE;
          rules.set(bench.request(rule), rule);
        } else if (each.type === 'pass') {
          bench.pass(each.ms);
        } else if (each.type === 'targets') {
          bench.setTargets(each.count);
        } else if (each.type === 'gone') {
          const id = [...rules.keys()][each.pick % Math.max(1, rules.size)];
          if (id !== undefined) {
            gone.add(id);
            bench.gone(id);
          }
        } else {
          const open = bench.sends.filter(
            ({token}) => !ended.has(token) && !bench.cancelled.includes(token),
          );
          const send = open[each.pick % Math.max(1, open.length)];
          if (send === undefined) {
            continue;
          }
          const {token, requestId} = send;
          const tokens = sent.get(requestId) ?? new Set();
          sent.set(requestId, tokens);
          if (!tokens.has(token) && each.signal.type !== 'unreachable') {
            bench.signal(token, {type: 'sent'});
            if (bench.cancelled.includes(token)) {
              continue;
            }
            tokens.add(token);
          }
          if (each.signal.type === 'sent') {
            continue;
          }
          ended.add(token);
          const isRun =
            each.signal.type === 'lost' ||
            (each.signal.type === 'response' && !each.signal.refused);
          if (isRun && tokens.has(token)) {
            ran.set(requestId, (ran.get(requestId) ?? 0) + 1);
          }
          const isUnsent =
            each.signal.type === 'unreachable' && tokens.has(token);
          bench.signal(token, isUnsent ? LOST : each.signal);
          if (isUnsent) {
            ran.set(requestId, (ran.get(requestId) ?? 0) + 1);
          }
        }
      }
      bench.pass(5_000);
      for (const [requestId, rule] of rules) {
        const runs = ran.get(requestId) ?? 0;
        const outcome = bench.outcome(requestId);
        assert.ok(rule.idempotent || runs <= 1, 'ran twice');
        assert.ok((sent.get(requestId)?.size ?? 0) <= rule.maxAttempts);
        assert.ok(outcome !== undefined || gone.has(requestId), 'no answer');
        if (outcome?.type === 'refusal' && outcome.status === 503) {
          assert.equal(runs, 0, 'told not run, but it ran');
        }
      }
    }),
    {seed: 61, numRuns: 400},
  );
});
