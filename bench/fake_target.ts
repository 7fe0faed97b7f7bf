/**
 * Simulates a target: slots, a bounded queue, explicit refusals, neighbours
 * that slow it down, cold start, crash and drain.
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

/** Mean share of the slots' capacity that neighbours do not take. */
export const REMAINING_CAPACITY_SHARE = 0.94;

/** Slowdown of a restarted target; falls to 1 while it warms up. */
const COLD_FACTOR = 3;
const WARM_UP_MS = 5_000;

/** Time from a crash until the target accepts connections again. */
const RESTART_MS = 2_000;

/** Request at a target. */
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

/** Interval in which a neighbour slows a target down. */
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

/** Simulated target. */
export class FakeTarget {
  isDraining = false;
  isDown = false;
  crashCount = 0;
  /** Instants at which probes arrived. */
  readonly probedMs: number[] = [];
  private readonly running = new Set<Work>();
  private readonly waiting: Work[] = [];
  private readonly phases: readonly SlowPhase[];
  private nextPhaseIndex = 0;
  private startedMs = -Infinity;

  constructor(private readonly options: FakeTargetOptions) {
    this.phases = drawSlowPhases(options.random, options.endMs);
  }

  get listed(): ListedVm {
    return this.options.listed;
  }

  /** Number of running and queued requests. */
  get inFlight(): number {
    return this.running.size + this.waiting.length;
  }

  /**
   * Accepts a request unless the target is draining or full.
   *
   * @param work - the request
   * @param nowMs - simulated instant in milliseconds
   * @returns false if the request is refused and never starts
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
   * Removes a request that its sender cancelled.
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
      this.options.events.add(this.endOfWorkMs(workMs, nowMs), atMs => {
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
    const warmedShare = Math.min((nowMs - this.startedMs) / WARM_UP_MS, 1);
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmedShare;
  }

  /** Returns the instant at which work ends, given the slow phases. */
  private endOfWorkMs(workMs: number, startMs: number): number {
    let nowMs = startMs;
    let leftMs = workMs;
    while ((this.phases[this.nextPhaseIndex]?.endMs ?? Infinity) <= startMs) {
      this.nextPhaseIndex += 1;
    }
    for (
      let index = this.nextPhaseIndex;
      index < this.phases.length;
      index += 1
    ) {
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

function drawSlowPhases(
  random: RandomSource,
  endMs: number,
): readonly SlowPhase[] {
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
