/**
 * Reads and watches both documents of the platform.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock, RandomSource} from '../core/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import {
  callPlatform,
  type PlatformAnswer,
  type PlatformError,
} from './platform_client.js';
import {MAX_WATCH_MS, WatchSchedule} from './watch_schedule.js';

/** Documents that are watched. */
const DOCUMENT_NAMES = ['config', 'vms'] as const satisfies DocumentName[];

/** Receiver of what the platform answers. */
export interface PlatformListener {
  /** A document arrived; it may be old or malformed. */
  onDocument(document: PublishedDocument): void;
  /** A call failed; the next one follows after a delay. */
  onError(name: DocumentName, error: PlatformError): void;
}

/** Dependencies and settings of a reader. */
export interface PlatformReaderOptions {
  /** Base URLs of the platform; the next one is used after an error. */
  readonly baseUrls: readonly string[];
  /** Sent in the `user-agent` header, so that the platform can count calls. */
  readonly vmId: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: PlatformListener;
  /** Longest wait of a watch in milliseconds; 25,000 by default and at most. */
  readonly watchMs?: number;
}

/** Counts of a reader since its creation. */
export interface PlatformCallCounts {
  /** Calls started, each watch counted as one. */
  readonly calls: number;
  /** Documents answered. */
  readonly documents: number;
  /** Calls that failed. */
  readonly errors: number;
}

/**
 * Watches the documents while it is started. Documents are passed on as they
 * come: the store decides what to keep, so a stale or malformed answer loses
 * nothing.
 *
 * @example
 * ```ts
 * const reader = new PlatformReader({baseUrls, vmId, clock, random, listener});
 * reader.start();
 * ```
 */
export class PlatformReader {
  private readonly counts = {calls: 0, documents: 0, errors: 0};
  private running: AbortController | undefined;
  private loops: Promise<unknown> = Promise.resolve();

  /**
   * @param options - dependencies and settings
   */
  constructor(private readonly options: PlatformReaderOptions) {}

  /** True between `start` and `stop`. */
  get started(): boolean {
    return this.running !== undefined;
  }

  /** Starts to watch both documents; no effect if started. */
  start(): void {
    if (this.running !== undefined) {
      return;
    }
    const running = new AbortController();
    this.running = running;
    const previous = this.loops;
    this.loops = Promise.all(
      DOCUMENT_NAMES.map(async name => {
        await previous;
        await this.watch(name, running.signal);
      }),
    );
  }

  /**
   * Stops watching and aborts open calls; no effect if stopped.
   *
   * @returns a promise that resolves when no call is open any more
   */
  async stop(): Promise<void> {
    this.running?.abort();
    this.running = undefined;
    await this.loops;
  }

  /**
   * Counts since the creation.
   *
   * @returns calls, documents and errors
   */
  callCounts(): PlatformCallCounts {
    return {...this.counts};
  }

  /** Watches one document until the signal. */
  private async watch(name: DocumentName, signal: AbortSignal): Promise<void> {
    const {baseUrls, clock, random} = this.options;
    const schedule = new WatchSchedule(random);
    let urlIndex = 0;
    while (!signal.aborted) {
      const call = schedule.next(clock.nowMs());
      await pause(call.startMs - clock.nowMs(), signal);
      if (signal.aborted) {
        return;
      }
      schedule.onStart(call, clock.nowMs());
      const baseUrl = baseUrls[urlIndex % baseUrls.length] ?? '';
      const answer = await this.call(baseUrl, name, call.after, signal);
      if (signal.aborted) {
        return;
      }
      if (answer.isErr()) {
        schedule.onOutcome({type: 'failed'}, clock.nowMs());
        urlIndex++;
        this.counts.errors++;
        this.options.listener.onError(name, answer.error);
      } else if (answer.value === undefined) {
        schedule.onOutcome({type: 'unchanged'}, clock.nowMs());
      } else {
        const {platformVersion} = answer.value.version;
        const outcome = schedule.classify(platformVersion, call.after);
        schedule.onOutcome(outcome, clock.nowMs());
        this.counts.documents++;
        this.options.listener.onDocument(answer.value);
      }
    }
  }

  /** Makes one call. */
  private call(
    baseUrl: string,
    name: DocumentName,
    after: number | undefined,
    signal: AbortSignal,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    const {vmId, watchMs = MAX_WATCH_MS} = this.options;
    this.counts.calls++;
    return callPlatform({
      baseUrl,
      name,
      after,
      waitMs: Math.min(watchMs, MAX_WATCH_MS),
      userAgent: `sycamorepitch/${vmId}`,
      signal,
    });
  }
}

/** Waits; ends early without error when the signal is aborted. */
async function pause(delayMs: number, signal: AbortSignal): Promise<void> {
  if (delayMs <= 0) {
    return;
  }
  await sleep(delayMs, undefined, {signal}).catch(() => undefined);
}
