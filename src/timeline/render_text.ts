/**
 * Rendering of the timeline as text.
 *
 * @packageDocumentation
 */
import type {TimelineEvent} from './types.js';

/**
 * Renders events as text, one line per event: time, VM, part, name, details.
 *
 * @param events - merged events
 * @returns lines, each with a final newline; empty if there are no events
 *
 * @example
 * ```ts
 * process.stdout.write(renderText(mergeEvents(lists)));
 * ```
 */
export function renderText(events: readonly TimelineEvent[]): string {
  const vmWidth = maxLength(events.map(event => event.vmId));
  const partWidth = maxLength(events.map(event => event.part));
  const lines = events.map(event => {
    const columns = [
      formatTime(event),
      event.vmId.padEnd(vmWidth),
      event.part.padEnd(partWidth),
      event.name,
      ...Object.entries(event.details).map(formatDetail),
    ];
    return `${columns.join('  ')}\n`;
  });
  return lines.join('');
}

function formatTime(event: TimelineEvent): string {
  const {wallMs, counter} = event.time;
  return `${new Date(wallMs).toISOString()}+${counter}`;
}

/**
 * Formats a detail; quotes special characters, so that an event stays one line.
 */
function formatDetail([name, value]: readonly [string, unknown]): string {
  const text = String(value);
  return `${name}=${/^[\w.:/@-]+$/.test(text) ? text : JSON.stringify(text)}`;
}

function maxLength(texts: readonly string[]): number {
  return texts.reduce((width, text) => Math.max(width, text.length), 0);
}
