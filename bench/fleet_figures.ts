/**
 * Collects the figures of simulated runs.
 *
 * @packageDocumentation
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Duration of one slice of the timeline. */
export const SLICE_MS = 250;

/** Maximum latency or age that a histogram can record. */
const MAX_MICROS = 120_000_000;

/** Figures of one kind of request. */
export interface KindFigures {
  readonly worth: number;
  offered: number;
  /** Requests with a copy that was answered before its deadline. */
  inTime: number;
  /**
   * Microseconds from the arrival of the first copy to the response. A request
   * without a response counts with its timeout, so that refusals cannot improve
   * the percentiles.
   */
  readonly latency: Histogram;
}

/**
 * Figures of one slice of the timeline. Latency and queue length exclude long
 * kinds, which by design wait seconds for their subset of the targets.
 */
export interface Slice {
  /** Responses in time. */
  answered: number;
  /** Worth of the responses in time. */
  worth: number;
  /** Worth of the requests that arrived. */
  worthOffered: number;
  /** Maximum number of requests queued in all VMs. */
  waiting: number;
  readonly latency: Histogram;
}

/** Collects the figures of one run. */
export class FleetFigures {
  readonly kinds = new Map<string, KindFigures>();
  readonly slices: Slice[] = [];
  /** Age of the target's newest report at each choice, in microseconds. */
  readonly reportAge = buildHistogram();
  /** Refusals sent to callers by reason. */
  readonly refusals = new Map<string, number>();
  retries = 0;
  sends = 0;
  /** Non-idempotent requests that a target started a second time. */
  doubleRuns = 0;
  /** Copies reported as `not-run` that a target had started or starts later. */
  notRunThatRan = 0;
  /** Target crashes caused by poisoned requests. */
  crashes = 0;
  /** Instants at which targets received probes. */
  probedMs: readonly number[] = [];

  /** Returns the figures of a kind, which are created on first use. */
  kind(name: string, worth: number): KindFigures {
    let figures = this.kinds.get(name);
    if (figures === undefined) {
      figures = {worth, offered: 0, inTime: 0, latency: buildHistogram()};
      this.kinds.set(name, figures);
    }
    return figures;
  }

  /** Returns the slice that contains an instant. */
  sliceAt(nowMs: number): Slice {
    const index = Math.max(0, Math.floor(nowMs / SLICE_MS));
    while (this.slices.length <= index) {
      this.slices.push({
        answered: 0,
        worth: 0,
        worthOffered: 0,
        waiting: 0,
        latency: buildHistogram(),
      });
    }
    const slice = this.slices[index];
    if (slice === undefined) {
      throw new RangeError(`no slice at ${nowMs} ms`);
    }
    return slice;
  }

  /** Counts a refusal. */
  countRefusal(reason: string): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }
}

/**
 * Merges the figures of several runs, except their timelines and probe times.
 *
 * @param runs - figures of several seeds of the same scenario
 * @returns merged figures
 */
export function mergeFigures(runs: readonly FleetFigures[]): FleetFigures {
  const merged = new FleetFigures();
  for (const run of runs) {
    for (const [name, kind] of run.kinds) {
      const sum = merged.kind(name, kind.worth);
      sum.offered += kind.offered;
      sum.inTime += kind.inTime;
      sum.latency.add(kind.latency);
    }
    for (const [reason, count] of run.refusals) {
      const before = merged.refusals.get(reason) ?? 0;
      merged.refusals.set(reason, before + count);
    }
    merged.reportAge.add(run.reportAge);
    merged.retries += run.retries;
    merged.sends += run.sends;
    merged.doubleRuns += run.doubleRuns;
    merged.notRunThatRan += run.notRunThatRan;
    merged.crashes += run.crashes;
  }
  return merged;
}

/** Returns the share of the offered worth that was answered in time. */
export function worthShare(figures: FleetFigures): number {
  let offered = 0;
  let served = 0;
  for (const kind of figures.kinds.values()) {
    offered += kind.worth * kind.offered;
    served += kind.worth * kind.inTime;
  }
  return served / offered;
}

function buildHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}
