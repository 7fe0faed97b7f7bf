/**
 * Counts of what was refused or closed to protect the process.
 *
 * @packageDocumentation
 */
import type {ProtectionReason} from './caller_server.js';

/** Counts by reason since they were last taken, for the log. */
export class ProtectionCounts {
  private readonly counts = new Map<ProtectionReason, number>();

  /** Adds refusals or closes. */
  add(reason: ProtectionReason, count: number): void {
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + count);
  }

  /** Returns the counts as text and resets them; undefined if there are none. */
  take(): string | undefined {
    if (this.counts.size === 0) {
      return undefined;
    }
    const text = [...this.counts].map(pair => pair.join(' ')).join(', ');
    this.counts.clear();
    return text;
  }
}
