/**
 * Compact text for the `load/<service>` facts.
 *
 * @packageDocumentation
 */
import {hashText} from '../core/index.js';

/** One character for each count; greater counts are shown as the last one. */
const DIGITS = '0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz';

/** Characters that identify the list of targets. */
const LIST_HASH_LENGTH = 6;

/**
 * Writes in-flight counts by position in the sorted list of targets, one
 * character each: 36 bytes for 26 targets, against 235 as a JSON object. Two
 * VMs with different lists ignore each other's counts until the newer list has
 * reached both.
 *
 * @example
 * ```ts
 * const codec = new LoadCountsCodec(['t-1', 't-2']);
 * membership.publish('load/desk', codec.encode(new Map([['t-2', 3]])));
 * ```
 */
export class LoadCountsCodec {
  private readonly targetIds: readonly string[];
  private readonly listHash: string;

  /** @param targetIds - targets of one service, in any order */
  constructor(targetIds: readonly string[]) {
    this.targetIds = [...targetIds].sort();
    const list = this.targetIds.join('\u0000');
    this.listHash = hashText(list).slice(0, LIST_HASH_LENGTH);
  }

  /**
   * Writes counts.
   *
   * @param counts - own in-flight requests by target; missing ones are 0, and
   *     counts above 61 are written as 61
   * @returns JSON text for a fact
   */
  encode(counts: ReadonlyMap<string, number>): string {
    const digits = this.targetIds.map(targetId => {
      const count = Math.min(counts.get(targetId) ?? 0, DIGITS.length - 1);
      return DIGITS[Math.max(0, Math.floor(count))];
    });
    return JSON.stringify(this.listHash + digits.join(''));
  }

  /**
   * Reads counts.
   *
   * @param value - value of a peer's fact
   * @returns counts by target; undefined if the peer's list of targets differs
   *     or the value is malformed
   */
  decode(value: string): ReadonlyMap<string, number> | undefined {
    const digits = value.slice(1 + LIST_HASH_LENGTH, -1);
    const counts = [...digits].map(digit => DIGITS.indexOf(digit));
    const isSameList = value.startsWith(`"${this.listHash}`);
    if (!isSameList || counts.length !== this.targetIds.length) {
      return undefined;
    }
    if (counts.includes(-1)) {
      return undefined;
    }
    return new Map(this.targetIds.map((id, i) => [id, counts[i] ?? 0]));
  }
}
