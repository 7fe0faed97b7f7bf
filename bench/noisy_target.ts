/**
 * Simulates a target of the delivery model: slots, a bounded queue, and a speed
 * that changes.
 *
 * @packageDocumentation
 */
import type {EventQueue} from './event_queue.js';

/** Requests that a target queues; it drops further ones. */
const TARGET_QUEUE_LIMIT = 6;

/** Options of {@link NoisyTarget}. */
export interface NoisyTargetOptions {
  readonly slots: number;
  /** Share of busy slots above which the target is slower, and the factor. */
  readonly kneeShare: number;
  readonly kneeFactor: number;
}

interface Work {
  readonly finish: () => void;
  leftMs: number;
}

/** Simulated target whose running work continues at each new speed. */
export class NoisyTarget {
  slowness = 1;
  readonly running: Work[] = [];
  readonly waiting: Work[] = [];
  private updatedMs = 0;
  private version = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly options: NoisyTargetOptions,
  ) {}

  /** Factor by which work takes longer now than at normal speed. */
  private get currentSlowness(): number {
    const {slots, kneeShare, kneeFactor} = this.options;
    const isNearlyFull = this.running.length > slots * kneeShare;
    return this.slowness * (isNearlyFull ? kneeFactor : 1);
  }

  /** Changes the speed; running work continues at the new speed. */
  setSlowness(slowness: number, nowMs: number): void {
    this.advance(nowMs);
    this.slowness = slowness;
    this.schedule(nowMs);
  }

  /**
   * Accepts a request unless all slots and the queue are full.
   *
   * @param workMs - service time of the request at normal speed
   * @param finish - called when the request is complete
   * @param nowMs - current instant in milliseconds
   * @returns false if the target drops the request
   */
  accept(workMs: number, finish: () => void, nowMs: number): boolean {
    this.advance(nowMs);
    const request = {leftMs: workMs, finish};
    if (this.running.length < this.options.slots) {
      this.running.push(request);
    } else if (this.waiting.length < TARGET_QUEUE_LIMIT) {
      this.waiting.push(request);
    } else {
      return false;
    }
    this.schedule(nowMs);
    return true;
  }

  private advance(nowMs: number): void {
    const doneMs = (nowMs - this.updatedMs) / this.currentSlowness;
    this.running.forEach(request => (request.leftMs -= doneMs));
    this.updatedMs = nowMs;
  }

  private schedule(nowMs: number): void {
    this.version += 1;
    const {version} = this;
    const leftMs = Math.min(...this.running.map(request => request.leftMs));
    if (Number.isFinite(leftMs)) {
      const finishMs = nowMs + Math.max(0, leftMs) * this.currentSlowness;
      this.queue.add(finishMs, atMs => this.finishDue(version, atMs));
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
