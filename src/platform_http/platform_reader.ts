/**
 * Watch loops for the documents of the platform.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock, RandomSource} from '../core/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import {
  callPlatform,
  type PlatformError,
  type PlatformResponse,
} from './platform_client.js';
import {
  MAX_WATCH_MS,
  WatchSchedule,
  type PlannedCall,
} from './watch_schedule.js';

/** Names of the watched documents. */
const DOCUMENT_NAMES = ['config', 'vms'] as const satisfies DocumentName[];

/** Receiver of documents and errors. */
export interface PlatformListener {
  /** Called for each document received; it may be stale or malformed. */
  onDocument(document: PublishedDocument): void;
  /** Called when a call failed; the next one follows after a delay. */
  onError(name: DocumentName, error: PlatformError): void;
}

/** Dependencies and settings of a reader. */
export interface PlatformReaderOptions {
  /** Base URLs of the platform; each error switches to the next one. */
  readonly baseUrls: readonly string[];
  /** Sent in the `user-agent` header, so that the platform can count calls. */
  readonly vmId: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: PlatformListener;
  /**
   * Maximum duration of a watch in milliseconds; 25,000 by default and at most.
   */
  readonly watchMs?: number;
}

/** Call counts of a reader since its creation. */
export interface PlatformCallCounts {
  /** Calls started; a watch counts as one. */
  readonly calls: number;
  /** Documents received. */
  readonly documents: number;
  /** Calls that failed. */
  readonly errors: number;
}

/**
 * Watches the documents between `start` and `stop`. Passes on every document
 * received: the store decides which to adopt, so a stale or malformed response
 * does no harm.
 *
 * @example
 * ```ts
 * const reader = new PlatformReader({baseUrls, vmId, clock, random, listener});
 * reader.start();
 * ```
 */
export class PlatformReader {
  private readonly counts = {calls: 0, documents: 0, errors: 0};
  private abortController: AbortController | undefined;
  private watchLoops: Promise<unknown> = Promise.resolve();

  /**
   * @param options - dependencies and settings
   */
  constructor(private readonly options: PlatformReaderOptions) {}

  /** Whether the reader is watching, from `start` to `stop`. */
  get started(): boolean {
    return this.abortController !== undefined;
  }

  /** Starts watching the documents; has no effect if already started. */
  start(): void {
    if (this.abortController !== undefined) {
      return;
    }
    const abortController = new AbortController();
    this.abortController = abortController;
    const previousLoops = this.watchLoops;
    this.watchLoops = Promise.all(
      DOCUMENT_NAMES.map(async name => {
        await previousLoops;
        await this.watch(name, abortController.signal);
      }),
    );
  }

  /**
   * Stops watching and aborts open calls; has no effect if already stopped.
   *
   * @returns a promise that resolves when no call is open
   */
  async stop(): Promise<void> {
    this.abortController?.abort();
    this.abortController = undefined;
    await this.watchLoops;
  }

  /**
   * Returns the call counts since creation.
   *
   * @returns calls, documents and errors
   */
  callCounts(): PlatformCallCounts {
    return {...this.counts};
  }

  /** Watches one document until the signal is aborted. */
  private async watch(name: DocumentName, signal: AbortSignal): Promise<void> {
    const {baseUrls, clock, random} = this.options;
    const schedule = new WatchSchedule(random);
    let urlIndex = 0;
    while (!signal.aborted) {
      const call = schedule.next(clock.nowMs());
      await delay(call.startMs - clock.nowMs(), signal);
      if (signal.aborted) {
        return;
      }
      schedule.recordStart(call, clock.nowMs());
      const baseUrl = baseUrls[urlIndex % baseUrls.length] ?? '';
      const response = await this.call(baseUrl, name, call, signal);
      if (signal.aborted) {
        return;
      }
      if (response.isErr() && response.error.type === 'history-lost') {
        schedule.recordOutcome({type: 'history-lost'}, clock.nowMs());
      } else if (response.isErr()) {
        schedule.recordOutcome({type: 'failed'}, clock.nowMs());
        urlIndex++;
        this.counts.errors++;
        this.options.listener.onError(name, response.error);
      } else if (response.value === undefined) {
        schedule.recordOutcome({type: 'unchanged'}, clock.nowMs());
      } else {
        const {version} = response.value;
        const outcome = schedule.classify(version, call.after);
        schedule.recordOutcome(outcome, clock.nowMs());
        this.counts.documents++;
        this.options.listener.onDocument(response.value);
      }
    }
  }

  /** Calls the platform once and counts the call. */
  private call(
    baseUrl: string,
    name: DocumentName,
    {after, era}: PlannedCall,
    signal: AbortSignal,
  ): Promise<Result<PlatformResponse, PlatformError>> {
    const {vmId, watchMs = MAX_WATCH_MS} = this.options;
    this.counts.calls++;
    return callPlatform({
      baseUrl,
      name,
      after,
      era,
      waitMs: Math.min(watchMs, MAX_WATCH_MS),
      userAgent: `sycamorepitch/${vmId}`,
      signal,
    });
  }
}

/** Waits; returns early, without an error, if the signal is aborted. */
async function delay(delayMs: number, signal: AbortSignal): Promise<void> {
  if (delayMs <= 0) {
    return;
  }
  await sleep(delayMs, undefined, {signal}).catch(() => undefined);
}
