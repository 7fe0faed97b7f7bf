import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {ClaimAnswer} from '../recovery/index.js';
import {fixturePreset, fixtureRequest, readyEngine} from './engine_fixture.js';
import type {
  AttemptSignal,
  CallerRequest,
  Effect,
  RequestEngine,
} from './index.js';

type Send = Extract<Effect, {type: 'send'}>;

/** Attempt as observed by the checker. */
interface ObservedAttempt {
  readonly send: Send;
  isLive: boolean;
  bytesSent: boolean;
  isRefused: boolean;
  isAnswered: boolean;
}

/** Request as observed by the checker. */
interface ObservedRequest {
  readonly caller: CallerRequest;
  readonly attempts: ObservedAttempt[];
  isGone: boolean;
  respondCount: number;
}

/** Claim as observed by the checker. */
interface ObservedClaim {
  readonly request: ObservedRequest;
  isExpected: boolean;
  isGranted: boolean;
  settleCount: number;
}

/** Feeds random inputs to an engine and checks each effect for invariants. */
class CheckedEngine {
  private nowMs = 0;
  private readonly engine: RequestEngine;
  private readonly requests: ObservedRequest[] = [];
  private readonly attempts: ObservedAttempt[] = [];
  private readonly claims = new Map<string, ObservedClaim>();

  constructor(seed: number) {
    this.engine = readyEngine({seed, targetCount: 3, nowMs: 0});
  }

  advance(deltaMs: number): void {
    this.nowMs += deltaMs;
  }

  request(fields: Partial<CallerRequest>, timeoutMs: number | undefined): void {
    const id = `r${this.requests.length}`;
    const keyed =
      fields.idempotencyKey === undefined ? {} : {idempotencyKey: id};
    const deadlineMs =
      timeoutMs === undefined ? undefined : this.nowMs + timeoutMs;
    const caller = fixtureRequest(id, {...fields, ...keyed, deadlineMs});
    const request = {caller, attempts: [], isGone: false, respondCount: 0};
    this.requests.push(request);
    this.check(this.engine.onRequest(caller, this.nowMs));
  }

  signal(pick: number, signal: AttemptSignal): void {
    const attempt = this.attempts[pick % this.attempts.length];
    if (attempt === undefined) {
      return;
    }
    const wasLive = attempt.isLive;
    const {token, deadlineMs} = attempt.send;
    const effects = this.engine.onAttemptSignal(token, signal, this.nowMs);
    // The engine ends expired requests before it processes the signal.
    const isStopped = effects.some(
      effect => effect.type === 'cancel' && effect.token === token,
    );
    if (signal.type === 'sent' && !isStopped) {
      assert.ok(wasLive, 'a finished attempt was sent');
      const isInTime = this.nowMs < deadlineMs;
      assert.ok(isInTime || attempt.bytesSent, 'sent after the deadline');
      attempt.bytesSent = true;
    } else if (wasLive && !isStopped) {
      applySignal(attempt, signal);
    }
    this.check(effects);
  }

  reply(pick: number, answer: ClaimAnswer): void {
    const token = [...this.claims.keys()][pick % this.claims.size];
    const claim = token === undefined ? undefined : this.claims.get(token);
    if (token === undefined || claim === undefined) {
      return;
    }
    if (claim.isExpected) {
      claim.isExpected = false;
      claim.isGranted = answer.type === 'granted';
    }
    this.check(this.engine.onClaimReply({token, answer}, this.nowMs));
  }

  callerGone(pick: number): void {
    const request = this.requests[pick % this.requests.length];
    if (request !== undefined) {
      const {requestId} = request.caller;
      this.check(this.engine.onCallerGone(requestId, this.nowMs));
      request.isGone = true;
    }
  }

  tick(): void {
    this.check(this.engine.onTick(this.nowMs));
  }

  /** Lets all deadlines pass and checks that all requests and claims ended. */
  finish(): void {
    for (let step = 0; step < 120; step += 1) {
      this.advance(100);
      this.tick();
    }
    for (const {caller, isGone, respondCount} of this.requests) {
      const isValid = respondCount === 1 || (isGone && respondCount === 0);
      assert.ok(isValid, `${caller.requestId}: ${respondCount} answers`);
    }
    for (const claim of this.claims.values()) {
      assert.ok(!claim.isGranted || claim.settleCount === 1, 'not settled');
    }
    assert.equal(this.engine.inFlightCount(), 0);
  }

  private check(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') {
        this.checkSend(effect);
      } else if (effect.type === 'cancel') {
        this.attempts
          .filter(attempt => attempt.send.token === effect.token)
          .forEach(attempt => (attempt.isLive = false));
      } else if (effect.type === 'claim') {
        const request = this.requestOf(effect.claim.key);
        const open = {isExpected: true, isGranted: false, settleCount: 0};
        this.claims.set(effect.claim.token, {request, ...open});
      } else if (effect.type === 'settle') {
        this.checkSettle(effect);
      } else if (effect.type === 'respond') {
        this.checkRespond(effect);
      }
    }
  }

  private checkSend(send: Send): void {
    const request = this.requestOf(send.requestId);
    assert.ok(this.nowMs < send.deadlineMs, 'dispatched after its deadline');
    assert.equal(request.respondCount, 0, 'sent after the answer');
    assert.ok(!request.isGone, 'sent for a caller that has gone');
    assert.ok(request.attempts.every(attempt => !attempt.isLive));
    if (request.caller.path === '/book') {
      assert.ok(request.attempts.every(isNotRun), 'may run twice');
      const isClaimed = [...this.claims.values()].some(
        claim => claim.request === request && claim.isGranted,
      );
      assert.equal(isClaimed, request.caller.idempotencyKey !== undefined);
    }
    const attempt = {
      send,
      isLive: true,
      bytesSent: false,
      isRefused: false,
      isAnswered: false,
    };
    request.attempts.push(attempt);
    this.attempts.push(attempt);
  }

  private checkSettle(effect: Extract<Effect, {type: 'settle'}>): void {
    const {token, verdict} = effect.settlement;
    const claim = this.claims.get(token);
    assert.ok(claim !== undefined);
    claim.settleCount += 1;
    assert.equal(claim.settleCount, 1, 'settled twice');
    const {attempts} = claim.request;
    assert.equal(verdict === 'not-run', attempts.every(isNotRun));
    const isAnswered = attempts.some(attempt => attempt.isAnswered);
    assert.equal(verdict === 'ran', isAnswered);
  }

  private checkRespond(effect: Extract<Effect, {type: 'respond'}>): void {
    const {outcome, requestId} = effect;
    const request = this.requestOf(requestId);
    request.respondCount += 1;
    assert.ok(!request.isGone, 'answered a caller that has gone');
    if (outcome.type === 'response') {
      const own = request.attempts.at(-1);
      assert.equal(own?.send.token, outcome.token);
      assert.ok(own?.isAnswered);
    } else if (outcome.verdict === 'not-run') {
      assert.ok(request.attempts.every(isNotRun), 'wrong verdict not-run');
    }
  }

  private requestOf(requestId: string): ObservedRequest {
    const request = this.requests[Number(requestId.slice(1))];
    assert.ok(request !== undefined);
    return request;
  }
}

/** Records the effect of a signal on a live attempt, as its adapter sees it. */
function applySignal(attempt: ObservedAttempt, signal: AttemptSignal): void {
  if (signal.type === 'sent') {
    return;
  }
  attempt.isLive = false;
  attempt.bytesSent ||=
    signal.type === 'response' ||
    signal.type === 'lost' ||
    (signal.type === 'cancelled' && signal.bytesSent);
  if (signal.type === 'response') {
    attempt.isRefused = signal.refused;
    attempt.isAnswered = !signal.refused;
  }
}

function isNotRun(attempt: ObservedAttempt): boolean {
  return !attempt.bytesSent || attempt.isRefused;
}

const signal: fc.Arbitrary<AttemptSignal> = fc.oneof(
  {weight: 6, arbitrary: fc.constant({type: 'sent' as const})},
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('response' as const),
      status: fc.constantFrom(200, 500, 503),
      refused: fc.boolean(),
      draining: fc.constantFrom(false, false, false, true),
      inFlight: fc.option(fc.nat(9), {nil: undefined}),
    }),
  },
  {weight: 1, arbitrary: fc.constant({type: 'unreachable' as const})},
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('lost' as const),
      crashed: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cancelled' as const),
      bytesSent: fc.boolean(),
    }),
  },
);

const answer = fc.constantFrom<ClaimAnswer['type']>(
  'granted',
  'granted',
  'granted',
  'ran',
  'running',
  'may-have-run',
  'mismatch',
  'not-home',
  'unreachable',
);

const pick = fc.nat(1000);

const step: fc.Arbitrary<(engine: CheckedEngine) => void> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc
      .record({
        path: fc.constantFrom('/price', '/kiln', '/batch', '/book', '/book'),
        idempotencyKey: fc.constantFrom(undefined, 'own'),
        attempt: fc.constantFrom(1, 1, 2, undefined),
        timeoutMs: fc.constantFrom(undefined, 20, 200, 0),
      })
      .map(({timeoutMs, ...fields}) => (engine: CheckedEngine) => {
        engine.request(fields, timeoutMs);
      }),
  },
  {
    weight: 8,
    arbitrary: fc
      .tuple(pick, signal)
      .map(([index, value]) => (engine: CheckedEngine) => {
        engine.signal(index, value);
      }),
  },
  {
    weight: 3,
    arbitrary: fc
      .tuple(pick, answer)
      .map(([index, type]) => (engine: CheckedEngine) => {
        engine.reply(index, {type});
      }),
  },
  {
    weight: 1,
    arbitrary: pick.map(index => (engine: CheckedEngine) => {
      engine.callerGone(index);
    }),
  },
  {
    weight: 5,
    arbitrary: fc
      .tuple(fc.constantFrom(0, 1, 10, 30, 700, 6000), fc.boolean())
      .map(([deltaMs, ticks]) => (engine: CheckedEngine) => {
        engine.advance(deltaMs);
        if (ticks) {
          engine.tick();
        }
      }),
  },
);

test('request invariants hold under any order of inputs', () => {
  // Guards, under late, repeated and contradictory signals and under pauses,
  // against: a second run of a non-idempotent request (I4), a false not-run
  // (I3), a missing, second or foreign answer (I2), dispatch after the
  // deadline, and claims that are never settled, settled twice or settled with
  // a false verdict.
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(step, {maxLength: 80, size: 'max'}),
      (seed, steps) => {
        const engine = new CheckedEngine(seed);
        steps.forEach(run => run(engine));
        engine.finish();
      },
    ),
    {seed: 31, numRuns: 3000},
  );
});

test('queued requests are sent by rank, and none after a long pause', () => {
  // Guards against a low-worth request that is sent before an urgent one, and
  // against a VM that resumes after a pause and sends expired requests.
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom('/price', '/kiln'), {
        minLength: 2,
        maxLength: 12,
      }),
      fc.constantFrom(0, 5, 5000),
      (paths, gapMs) => {
        const engine = readyEngine({seed: 1, targetCount: 1, nowMs: 0});
        const preset = {slotsPerTarget: 1, queueCapacity: 99};
        engine.applyPreset(fixturePreset(preset, 'queue'), 0);
        const ask = (id: string, path: string) =>
          engine.onRequest(fixtureRequest(id, {path}), 1);
        let sends = ask('first', '/price').filter(e => e.type === 'send');
        paths.forEach((path, index) => ask(`${path}${index}`, path));
        const order: string[] = [];
        while (sends[0] !== undefined) {
          const {token} = sends[0];
          const lost = {type: 'lost', crashed: true} as const;
          const effects = engine.onAttemptSignal(token, lost, 1 + gapMs);
          sends = effects.filter(effect => effect.type === 'send');
          order.push(...sends.map(send => send.requestId));
        }
        const byRank = [...paths.map((path, index) => `${path}${index}`)];
        byRank.sort(
          (a, b) =>
            Number(b.startsWith('/kiln')) - Number(a.startsWith('/kiln')),
        );
        assert.deepEqual(order, gapMs > 250 ? [] : byRank);
      },
    ),
    {seed: 32, numRuns: 100},
  );
});
