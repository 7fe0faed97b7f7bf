/**
 * Drains that targets announce in their own responses.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';

/**
 * Time for which the notice of a target that is not registered is kept. A store
 * that is restored or behind may list the target again.
 */
const UNREGISTERED_TTL_MS = 120_000;

/** Most notices that are kept; the oldest are dropped first. */
const MAX_NOTICE_COUNT = 10_000;

/** One start of a target under its id. */
export interface TargetStart {
  readonly targetId: string;
  /** Distinguishes starts under the same id; not compared with any clock. */
  readonly startedMs: number;
}

/** Announcement of a target that it drains. */
export interface DrainNotice extends TargetStart {
  /** Where this VM learnt of it. */
  readonly source: 'response' | 'probe' | 'peer';
  /** Local instant at which the target announced it. */
  readonly sinceMs: InstantMs;
}

/**
 * Remembers which starts of targets have announced a drain. A notice ends with
 * its start: a target that starts again under the same id is not draining. The
 * registry of targets may lag behind or be out of reach, so it ends no notice.
 *
 * @example
 * ```ts
 * notices.record({targetId: 't-07', startedMs: 5, source: 'response', sinceMs});
 * notices.covers({targetId: 't-07', startedMs: 5}); // true
 * notices.covers({targetId: 't-07', startedMs: 6}); // false
 * ```
 */
export class DrainNotices {
  private readonly notices = new Map<string, DrainNotice>();
  private recorded: DrainNotice[] = [];

  /** All notices, oldest first. */
  get all(): readonly DrainNotice[] {
    return [...this.notices.values()];
  }

  /**
   * Records a notice.
   *
   * @param notice - notice of a target, or of a peer about one
   * @returns true unless a notice of this or a later start is known
   */
  record(notice: DrainNotice): boolean {
    const {targetId, startedMs} = notice;
    const known = this.notices.get(targetId);
    if (known !== undefined && known.startedMs >= startedMs) {
      return false;
    }
    this.notices.delete(targetId);
    this.notices.set(targetId, notice);
    this.recorded.push(notice);
    const [oldestId] = this.notices.keys();
    if (this.notices.size > MAX_NOTICE_COUNT && oldestId !== undefined) {
      this.notices.delete(oldestId);
    }
    return true;
  }

  /** Returns the notices recorded since the last call. */
  takeRecorded(): readonly DrainNotice[] {
    const {recorded} = this;
    this.recorded = [];
    return recorded;
  }

  /** Returns whether this start of a target, or a later one, drains. */
  covers({targetId, startedMs}: TargetStart): boolean {
    const notice = this.notices.get(targetId);
    return notice !== undefined && startedMs <= notice.startedMs;
  }

  /**
   * Drops notices that are no longer needed.
   *
   * @param registered - registered targets by id
   * @param nowMs - current instant in milliseconds
   */
  prune(registered: ReadonlyMap<string, TargetStart>, nowMs: InstantMs): void {
    for (const [targetId, notice] of this.notices) {
      const target = registered.get(targetId);
      const isObsolete =
        target === undefined
          ? nowMs - notice.sinceMs > UNREGISTERED_TTL_MS
          : target.startedMs > notice.startedMs;
      if (isObsolete) {
        this.notices.delete(targetId);
      }
    }
  }
}
