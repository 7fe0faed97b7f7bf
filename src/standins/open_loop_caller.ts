/**
 * Open-loop caller, whose arrivals do not depend on the latency of answers.
 *
 * @packageDocumentation
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import type {RandomSource} from '../core/index.js';
import {
  KindReport,
  type CallerReport,
  type FinalResult,
} from './caller_report.js';
import type {CallerKind, CallerSettings} from './caller_settings.js';
import {CallerTrace} from './caller_trace.js';
import {EntryReadiness} from './entry_readiness.js';
import {checkLedgers} from './ledger_check.js';

/** Time that the caller waits beyond the timeout that it sends. */
const ANSWER_GRACE_MS = 2_000;

/** Delay before a request is sent again. */
const RESEND_PAUSE_MS = 100;

/** One planned request. */
interface Arrival {
  readonly id: string;
  readonly kind: CallerKind;
  /** Planned instant, in milliseconds of the monotonic clock. */
  readonly plannedMs: number;
  readonly firstEntryIndex: number;
  /** Whether two copies are sent at once, through different entries. */
  readonly isTwin: boolean;
}

/** Result of one copy of a request. */
type SendResult = FinalResult | 'not-run' | 'no-answer';

/** Sends the requests of a run and collects the results. */
export class OpenLoopCaller {
  private readonly agent = new Agent({connections: 512, pipelining: 1});
  private readonly reports = new Map<string, KindReport>();
  private readonly refusedIds = new Set<string>();
  private readonly onceIds = new Set<string>();
  private readonly runId: string;
  private readonly trace: CallerTrace | undefined;
  private readonly readiness: EntryReadiness;

  /**
   * @param settings - settings of the run
   * @param random - random source of arrivals, kinds and entries
   */
  constructor(
    private readonly settings: CallerSettings,
    private readonly random: RandomSource,
  ) {
    this.runId = `${settings.seed}-${process.pid}`;
    const {tracePath, entries, readyPorts} = settings;
    this.trace =
      tracePath === undefined ? undefined : new CallerTrace(tracePath);
    this.readiness = new EntryReadiness(entries, readyPorts);
    for (const kind of settings.kinds) {
      this.reports.set(kind.name, new KindReport(kind.worth));
    }
  }

  /**
   * Sends requests until the end of the load curve and waits for all results.
   *
   * @returns the results
   */
  async run(): Promise<CallerReport> {
    const {durationMs, seed} = this.settings;
    await this.readiness.start();
    const startMs = performance.now();
    const pendingRequests: Promise<void>[] = [];
    let arrivalCount = 0;
    let offsetMs = this.nextGapMs(0);
    while (offsetMs < durationMs) {
      const delayMs = startMs + offsetMs - performance.now();
      if (delayMs > 0) {
        await sleep(Math.ceil(delayMs));
      }
      const arrival = this.planArrival(arrivalCount++, startMs + offsetMs);
      pendingRequests.push(this.sendUntilResolved(arrival));
      offsetMs += this.nextGapMs(offsetMs);
    }
    await Promise.all(pendingRequests);
    this.readiness.stop();
    const ledger = await checkLedgers({
      controlPorts: this.settings.controlPorts,
      onceIds: this.onceIds,
      refusedIds: this.refusedIds,
    });
    await this.agent.close();
    return {seed, durationMs, kinds: this.reports, ledger};
  }

  /** Draws the time to the next arrival of a Poisson process. */
  private nextGapMs(offsetMs: number): number {
    const perSecond = Math.max(rateAt(this.settings.curve, offsetMs), 0.1);
    return (-Math.log(1 - this.random.nextFloat()) * 1_000) / perSecond;
  }

  private planArrival(index: number, plannedMs: number): Arrival {
    const kind = this.drawKind();
    const firstEntryIndex = this.random.nextInt(this.settings.entries.length);
    const isTwin =
      !kind.idempotent &&
      this.settings.twinShare > 0 &&
      this.random.nextFloat() < this.settings.twinShare;
    return {
      id: `${this.runId}-${index}`,
      kind,
      plannedMs,
      firstEntryIndex,
      isTwin,
    };
  }

  private drawKind(): CallerKind {
    const {kinds} = this.settings;
    const totalShare = kinds.reduce((sum, kind) => sum + kind.share, 0);
    let remainingShare = this.random.nextFloat() * totalShare;
    for (const kind of kinds) {
      remainingShare -= kind.share;
      if (remainingShare < 0) {
        return kind;
      }
    }
    return kinds[kinds.length - 1] as CallerKind;
  }

  /** Sends a request, and resends it until it is resolved or out of copies. */
  private async sendUntilResolved(arrival: Arrival): Promise<void> {
    const {kind, id} = arrival;
    const report = this.reports.get(kind.name);
    if (!kind.idempotent) {
      this.onceIds.add(id);
    }
    let attempt = 1;
    let copyCount = arrival.isTwin ? 2 : 1;
    const firstSends = Array.from({length: copyCount}, (_, i) =>
      this.send(arrival, i === 0 ? 1 : this.settings.twinAttempt, i + 1),
    );
    let lastResult = selectMostInformative(await Promise.all(firstSends));
    let wasUncertain = lastResult === 'uncertain' || lastResult === 'no-answer';
    while (shouldResend(lastResult) && copyCount < this.settings.maxSendings) {
      await sleep(RESEND_PAUSE_MS);
      // Counts only results that leave open whether the request ran.
      attempt += lastResult === 'not-run' ? 0 : 1;
      copyCount += 1;
      if (report !== undefined) {
        report.resendCount += 1;
      }
      lastResult = await this.send(arrival, attempt, copyCount);
      wasUncertain ||= lastResult === 'uncertain' || lastResult === 'no-answer';
    }
    const latencyMs = performance.now() - arrival.plannedMs;
    if (lastResult === 'not-run' && !wasUncertain) {
      this.refusedIds.add(id);
    }
    report?.record(
      toFinalResult(lastResult),
      latencyMs,
      latencyMs > kind.timeoutMs,
    );
  }

  /** Sends one copy and counts a missing answer. */
  private async send(
    arrival: Arrival,
    attempt: number,
    copyNumber: number,
  ): Promise<SendResult> {
    const result = await this.sendOnce(arrival, attempt, copyNumber);
    const report = this.reports.get(arrival.kind.name);
    if (result === 'no-answer' && report !== undefined) {
      report.noAnswerCount += 1;
    }
    return result;
  }

  /** Sends one copy and writes it to the trace. */
  private async sendOnce(
    arrival: Arrival,
    attempt: number,
    copyNumber: number,
  ): Promise<SendResult> {
    const {kind, id} = arrival;
    const entries = this.readiness.usableEntries();
    const entry =
      entries[(arrival.firstEntryIndex + copyNumber - 1) % entries.length];
    const record = {
      id,
      kind: kind.name,
      idempotent: kind.idempotent,
      sending: `${id}#${copyNumber}`,
      entryPort: entry?.port ?? 0,
      sentAtMs: Date.now(),
    };
    const recordResult = (
      result: SendResult,
      status: number,
      verdict: string,
      reason: string,
    ): SendResult => {
      const doneAtMs = Date.now();
      this.trace?.write({...record, doneAtMs, result, status, verdict, reason});
      return result;
    };
    try {
      const response = await sendRequest(
        `http://${entry?.host}:${entry?.port}${kind.path}`,
        {
          method: kind.method as 'GET',
          dispatcher: this.agent,
          headers: buildHeaders(kind, record, attempt),
          body:
            kind.bodyBytes > 0 ? buildRequestBody(id, kind.bodyBytes) : null,
          signal: AbortSignal.timeout(kind.timeoutMs + ANSWER_GRACE_MS),
        },
      );
      const body = await response.body.text();
      const verdict = String(response.headers['x-verdict']);
      const {statusCode, headers} = response;
      const result = classifyAnswer(statusCode, verdict, body, record);
      const reason = String(headers['x-refusal-reason'] ?? '');
      return recordResult(result, statusCode, verdict, reason);
    } catch (error) {
      // No byte of the request was sent on a refused connection.
      const {code} = error as NodeJS.ErrnoException;
      const result = code === 'ECONNREFUSED' ? 'not-run' : 'no-answer';
      return recordResult(result, 0, 'none', code ?? String(error));
    }
  }
}

/** Returns the rate of the load curve at an offset, interpolated linearly. */
function rateAt(curve: CallerSettings['curve'], offsetMs: number): number {
  const nextIndex = curve.findIndex(point => point.atMs > offsetMs);
  const after = curve[nextIndex];
  const before =
    curve[nextIndex < 0 ? curve.length - 1 : Math.max(0, nextIndex - 1)];
  if (before === undefined || after === undefined || before === after) {
    return before?.requestsPerSecond ?? 0;
  }
  const fraction = (offsetMs - before.atMs) / (after.atMs - before.atMs);
  return (
    before.requestsPerSecond +
    fraction * (after.requestsPerSecond - before.requestsPerSecond)
  );
}

/** Returns the headers of one copy of a request. */
function buildHeaders(
  kind: CallerKind,
  sent: {readonly id: string; readonly sending: string},
  attempt: number,
): Record<string, string> {
  return {
    'x-service': kind.service,
    'x-request-id': sent.id,
    'x-sending-id': sent.sending,
    'x-attempt': String(attempt),
    'x-timeout-ms': String(kind.timeoutMs),
    ...(kind.idempotent ? {} : {'idempotency-key': sent.id}),
    ...kind.headers,
  };
}

function buildRequestBody(id: string, sizeBytes: number): string {
  return JSON.stringify({id, pad: 'y'.repeat(sizeBytes)});
}

/** Returns the most informative result of copies that were sent at once. */
function selectMostInformative(results: readonly SendResult[]): SendResult {
  const precedence: readonly SendResult[] = [
    'wrong',
    'answered',
    'already-ran',
    'uncertain',
    'no-answer',
    'failed',
    'not-run',
  ];
  return precedence.find(result => results.includes(result)) ?? 'failed';
}

/** Returns whether the request should be sent again. */
function shouldResend(result: SendResult): boolean {
  return ['not-run', 'uncertain', 'no-answer'].includes(result);
}

/** Converts the result of the last copy to that of the request. */
function toFinalResult(result: SendResult): FinalResult {
  switch (result) {
    case 'not-run':
      return 'refused';
    case 'no-answer':
      return 'failed';
    default:
      return result;
  }
}

/** Classifies an answer; `wrong` if truncated or meant for another copy. */
function classifyAnswer(
  status: number,
  verdict: string,
  body: string,
  sent: {readonly id: string; readonly sending: string},
): SendResult {
  if (verdict === 'not-run') {
    return 'not-run';
  }
  if (status === 409) {
    return verdict === 'ran' ? 'already-ran' : 'uncertain';
  }
  if (verdict === 'may-have-run') {
    return 'uncertain';
  }
  if (status !== 200) {
    return 'failed';
  }
  try {
    const answer = JSON.parse(body) as Partial<typeof sent>;
    const isOwn = answer.id === sent.id && answer.sending === sent.sending;
    return isOwn ? 'answered' : 'wrong';
  } catch {
    return 'wrong';
  }
}
