/**
 * Simple fakes of the modules that the engine composes, for tests and the cost
 * benchmark.
 *
 * @packageDocumentation
 */
import {type InstantMs, SeededRandom} from '../core/index.js';
import type {KindPreset, ListedVm, Preset} from '../preset/index.js';
import {type ProbeCandidate, ProbeScheduler} from '../probing/index.js';
import {
  CrashQuarantine,
  type QuarantinedFingerprint,
} from '../recovery/index.js';
import {
  type ChooseOptions,
  type TargetChoice,
  TargetPool,
  type TargetStatus,
} from '../routing/index.js';
import {type CallerRequest, RequestEngine} from './index.js';

/** Pool that tracks only in-flight counts and drain flags. */
class FixturePool extends TargetPool {
  private readonly targets = new Map<string, ListedVm>();
  private readonly inFlight = new Map<string, number>();
  private readonly draining = new Set<string>();
  private slots = 1;
  private laneShare = 1;

  applyPreset(preset: {slotsPerTarget: number; longLaneShare: number}): void {
    this.slots = preset.slotsPerTarget;
    this.laneShare = preset.longLaneShare;
  }

  syncTargets(targets: readonly ListedVm[]): void {
    this.targets.clear();
    this.draining.clear();
    targets.forEach(target => this.targets.set(target.id, target));
    const leaving = targets.filter(target => target.state === 'leaving');
    leaving.forEach(target => this.draining.add(target.id));
  }

  setLiveVmCount(): void {
    // Shares between VMs are covered by the tests of the pool.
  }

  choose({kind, excludedTargetIds, random}: ChooseOptions): TargetChoice {
    const ids = [...this.targets.keys()];
    const laneSize = Math.ceil(ids.length * this.laneShare);
    const lane = kind.long && !kind.urgent ? ids.slice(0, laneSize) : ids;
    const usable = lane.filter(
      id => !this.draining.has(id) && !excludedTargetIds.includes(id),
    );
    const free = usable.filter(id => this.countOf(id) < this.slots);
    const targetId = free[random.nextInt(free.length)];
    if (targetId !== undefined) {
      return {type: 'target', targetId};
    }
    return {type: usable.length > 0 ? 'full' : 'none'};
  }

  onSent(targetId: string): void {
    this.inFlight.set(targetId, this.countOf(targetId) + 1);
  }

  onFinished(targetId: string): void {
    this.inFlight.set(targetId, this.countOf(targetId) - 1);
  }

  onReport(): void {
    // Load reports do not influence the choice of this pool.
  }

  markDraining(targetId: string): void {
    this.draining.add(targetId);
  }

  onPause(): void {
    // This pool does not depend on time.
  }

  statuses(): readonly TargetStatus[] {
    return [...this.targets.values()].map(({id, host, port}) => ({
      targetId: id,
      host,
      port,
      health: 'healthy',
      draining: this.draining.has(id),
      ownInFlight: this.countOf(id),
      estimatedInFlight: this.countOf(id),
      reportMeasuredMs: undefined,
    }));
  }

  private countOf(targetId: string): number {
    return this.inFlight.get(targetId) ?? 0;
  }
}

/** Scheduler that probes one target every 100 ms, in round-robin order. */
class FixtureScheduler extends ProbeScheduler {
  private nextMs: InstantMs;
  private turn = 0;

  constructor(startMs: InstantMs) {
    super();
    this.nextMs = startMs + 100;
  }

  setBudget(): void {
    // The budget is covered by the tests of the scheduler.
  }

  setLiveVms(): void {
    // This VM probes all targets.
  }

  next(
    candidates: readonly ProbeCandidate[],
    nowMs: InstantMs,
  ): string | undefined {
    if (nowMs < this.nextMs) {
      return undefined;
    }
    this.nextMs = nowMs + 100;
    this.turn += 1;
    return candidates[this.turn % candidates.length]?.targetId;
  }
}

/** Quarantine without expiry. */
class FixtureQuarantine extends CrashQuarantine {
  private readonly crashes = new Map<string, Set<string>>();

  onCrash(targetId: string, fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) {
      this.onPeerImplication(fingerprint, targetId);
    }
  }

  onAnswered(fingerprint: string): boolean {
    return this.crashes.delete(fingerprint);
  }

  onPeerImplication(fingerprint: string, targetId: string): void {
    const targets = this.crashes.get(fingerprint) ?? new Set();
    this.crashes.set(fingerprint, targets.add(targetId));
  }

  onPeerCleared(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  isQuarantined(fingerprint: string): boolean {
    return this.crashedTargetCount(fingerprint) >= 2;
  }

  crashedTargetCount(fingerprint: string): number {
    return this.crashes.get(fingerprint)?.size ?? 0;
  }

  quarantinedCount(): number {
    return this.quarantined().length;
  }

  quarantined(): readonly QuarantinedFingerprint[] {
    return [...this.crashes]
      .filter(([fingerprint]) => this.isQuarantined(fingerprint))
      .map(([fingerprint, targetIds]) => ({
        fingerprint,
        targetIds: [...targetIds],
        expiresMs: Infinity,
      }));
  }

  isImplicated(fingerprint: string): boolean {
    return this.crashes.has(fingerprint);
  }

  implications(): ReadonlyMap<string, readonly string[]> {
    return new Map([...this.crashes].map(([key, ids]) => [key, [...ids]]));
  }
}

const kinds: readonly KindPreset[] = [
  kindOf({name: 'price', pathPrefix: '/price', worth: 1, timeoutMs: 500}),
  kindOf({name: 'kiln', pathPrefix: '/kiln', urgent: true, worth: 5}),
  kindOf({name: 'batch', pathPrefix: '/batch', long: true, timeoutMs: 5000}),
  kindOf({
    name: 'book',
    pathPrefix: '/book',
    method: 'POST',
    idempotent: false,
    worth: 10,
  }),
];

function kindOf(fields: Partial<KindPreset>): KindPreset {
  return {
    name: 'kind',
    method: 'GET',
    pathPrefix: '/',
    idempotent: true,
    urgent: false,
    long: false,
    worth: 2,
    timeoutMs: 1000,
    ...fields,
  };
}

/**
 * Builds a preset with the service `desk`.
 *
 * @param fields - fields of the service that override the defaults
 * @param name - name of the preset
 * @returns the preset
 * @internal
 */
export function fixturePreset(
  fields: Readonly<Record<string, unknown>> = {},
  name = 'ordinary',
): Preset {
  const service = {
    name: 'desk',
    slotsPerTarget: 2,
    connectionsPerTarget: 280,
    probeBudgetPerSecond: 200,
    routing: 'random' as const,
    longLaneShare: 0.5,
    maxEjectedShare: 0.3,
    retryBudgetShare: 0.1,
    queueCapacity: 4,
    slowStartMs: 5000,
    admission: true,
    kinds,
    ...fields,
  };
  return {name, vmCeiling: 30, services: new Map([['desk', service]])};
}

/**
 * Builds targets of the service `desk`.
 *
 * @param count - number of targets
 * @param leavingIds - targets in state `leaving`
 * @returns entries of a VM list
 * @internal
 */
export function fixtureTargets(
  count: number,
  leavingIds: readonly string[] = [],
): readonly ListedVm[] {
  return Array.from({length: count}, (_, index) => ({
    id: `t-${index + 1}`,
    role: 'target' as const,
    service: 'desk',
    host: '127.0.0.1',
    port: 9000 + index,
    failureDomain: 'a',
    state: leavingIds.includes(`t-${index + 1}`) ? 'leaving' : 'live',
  }));
}

/**
 * Builds a request of a caller; by default a price check.
 *
 * @param requestId - id of the request
 * @param fields - fields that override the defaults
 * @returns the request
 * @internal
 */
export function fixtureRequest(
  requestId: string,
  fields: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    requestId,
    service: 'desk',
    method: fields.path === '/book' ? 'POST' : 'GET',
    path: '/price',
    fingerprint: `hash-${requestId}`,
    resourceFingerprint: fields.fingerprint ?? `hash-${requestId}`,
    bodySizeBytes: 0,
    idempotencyKey: undefined,
    attempt: undefined,
    deadlineMs: undefined,
    ...fields,
  };
}

/**
 * Creates an engine of VM `e-01` without preset and VM list.
 *
 * @param seed - seed of the random source
 * @param relayPort - port for requests of peers; undefined for none
 * @returns the engine
 * @internal
 */
export function fixtureEngine(seed: number, relayPort?: number): RequestEngine {
  return new RequestEngine({
    vmId: 'e-01',
    incarnationId: 'e-01/b1',
    failureDomain: 'a',
    random: new SeededRandom({seed}),
    createPool: () => new FixturePool(),
    createScheduler: ({startMs}) => new FixtureScheduler(startMs),
    quarantine: new FixtureQuarantine(),
    relayAddress:
      relayPort === undefined
        ? undefined
        : {host: '127.0.0.1', port: relayPort},
  });
}

/**
 * Creates an engine with preset, VM list and three ready VMs.
 *
 * @param options - `seed`; `targetCount`; `nowMs`: first instant; `relayPort`:
 *     port for requests of peers
 * @returns the engine
 * @internal
 */
export function readyEngine(options: {
  readonly seed: number;
  readonly targetCount: number;
  readonly nowMs: InstantMs;
  readonly relayPort?: number;
}): RequestEngine {
  const {seed, targetCount, nowMs, relayPort} = options;
  const engine = fixtureEngine(seed, relayPort);
  engine.applyPreset(fixturePreset(), nowMs);
  engine.applyVmList({vms: fixtureTargets(targetCount)}, nowMs);
  const readyVmIds = ['e-01', 'e-02', 'e-03'];
  engine.applyMembership({readyVmIds, liveVmIds: readyVmIds}, nowMs);
  return engine;
}
