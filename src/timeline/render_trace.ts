/**
 * Rendering of the timeline as a Chrome trace-event file.
 *
 * @packageDocumentation
 */
import type {EventPart, TimelineEvent} from './types.js';

/** Microseconds per millisecond; trace files use microseconds. */
const US_PER_MS = 1_000;

/** Parts in the order of their rows in each VM. */
const PARTS: readonly EventPart[] = [
  'process',
  'membership',
  'config',
  'target',
  'recovery',
  'request',
  'attempt',
];

/**
 * Renders events as JSON in the trace-event format: one process per VM, one row
 * per part, one instant event per event. The counter of the hybrid clock is
 * shown as microseconds, up to 999.
 *
 * @param events - merged events
 * @returns JSON text for chrome://tracing or Perfetto
 *
 * @example
 * ```ts
 * await writeFile('trace.json', renderTrace(mergeEvents(lists)));
 * ```
 */
export function renderTrace(events: readonly TimelineEvent[]): string {
  const vmIds = [...new Set(events.map(event => event.vmId))].sort();
  const processIds = new Map(vmIds.map((vmId, index) => [vmId, index + 1]));
  const traceEvents = [
    ...vmIds.flatMap((vmId, index) => createMetadataEvents(vmId, index + 1)),
    ...events.map(event => toTraceEvent(event, processIds)),
  ];
  return JSON.stringify({traceEvents, displayTimeUnit: 'ms'});
}

function createMetadataEvents(vmId: string, pid: number): readonly object[] {
  const process = {name: 'process_name', ph: 'M', pid, args: {name: vmId}};
  const rows = PARTS.map((part, tid) => {
    return {name: 'thread_name', ph: 'M', pid, tid, args: {name: part}};
  });
  return [process, ...rows];
}

function toTraceEvent(
  event: TimelineEvent,
  processIds: ReadonlyMap<string, number>,
): object {
  const {wallMs, counter} = event.time;
  const ts = wallMs * US_PER_MS + Math.min(counter, US_PER_MS - 1);
  return {
    name: event.name,
    cat: event.part,
    ph: 'i',
    s: 't',
    ts,
    pid: processIds.get(event.vmId) ?? 0,
    tid: PARTS.indexOf(event.part),
    args: {...event.details, counter},
  };
}
