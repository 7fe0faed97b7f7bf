import assert from 'node:assert/strict';
import {readFileSync, writeFileSync} from 'node:fs';
import {test} from 'node:test';
import type {ClaimAnswer} from '../recovery/index.js';
import {
  fixtureEngine,
  fixturePreset,
  fixtureRequest,
  fixtureTargets,
} from './engine_fixture.js';
import type {AttemptSignal, Effect, RequestEngine} from './index.js';

const GOLDEN_FILE = new URL(
  '../../../src/engine/testdata/session.jsonl',
  import.meta.url,
);

const SERVICE_TIME_MS: Readonly<Record<string, number>> = {
  '/price': 20,
  '/kiln': 30,
  '/batch': 600,
  '/book': 40,
};

/** Simulated behaviour of targets and home VMs; changes in the session. */
interface Environment {
  crashedTargetId: string | undefined;
  refusingTargetId: string | undefined;
  drainingTargetId: string | undefined;
  claimAnswer: ClaimAnswer['type'];
}

type Step = () => void;

/** Runs a script against an engine and records inputs and effects. */
class Session {
  readonly lines: string[] = [];
  readonly environment: Environment = {
    crashedTargetId: undefined,
    refusingTargetId: undefined,
    drainingTargetId: undefined,
    claimAnswer: 'granted',
  };
  private readonly engine = fixtureEngine(7);
  private readonly steps: {atMs: number; order: number; step: Step}[] = [];
  private readonly paths = new Map<string, string>();
  /** Target ids of the running attempts by token. */
  private readonly running = new Map<string, string>();
  private requestCount = 0;
  private nowMs = 0;

  at(atMs: number, step: Step): void {
    this.steps.push({atMs, order: this.steps.length, step});
    this.steps.sort((a, b) => a.atMs - b.atMs || a.order - b.order);
  }

  /** Runs all steps, with a tick every 10 ms outside the pause. */
  run(endMs: number, pause: {startMs: number; endMs: number}): void {
    for (let atMs = 0; atMs <= endMs; atMs += 10) {
      if (atMs <= pause.startMs || atMs >= pause.endMs) {
        this.at(atMs, () => this.input('onTick'));
      }
    }
    let next = this.steps.shift();
    while (next !== undefined) {
      const isPaused = next.atMs > pause.startMs && next.atMs < pause.endMs;
      // Inputs that arrive during the pause are processed when it ends.
      this.nowMs = isPaused ? pause.endMs : Math.max(this.nowMs, next.atMs);
      next.step();
      next = this.steps.shift();
    }
  }

  /** Calls a method of the engine with the current instant as last argument. */
  input(method: keyof RequestEngine, ...args: unknown[]): void {
    const call = this.engine[method] as (...all: unknown[]) => Effect[];
    const effects = call.apply(this.engine, [...args, this.nowMs]);
    if (method !== 'onTick' || effects.length > 0) {
      const printed = args.map(arg => toJson(arg)).join(',');
      const input = `{"atMs":${this.nowMs},"input":"${method}","args":[${printed}]}`;
      this.lines.push(input, ...effects.map(effect => `  ${toJson(effect)}`));
    }
    effects.forEach(effect => this.perform(effect));
  }

  request(path: string, fields: Parameters<typeof fixtureRequest>[1]): void {
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    this.paths.set(requestId, path);
    this.input('onRequest', fixtureRequest(requestId, {path, ...fields}));
  }

  crash(targetId: string): void {
    this.environment.crashedTargetId = targetId;
    for (const [token, runningId] of this.running) {
      if (runningId === targetId) {
        this.signal(token, {type: 'lost', crashed: true});
      }
    }
  }

  private signal(token: string, signal: AttemptSignal): void {
    if (signal.type !== 'sent') {
      this.running.delete(token);
    }
    this.input('onAttemptSignal', token, signal);
  }

  private perform(effect: Effect): void {
    const nextMs = this.nowMs + 1;
    if (effect.type === 'claim') {
      const {token} = effect.claim;
      const answer = {type: this.environment.claimAnswer};
      this.at(nextMs, () => this.input('onClaimReply', {token, answer}));
    } else if (effect.type === 'send') {
      this.at(nextMs, () => this.connect(effect));
    } else if (effect.type === 'cancel') {
      this.running.delete(effect.token);
    } else if (effect.type === 'probe') {
      const {service, targetId} = effect;
      const report = {targetId, source: 'probe', inFlight: 0, draining: false};
      this.at(nextMs, () =>
        this.input('onReport', service, {...report, measuredMs: nextMs}),
      );
    }
  }

  private connect(send: Extract<Effect, {type: 'send'}>): void {
    const {token, targetId, requestId} = send;
    if (this.environment.crashedTargetId === targetId) {
      this.signal(token, {type: 'unreachable'});
      return;
    }
    this.running.set(token, targetId);
    this.signal(token, {type: 'sent'});
    const refused = this.environment.refusingTargetId === targetId;
    const serviceMs = SERVICE_TIME_MS[this.paths.get(requestId) ?? ''] ?? 0;
    this.at(this.nowMs + (refused ? 1 : serviceMs), () => {
      if (this.running.has(token)) {
        const draining = this.environment.drainingTargetId === targetId;
        const status = refused ? 503 : 200;
        const type = 'response';
        this.signal(token, {type, status, refused, draining, inFlight: 1});
      }
    });
  }
}

function toJson(value: unknown): string {
  return JSON.stringify(value, (_, inner) =>
    inner instanceof Map ? Object.fromEntries(inner) : inner,
  );
}

/**
 * Plays an ordinary day: single requests, a resent booking, a disconnecting
 * caller.
 */
function playOrdinaryDay(session: Session): void {
  const readyVmIds = ['e-01', 'e-02', 'e-03'];
  const key = {idempotencyKey: 'booking-1', attempt: 1};
  session.at(0, () => session.input('applyPreset', fixturePreset()));
  session.at(0, () => session.input('applyVmList', {vms: fixtureTargets(4)}));
  session.at(0, () =>
    session.input('applyMembership', {readyVmIds, liveVmIds: readyVmIds}),
  );
  session.at(15, () => session.request('/price', {}));
  session.at(25, () => session.request('/kiln', {}));
  session.at(35, () => session.request('/batch', {}));
  session.at(45, () => session.request('/book', key));
  session.at(55, () => session.request('/book', {}));
  session.at(65, () => session.request('/unknown', {}));
  session.at(150, () => (session.environment.claimAnswer = 'ran'));
  session.at(155, () => session.request('/book', {...key, attempt: 2}));
  session.at(170, () => (session.environment.claimAnswer = 'granted'));
  session.at(205, () => session.request('/price', {}));
  session.at(215, () => session.input('onCallerGone', 'r8'));
}

/**
 * Plays a peak: a full queue, a crash, a target that refuses and a pause of
 * 900 ms.
 */
function playPeak(session: Session): void {
  const paths = ['/price', '/price', '/book', '/kiln', '/price', '/batch'];
  const preset = fixturePreset({slotsPerTarget: 1, queueCapacity: 6}, 'peak');
  session.at(1000, () => session.input('applyPreset', preset));
  for (let index = 0; index < 30; index += 1) {
    const path = paths[index % paths.length] ?? '/price';
    const idempotencyKey = path === '/book' ? `peak-${index}` : undefined;
    const fields = {idempotencyKey, attempt: 1};
    session.at(1005 + index * 3, () => session.request(path, fields));
  }
  session.at(1040, () => session.crash('t-2'));
  session.at(1055, () => (session.environment.crashedTargetId = undefined));
  session.at(1060, () => (session.environment.refusingTargetId = 't-3'));
  session.at(1075, () => (session.environment.refusingTargetId = undefined));
  session.at(1595, () => session.request('/price', {}));
  session.at(1595, () => session.request('/book', {}));
}

/**
 * Plays maintenance: one target is listed as leaving, another reports draining.
 */
function playMaintenance(session: Session): void {
  const vms = fixtureTargets(4, ['t-1']);
  const preset = fixturePreset({}, 'maintenance');
  session.at(2600, () => session.input('applyPreset', preset));
  session.at(2600, () => session.input('applyVmList', {vms}));
  session.at(2610, () => (session.environment.drainingTargetId = 't-3'));
  for (let index = 0; index < 8; index += 1) {
    const path = index % 2 === 0 ? '/price' : '/book';
    session.at(2620 + index * 60, () => session.request(path, {}));
  }
}

test('a scripted session yields the recorded effects', () => {
  // Guards against any unintended change of the engine's decisions. To accept
  // an intended one, run `UPDATE_GOLDEN=1 npm test` and review the difference.
  const session = new Session();
  playOrdinaryDay(session);
  playPeak(session);
  playMaintenance(session);
  session.run(3500, {startMs: 1600, endMs: 2500});
  const actual = `${session.lines.join('\n')}\n`;
  if (process.env['UPDATE_GOLDEN'] === '1') {
    writeFileSync(GOLDEN_FILE, actual);
  }
  assert.equal(actual, readFileSync(GOLDEN_FILE, 'utf8'));
});
