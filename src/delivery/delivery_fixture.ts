/**
 * Delivery engine with fake targets, for tests.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import {SeededRandom} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import {
  RequestGrants,
  TargetLimits,
  type ColdAllowance,
} from '../limits/index.js';
import {LoadBoard} from '../load/index.js';
import {FingerprintQuarantine} from '../recovery/index.js';
import type {KnownTarget} from '../registry/index.js';
import {knownTarget} from '../registry/target_fixture.js';
import {RelayPeers, RelayPolicy, TargetReachability} from '../relay/index.js';
import {RouteTable, type RouteRule} from '../routes/index.js';
import {
  DeliveryEngine,
  type DeliveryEffect,
  type DeliveryOutcome,
  type RoutedRequest,
} from './index.js';

/** Route of idempotent requests. */
export const SAFE: RouteRule = {
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

/** Route of requests that must run at most once. */
export const UNSAFE: RouteRule = {
  ...SAFE,
  name: 'book',
  pathPrefix: '/book/',
  idempotent: false,
};

/** Effect that sends an attempt to a target. */
export type Send = Extract<DeliveryEffect, {readonly type: 'send'}>;
/** Effect that passes a request to a peer. */
export type Relay = Extract<DeliveryEffect, {readonly type: 'relay'}>;

/** Delivery engine with fake targets in simulated time. */
export class Harness {
  readonly board = new LoadBoard({failureDomain: 'a'});
  readonly engine: DeliveryEngine;
  readonly sends: Send[] = [];
  readonly relayed: Relay[] = [];
  readonly reachability = new TargetReachability();
  readonly cancelled: string[] = [];
  readonly probes: Extract<DeliveryEffect, {readonly type: 'probe'}>[] = [];
  readonly outcomes = new Map<string, DeliveryOutcome[]>();
  nowMs = 0;
  private requestCount = 0;

  constructor(
    options: {
      readonly targets?: number;
      readonly allowance?: number;
      readonly probes?: boolean;
      readonly peers?: number;
      readonly coldAllowance?: ColdAllowance;
    } = {},
  ) {
    const {targets = 4, allowance = 1000} = options;
    this.engine = new DeliveryEngine({
      board: this.board,
      quarantine: new FingerprintQuarantine({quarantineTargetCount: 3}),
      random: new SeededRandom({seed: 3}),
      targetLimits: new TargetLimits(),
      grants: new RequestGrants(new TargetLimits()),
      relays: this.relayPolicy(options.peers ?? 0),
      resendLimit: {ratio: 0, allowance, windowMs: 10_000},
      fleetSize: () => 1,
      takeProbes: () => options.probes ?? false,
      ...(options.coldAllowance && {coldAllowance: options.coldAllowance}),
    });
    this.engine.applyRoutes(tableOf([SAFE, UNSAFE]));
    this.setTargets(targets);
  }

  /** Cuts the VM off from all targets. */
  cutOff(): void {
    for (const targetId of ['x0', 'x1', 'x2']) {
      this.reachability.onFailed(targetId, this.nowMs);
    }
    this.reachability.update(4, this.nowMs + 300);
  }

  private relayPolicy(peerCount: number): RelayPolicy {
    const random = new SeededRandom({seed: 6});
    const candidates = Array.from({length: peerCount}, (_, index) => ({
      host: `p${index}`,
      failureDomain: 'a',
    }));
    const peers = new RelayPeers({
      failureDomain: 'a',
      random,
      candidates: () => candidates,
    });
    return new RelayPolicy({reachability: this.reachability, peers, random});
  }

  /** Registers the targets `x0` and up, and others under the same ids. */
  setTargets(count: number, replacements: readonly KnownTarget[] = []): void {
    const targets = new Map<string, KnownTarget>();
    for (let index = 0; index < count; index += 1) {
      const targetId = `x${index}`;
      targets.set(targetId, knownTarget(targetId, {slots: 2}));
    }
    for (const target of replacements) {
      targets.set(target.targetId, target);
    }
    this.board.syncTargets(targets);
  }

  /** Records load reports of idle targets. */
  reportIdle(): void {
    for (let index = 0; index < 4; index += 1) {
      const load = {running: 0, waiting: 0, slots: 2, slowness: 1};
      this.board.onLoadReport(`x${index}`, {...load, measuredMs: this.nowMs});
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
      callerAddress: '10.9.0.1',
      fingerprint: requestId,
      resourceFingerprint: `${requestId} resource`,
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
  endAttempt(send: Send | undefined, signal: AttemptSignal): void {
    assert.ok(send !== undefined, 'nothing was sent');
    this.signal(send.token, {type: 'sent'});
    this.signal(send.token, signal);
  }

  /** Advances the time and runs all timers that fall due. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    let next = this.engine.nextTimerMs();
    while (next <= endMs) {
      this.nowMs = Math.max(this.nowMs, next);
      this.perform(this.engine.onTimer(this.nowMs));
      const following = this.engine.nextTimerMs();
      assert.ok(
        following > this.nowMs,
        'the timer is due again at the same instant',
      );
      next = following;
    }
    this.nowMs = endMs;
  }

  completeProbes(requestId: string): void {
    this.perform(this.engine.onProbesDone(requestId, this.nowMs));
  }

  /** Tells the engine that the targets or their loads have changed. */
  targetsChanged(): void {
    this.perform(this.engine.onTargetsChanged(this.nowMs));
  }

  callerGone(requestId: string): void {
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
      } else if (effect.type === 'relay') {
        this.relayed.push(effect);
      } else if (effect.type === 'probe') {
        this.probes.push(effect);
      } else if (effect.type === 'cancel') {
        this.cancelled.push(effect.token);
      } else if (effect.type === 'respond') {
        const outcomes = this.outcomes.get(effect.requestId) ?? [];
        this.outcomes.set(effect.requestId, [...outcomes, effect.outcome]);
      }
    }
  }
}

/** Builds routes of the service `s`. */
export function tableOf(rules: readonly RouteRule[]): RouteTable {
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

/** Builds the signal of a response. */
export function answer(status: number, refused = false): AttemptSignal {
  return {
    type: 'response',
    status,
    refused,
    draining: false,
    inFlight: undefined,
  };
}

/** Signal of a lost connection. */
export const LOST: AttemptSignal = {type: 'lost', crashed: false};
/** Signal of a target that could not be connected. */
export const UNREACHABLE: AttemptSignal = {type: 'unreachable'};
