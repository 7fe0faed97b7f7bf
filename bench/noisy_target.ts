/**
 * Target of the model: slots, a queue, and a speed that changes.
 *
 * @packageDocumentation
 */
import type {EventQueue} from './event_queue.js';

/** Requests that a target queues; it breaks off those beyond. */
const TARGET_QUEUE = 6;

/** Options of {@link NoisyTarget}. */
export interface NoisyTargetOptions {
  readonly slots: number;
  /** Share of the slots from which on the target is slower, and how much. */
  readonly kneeShare: number;
  readonly kneeFactor: number;
}

interface Running {
  readonly finish: () => void;
  leftMs: number;
}

/** Processor of slots whose speed changes; work goes on at the new speed. */
export class NoisyTarget {
  slowness = 1;
  readonly running: Running[] = [];
  readonly waiting: Running[] = [];
  private updatedMs = 0;
  private version = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly options: NoisyTargetOptions,
  ) {}

  /** Time that work takes now, as a multiple of the undisturbed time. */
  private get pace(): number {
    const {slots, kneeShare, kneeFactor} = this.options;
    const isNearlyFull = this.running.length > slots * kneeShare;
    return this.slowness * (isNearlyFull ? kneeFactor : 1);
  }

  /** Changes the speed; work that runs goes on at the new one. */
  setSlowness(slowness: number, nowMs: number): void {
    this.advance(nowMs);
    this.slowness = slowness;
    this.schedule(nowMs);
  }

  /**
   * Takes in a request.
   *
   * @param workMs - time of the request on an undisturbed target
   * @param finish - called when it is done
   * @param nowMs - current instant in milliseconds
   * @returns false if the target is full
   */
  accept(workMs: number, finish: () => void, nowMs: number): boolean {
    this.advance(nowMs);
    const request = {leftMs: workMs, finish};
    if (this.running.length < this.options.slots) {
      this.running.push(request);
    } else if (this.waiting.length < TARGET_QUEUE) {
      this.waiting.push(request);
    } else {
      return false;
    }
    this.schedule(nowMs);
    return true;
  }

  private advance(nowMs: number): void {
    const doneMs = (nowMs - this.updatedMs) / this.pace;
    this.running.forEach(request => (request.leftMs -= doneMs));
    this.updatedMs = nowMs;
  }

  private schedule(nowMs: number): void {
    this.version += 1;
    const {version} = this;
    const leftMs = Math.min(...this.running.map(request => request.leftMs));
    if (Number.isFinite(leftMs)) {
      const atMs = nowMs + Math.max(0, leftMs) * this.pace;
      this.queue.add(atMs, at => this.finishDue(version, at));
    }
  }

  private finishDue(version: number, nowMs: number): void {
    if (version !== this.version) {
      return;
    }
    this.advance(nowMs);
    const due = this.running.filter(({leftMs}) => leftMs <= 1e-6);
    for (const request of due) {
      this.running.splice(this.running.indexOf(request), 1);
      request.finish();
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.running.push(next);
      }
    }
    this.schedule(nowMs);
  }
}
