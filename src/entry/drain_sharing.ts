/**
 * Exchange of the drains that targets announce in their responses.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {
  Dispatch,
  FleetMessage,
  FleetNode,
  ReportedDrainNotice,
} from '../fleet/index.js';
import type {DrainNotice} from '../health/index.js';
import type {LoadBoard} from '../load/index.js';
import type {KnownTarget} from '../registry/index.js';

/** Interval at which a head repeats recent notices to its members. */
const REPETITION_INTERVAL_MS = 1_000;

/** Age up to which a head repeats a notice, since datagrams may be lost. */
const MAX_REPEATED_AGE_MS = 10_000;

/** Most notices in one message, which keeps it within a datagram. */
const MAX_NOTICES_PER_MESSAGE = 100;

/** Options of {@link DrainSharing}. */
export interface DrainSharingOptions {
  readonly fleet: FleetNode;
  readonly board: LoadBoard;
}

/**
 * Passes drain notices on: a VM that gets one from a target tells all heads, and
 * each head tells the members of its failure domain.
 */
export class DrainSharing {
  private nextRepetitionMs: InstantMs = 0;

  /** @param options - fleet and load board of this VM */
  constructor(private readonly options: DrainSharingOptions) {}

  /**
   * Collects the messages that are due.
   *
   * @param targets - registered targets by id
   * @param nowMs - current instant in milliseconds
   * @returns messages to send, and notices that are new to this VM
   */
  onTick(
    targets: ReadonlyMap<string, KnownTarget>,
    nowMs: InstantMs,
  ): {
    readonly dispatches: readonly Dispatch[];
    readonly added: readonly DrainNotice[];
  } {
    const {board, fleet} = this.options;
    const dispatches: Dispatch[] = [];
    const added = board.takeDrainNotices();
    const observed = added.filter(({source}) => source !== 'peer');
    this.addNotices(dispatches, this.headHosts(), observed, nowMs);
    if (fleet.isHead) {
      this.addNotices(dispatches, fleet.roles.localPeers, added, nowMs);
    }
    if (nowMs >= this.nextRepetitionMs) {
      this.nextRepetitionMs = nowMs + REPETITION_INTERVAL_MS;
      board.pruneDrainNotices(targets, nowMs);
      if (fleet.isHead) {
        const recent = board.drainNotices.filter(
          ({sinceMs}) => nowMs - sinceMs <= MAX_REPEATED_AGE_MS,
        );
        this.addNotices(dispatches, fleet.roles.localPeers, recent, nowMs);
      }
    }
    return {dispatches, added};
  }

  /**
   * Merges a message of another VM; ignores messages about other matters.
   *
   * @param message - received message
   * @param nowMs - current instant in milliseconds
   */
  onMessage(message: FleetMessage, nowMs: InstantMs): void {
    if (message.type !== 'drain-notices') {
      return;
    }
    for (const {targetId, startedMs, ageMs} of message.notices) {
      const sinceMs = nowMs - ageMs;
      const notice = {targetId, startedMs, source: 'peer', sinceMs} as const;
      this.options.board.onDrainNotice(notice);
    }
  }

  private headHosts(): readonly string[] {
    const {localHeads, otherHeads} = this.options.fleet.roles;
    return [...localHeads, ...otherHeads.flatMap(({hosts}) => hosts)];
  }

  private addNotices(
    dispatches: Dispatch[],
    hosts: readonly string[],
    notices: readonly DrainNotice[],
    nowMs: InstantMs,
  ): void {
    const sender = this.options.fleet.reportSelf();
    const others = hosts.filter(host => host !== sender.host);
    if (others.length === 0) {
      return;
    }
    for (let i = 0; i < notices.length; i += MAX_NOTICES_PER_MESSAGE) {
      const reported = notices
        .slice(i, i + MAX_NOTICES_PER_MESSAGE)
        .map(notice => toReported(notice, nowMs));
      const type = 'drain-notices';
      const message = {type, sender, notices: reported} as const;
      dispatches.push({hosts: others, message});
    }
  }
}

function toReported(
  {targetId, startedMs, sinceMs}: DrainNotice,
  nowMs: InstantMs,
): ReportedDrainNotice {
  const ageMs = Math.max(0, Math.round(nowMs - sinceMs));
  return {targetId, startedMs, ageMs};
}
