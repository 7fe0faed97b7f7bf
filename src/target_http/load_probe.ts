/**
 * Load probes of the native target protocol.
 *
 * @packageDocumentation
 */
import type {Clock, InstantMs} from '../core/index.js';
import type {LoadReport} from '../routing/index.js';
import type {AttemptRequest} from './attempt.js';
import {readLoadBody} from './load_reports.js';
import type {TargetAddress, TargetClient} from './target_client.js';
import type {TargetResponse} from './target_response.js';

/** Time after which a probe is cancelled without a report. */
const PROBE_TIMEOUT_MS = 1_000;

/** Probes targets for their load. */
export class LoadProbe {
  private readonly clock: Clock;
  private readonly client: TargetClient;
  private probeCount = 0;

  /** @param options - clock, and client that sends the probes */
  constructor(options: {readonly clock: Clock; readonly client: TargetClient}) {
    this.clock = options.clock;
    this.client = options.client;
  }

  /**
   * Sends a probe to a target. There is no report if the probe fails.
   *
   * @param target - target to probe
   * @param maxConnections - maximum number of connections to the target
   * @param onReport - receives the report; its instant of measurement is the
   *     midpoint of the round trip
   */
  probe(
    target: TargetAddress,
    maxConnections: number,
    onReport: (report: LoadReport) => void,
  ): void {
    const sentMs = this.clock.nowMs();
    const token = `probe-${++this.probeCount}`;
    const timer = setTimeout(() => this.client.cancel(token), PROBE_TIMEOUT_MS);
    this.client.send({
      target,
      maxConnections,
      request: createProbeRequest(token, sentMs),
      listener: (signal, response) => {
        if (signal.type === 'sent') {
          return;
        }
        clearTimeout(timer);
        const measuredMs = (sentMs + this.clock.nowMs()) / 2;
        const report = readProbeResponse(target.targetId, measuredMs, response);
        if (report !== undefined) {
          onReport(report);
        }
      },
    });
  }
}

function createProbeRequest(token: string, nowMs: InstantMs): AttemptRequest {
  return {
    token,
    method: 'GET',
    path: '/load',
    headers: [],
    body: undefined,
    freshness: 'any',
    deadlineMs: nowMs + PROBE_TIMEOUT_MS,
    silenceLimitMs: undefined,
  };
}

function readProbeResponse(
  targetId: string,
  measuredMs: InstantMs,
  response: TargetResponse | undefined,
): LoadReport | undefined {
  if (response === undefined || response.status !== 200) {
    response?.discard();
    return undefined;
  }
  const load = readLoadBody(response.body().toString('utf8'));
  if (load === undefined) {
    response.discard();
    return undefined;
  }
  const draining =
    load.draining || response.headers['x-target-draining'] === '1';
  return {
    targetId,
    source: 'probe',
    inFlight: load.inFlight,
    draining,
    measuredMs,
  };
}
