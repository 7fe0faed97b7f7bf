/**
 * Simulated target: slots, a bounded queue, explicit refusals, neighbours that
 * change its speed, cold start, crash and drain.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../src/core/index.js';
import type {ListedVm} from '../src/preset/index.js';
import type {EventQueue} from './event_queue.js';

/** A neighbour slows a target by this factor, on average 8 % of the time. */
const NEIGHBOUR_FACTOR = 4;
const NEIGHBOUR_GAP_MS = 575;
const NEIGHBOUR_MIN_MS = 20;
const NEIGHBOUR_SPREAD_MS = 60;

/** Part of the slots' capacity that neighbours leave, on average. */
export const NEIGHBOUR_CAPACITY = 0.94;

/** A restarted target is this many times slower, falling to 1. */
const COLD_FACTOR = 3;
const WARM_UP_MS = 5_000;

/** Time from a crash until the target listens again. */
const RESTART_MS = 2_000;

/** One request at a target. */
export interface Work {
  readonly workMs: number;
  /** Crashes the target that starts it. */
  readonly isPoisoned: boolean;
  /** Called when the target starts the work. */
  readonly onStarted: () => void;
  /** Called when the work is complete. */
  readonly onFinished: (nowMs: number) => void;
  /** Called when the target crashes before the work is complete. */
  readonly onLost: (nowMs: number) => void;
}

/** Time in which a neighbour slows a target down. */
interface SlowPhase {
  readonly startMs: number;
  readonly endMs: number;
}

/** Options of {@link FakeTarget}. */
export interface FakeTargetOptions {
  readonly listed: ListedVm;
  readonly slots: number;
  readonly queueLimit: number;
  readonly events: EventQueue;
  readonly random: RandomSource;
  readonly endMs: number;
}

/** One simulated target. */
export class FakeTarget {
  isDraining = false;
  isDown = false;
  crashCount = 0;
  /** Instants at which probes arrived. */
  readonly probedMs: number[] = [];
  private readonly running = new Set<Work>();
  private readonly waiting: Work[] = [];
  private readonly phases: readonly SlowPhase[];
  private nextPhase = 0;
  private startedMs = -Infinity;

  constructor(private readonly options: FakeTargetOptions) {
    this.phases = slowPhases(options.random, options.endMs);
  }

  get listed(): ListedVm {
    return this.options.listed;
  }

  /** Requests that run or wait. */
  get inFlight(): number {
    return this.running.size + this.waiting.length;
  }

  /**
   * Takes in a request.
   *
   * @param work - the request
   * @param nowMs - simulated instant in milliseconds
   * @returns false if it is refused; the work is then never started
   */
  accept(work: Work, nowMs: number): boolean {
    const isFull =
      this.running.size >= this.options.slots &&
      this.waiting.length >= this.options.queueLimit;
    if (this.isDraining || isFull) {
      return false;
    }
    this.waiting.push(work);
    this.startWaiting(nowMs);
    return true;
  }

  /**
   * Drops a request that its sender cancelled.
   *
   * @param work - the request; no effect if it has ended
   * @param nowMs - simulated instant in milliseconds
   */
  cancel(work: Work, nowMs: number): void {
    const index = this.waiting.indexOf(work);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    if (this.running.delete(work)) {
      this.startWaiting(nowMs);
    }
  }

  private startWaiting(nowMs: number): void {
    while (!this.isDown && this.running.size < this.options.slots) {
      const work = this.waiting.shift();
      if (work === undefined) {
        return;
      }
      this.running.add(work);
      work.onStarted();
      if (work.isPoisoned) {
        this.crash(nowMs);
        return;
      }
      const workMs = work.workMs * this.coldFactor(nowMs);
      this.options.events.add(this.endOfWork(workMs, nowMs), atMs => {
        if (this.running.delete(work)) {
          work.onFinished(atMs);
          this.startWaiting(atMs);
        }
      });
    }
  }

  private crash(nowMs: number): void {
    const lost = [...this.running, ...this.waiting];
    this.running.clear();
    this.waiting.length = 0;
    this.isDown = true;
    this.crashCount += 1;
    lost.forEach(work => work.onLost(nowMs));
    this.options.events.add(nowMs + RESTART_MS, atMs => {
      this.isDown = false;
      this.startedMs = atMs;
    });
  }

  private coldFactor(nowMs: number): number {
    const warmed = Math.min((nowMs - this.startedMs) / WARM_UP_MS, 1);
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmed;
  }

  /** Instant at which work ends that is slowed down within the phases. */
  private endOfWork(workMs: number, startMs: number): number {
    let nowMs = startMs;
    let leftMs = workMs;
    while ((this.phases[this.nextPhase]?.endMs ?? Infinity) <= startMs) {
      this.nextPhase += 1;
    }
    for (let index = this.nextPhase; index < this.phases.length; index += 1) {
      const phase = this.phases[index];
      if (phase === undefined || leftMs <= phase.startMs - nowMs) {
        break;
      }
      const untilPhaseMs = Math.max(phase.startMs - nowMs, 0);
      nowMs += untilPhaseMs;
      leftMs -= untilPhaseMs;
      const doneMs = Math.min(leftMs, (phase.endMs - nowMs) / NEIGHBOUR_FACTOR);
      nowMs += doneMs * NEIGHBOUR_FACTOR;
      leftMs -= doneMs;
    }
    return nowMs + leftMs;
  }
}

function slowPhases(random: RandomSource, endMs: number): readonly SlowPhase[] {
  const phases: SlowPhase[] = [];
  let nowMs = 0;
  while (nowMs < endMs) {
    const startMs = nowMs - Math.log(1 - random.nextFloat()) * NEIGHBOUR_GAP_MS;
    nowMs =
      startMs + NEIGHBOUR_MIN_MS + NEIGHBOUR_SPREAD_MS * random.nextFloat();
    phases.push({startMs, endMs: nowMs});
  }
  return phases;
}
