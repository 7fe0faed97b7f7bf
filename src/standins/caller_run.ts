/**
 * Open-loop caller: requests arrive as planned, whatever the answers take.
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
import {CallerTrace} from './caller_trace.js';
import type {CallerKind, CallerSettings} from './caller_settings.js';
import {EntryReadiness} from './entry_readiness.js';
import {checkLedgers} from './ledger_check.js';

/** Time that a caller waits beyond its stated timeout. */
const ANSWER_GRACE_MS = 2_000;

/** Pause before a request is sent again. */
const RESEND_PAUSE_MS = 100;

/** One planned request. */
interface Arrival {
  readonly id: string;
  readonly kind: CallerKind;
  readonly plannedMs: number;
  readonly firstEntry: number;
  /** Sent through two entries at once. */
  readonly isTwin: boolean;
}

/** What one sending showed. */
type Sending = FinalResult | 'not-run' | 'no-answer';

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
   * @param random - source of arrivals and kinds
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
   * Runs to the end of the load curve and waits for the last answers.
   *
   * @returns the results
   */
  async run(): Promise<CallerReport> {
    const {durationMs, seed} = this.settings;
    await this.readiness.start();
    const startMs = performance.now();
    const open: Promise<void>[] = [];
    let count = 0;
    let offsetMs = this.nextGapMs(0);
    while (offsetMs < durationMs) {
      const aheadMs = startMs + offsetMs - performance.now();
      if (aheadMs > 0) {
        await sleep(Math.ceil(aheadMs));
      }
      const arrival = this.plan(count++, startMs + offsetMs);
      open.push(this.handle(arrival));
      offsetMs += this.nextGapMs(offsetMs);
    }
    await Promise.all(open);
    this.readiness.stop();
    const ledger = await checkLedgers({
      controlPorts: this.settings.controlPorts,
      onceIds: this.onceIds,
      refusedIds: this.refusedIds,
    });
    await this.agent.close();
    return {seed, durationMs, kinds: this.reports, ledger};
  }

  private nextGapMs(offsetMs: number): number {
    const perSecond = Math.max(rateAt(this.settings.curve, offsetMs), 0.1);
    return (-Math.log(1 - this.random.nextFloat()) * 1_000) / perSecond;
  }

  private plan(index: number, plannedMs: number): Arrival {
    const kind = this.drawKind();
    const firstEntry = this.random.nextInt(this.settings.entries.length);
    const isTwin =
      !kind.idempotent &&
      this.settings.twinShare > 0 &&
      this.random.nextFloat() < this.settings.twinShare;
    return {id: `${this.runId}-${index}`, kind, plannedMs, firstEntry, isTwin};
  }

  private drawKind(): CallerKind {
    const {kinds} = this.settings;
    const total = kinds.reduce((sum, kind) => sum + kind.share, 0);
    let rest = this.random.nextFloat() * total;
    for (const kind of kinds) {
      rest -= kind.share;
      if (rest < 0) {
        return kind;
      }
    }
    return kinds[kinds.length - 1] as CallerKind;
  }

  /** Sends one request, again if its answer allows or demands it. */
  private async handle(arrival: Arrival): Promise<void> {
    const {kind, id} = arrival;
    const report = this.reports.get(kind.name);
    if (!kind.idempotent) {
      this.onceIds.add(id);
    }
    let attempt = 1;
    let sendings = arrival.isTwin ? 2 : 1;
    const first = Array.from({length: sendings}, (_, i) =>
      this.send(arrival, i === 0 ? 1 : this.settings.twinAttempt, i + 1),
    );
    let last = mostInformative(await Promise.all(first));
    let everUncertain = last === 'uncertain' || last === 'no-answer';
    while (isOpen(last) && sendings < this.settings.maxSendings) {
      await sleep(RESEND_PAUSE_MS);
      // The count rises only after an answer that left the result open.
      attempt += last === 'not-run' ? 0 : 1;
      sendings += 1;
      if (report !== undefined) {
        report.resends += 1;
      }
      last = await this.send(arrival, attempt, sendings);
      everUncertain ||= last === 'uncertain' || last === 'no-answer';
    }
    const tookMs = performance.now() - arrival.plannedMs;
    if (last === 'not-run' && !everUncertain) {
      this.refusedIds.add(id);
    }
    report?.record(finalOf(last), tookMs, tookMs > kind.timeoutMs);
  }

  private async send(
    arrival: Arrival,
    attempt: number,
    sendings: number,
  ): Promise<Sending> {
    const sending = await this.sendOnce(arrival, attempt, sendings);
    const report = this.reports.get(arrival.kind.name);
    if (sending === 'no-answer' && report !== undefined) {
      report.noAnswers += 1;
    }
    return sending;
  }

  private async sendOnce(
    arrival: Arrival,
    attempt: number,
    sendings: number,
  ): Promise<Sending> {
    const {kind, id} = arrival;
    const entries = this.readiness.usable();
    const entry = entries[(arrival.firstEntry + sendings - 1) % entries.length];
    const record = {
      id,
      kind: kind.name,
      idempotent: kind.idempotent,
      sending: `${id}#${sendings}`,
      entryPort: entry?.port ?? 0,
      sentAtMs: Date.now(),
    };
    const finish = (
      result: Sending,
      status: number,
      verdict: string,
      reason: string,
    ): Sending => {
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
          headers: headersOf(kind, record, attempt),
          body: kind.bodyBytes > 0 ? requestBody(id, kind.bodyBytes) : null,
          signal: AbortSignal.timeout(kind.timeoutMs + ANSWER_GRACE_MS),
        },
      );
      const body = await response.body.text();
      const verdict = String(response.headers['x-verdict']);
      const {statusCode, headers} = response;
      const result = classify(statusCode, verdict, body, record);
      const reason = String(headers['x-refusal-reason'] ?? '');
      return finish(result, statusCode, verdict, reason);
    } catch (error) {
      // A refused connection carried no byte of the request.
      const {code} = error as NodeJS.ErrnoException;
      const result = code === 'ECONNREFUSED' ? 'not-run' : 'no-answer';
      return finish(result, 0, 'none', code ?? String(error));
    }
  }
}

/** Rate of the load curve at an instant, linear between its points. */
function rateAt(curve: CallerSettings['curve'], offsetMs: number): number {
  const next = curve.findIndex(point => point.atMs > offsetMs);
  const after = curve[next];
  const before = curve[next < 0 ? curve.length - 1 : Math.max(0, next - 1)];
  if (before === undefined || after === undefined || before === after) {
    return before?.requestsPerSecond ?? 0;
  }
  const share = (offsetMs - before.atMs) / (after.atMs - before.atMs);
  return (
    before.requestsPerSecond +
    share * (after.requestsPerSecond - before.requestsPerSecond)
  );
}

/** Header of one sending. */
function headersOf(
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

function requestBody(id: string, sizeBytes: number): string {
  return JSON.stringify({id, pad: 'y'.repeat(sizeBytes)});
}

/** The result of several copies sent at once. */
function mostInformative(results: readonly Sending[]): Sending {
  const order: readonly Sending[] = [
    'wrong',
    'answered',
    'already-ran',
    'uncertain',
    'no-answer',
    'failed',
    'not-run',
  ];
  return order.find(result => results.includes(result)) ?? 'failed';
}

/** True if the request should be sent again. */
function isOpen(sending: Sending): boolean {
  return ['not-run', 'uncertain', 'no-answer'].includes(sending);
}

function finalOf(sending: Sending): FinalResult {
  switch (sending) {
    case 'not-run':
      return 'refused';
    case 'no-answer':
      return 'failed';
    default:
      return sending;
  }
}

/** Reads an answer; one of another request or a part of one is `wrong`. */
function classify(
  status: number,
  verdict: string,
  body: string,
  sent: {readonly id: string; readonly sending: string},
): Sending {
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
