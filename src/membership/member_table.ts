/**
 * Failure detector: the members and their states.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {
  Incarnation,
  Member,
  MemberState,
  MembershipChange,
} from './types.js';
import {VM_CHART, type AnnouncedState, type VmEvent} from './vm_chart.js';

/** Times of the failure detector, in milliseconds without a sign of life. */
export interface DetectorTimes {
  readonly suspectAfterMs: number;
  readonly deadAfterMs: number;
  /** Time from dead to removed. */
  readonly removeAfterMs: number;
}

/**
 * Heartbeats at which a member first heard of was up for long already. News of
 * a VM that starts arrive within 2 to 3 s.
 */
const HIDDEN_HEARTBEATS = 20;

interface MemberRecord {
  readonly ownerId: string;
  readonly incarnation: Incarnation;
  state: MemberState;
  announced: AnnouncedState;
  /** Greatest heartbeat heard; undefined before the first one. */
  heartbeat: number | undefined;
  /** True once the heartbeat has risen, so the owner lived meanwhile. */
  isConfirmed: boolean;
  /** True until it is ready if it was up for long when first heard of. */
  wasHidden: boolean;
  lastHeardMs: InstantMs;
  deadSinceMs: InstantMs;
}

/** What the facts of a member say. */
export interface MemberSign {
  readonly incarnation: Incarnation;
  readonly announced: AnnouncedState;
  /** Heartbeat of the owner; undefined if it published none yet. */
  readonly heartbeat: number | undefined;
}

/** A member that was dead for long enough to be forgotten. */
export interface RemovedMember {
  readonly ownerId: string;
  /** True if the member announced that it leaves. */
  readonly hasLeft: boolean;
}

/**
 * Members other than this VM. A member first heard of counts as starting until
 * its heartbeat rises, because its facts may be old ones relayed by a VM that
 * was paused.
 *
 * @example
 * ```ts
 * table.observe({incarnation, announced: 'ready', heartbeat: 7}, nowMs);
 * const removed = table.advance(nowMs);
 * ```
 */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  private changes: MembershipChange[] = [];

  /** @param times - see {@link DetectorTimes} */
  constructor(private readonly times: DetectorTimes) {}

  /**
   * Takes in what the facts of a member say. Only a rising heartbeat proves
   * that it lives; an announcement that it leaves is believed at once.
   *
   * @param sign - see {@link MemberSign}
   * @param nowMs - current instant in milliseconds
   */
  observe(sign: MemberSign, nowMs: InstantMs): void {
    const record = this.records.get(ownerIdOf(sign.incarnation));
    if (record === undefined) {
      this.add(sign, nowMs);
      return;
    }
    if (record.announced !== 'leaving') {
      record.announced = sign.announced;
    }
    const previous = record.heartbeat;
    record.heartbeat = sign.heartbeat ?? previous;
    if (previous === undefined) {
      record.wasHidden = (record.heartbeat ?? 0) > HIDDEN_HEARTBEATS;
    }
    const hasRisen =
      previous !== undefined && (record.heartbeat ?? 0) > previous;
    if (hasRisen) {
      record.isConfirmed = true;
      record.lastHeardMs = nowMs;
    }
    const isSilent = record.state === 'suspect' || record.state === 'dead';
    const isCurrent = record.isConfirmed && !isSilent;
    if (hasRisen || isCurrent || record.announced === 'leaving') {
      this.apply(record, `heard-${record.announced}`, nowMs);
    }
  }

  /**
   * Ends an incarnation that was replaced.
   *
   * @param ownerId - the replaced incarnation
   * @param nowMs - current instant in milliseconds
   */
  replace(ownerId: string, nowMs: InstantMs): void {
    const record = this.records.get(ownerId);
    if (record !== undefined) {
      this.apply(record, 'replaced', nowMs);
      this.records.delete(ownerId);
    }
  }

  /**
   * Applies the time without a sign of life.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the members that were removed
   */
  advance(nowMs: InstantMs): readonly RemovedMember[] {
    const removed: RemovedMember[] = [];
    for (const record of this.records.values()) {
      this.checkSilence(record, nowMs);
      const deadMs = nowMs - record.deadSinceMs;
      if (record.state === 'dead' && deadMs >= this.times.removeAfterMs) {
        this.records.delete(record.ownerId);
        const hasLeft = record.announced === 'leaving';
        removed.push({ownerId: record.ownerId, hasLeft});
      }
    }
    return removed;
  }

  /**
   * Restarts all timers.
   *
   * @param nowMs - current instant in milliseconds
   */
  restartTimers(nowMs: InstantMs): void {
    for (const record of this.records.values()) {
      record.lastHeardMs = nowMs;
      record.deadSinceMs = nowMs;
    }
  }

  /**
   * Takes the changes since the last call.
   *
   * @returns the changes in order
   */
  takeChanges(): readonly MembershipChange[] {
    const changes = this.changes;
    this.changes = [];
    return changes;
  }

  /** Tells whether changes wait to be taken. */
  hasChanges(): boolean {
    return this.changes.length > 0;
  }

  /** Lists the members. */
  members(): readonly Member[] {
    return [...this.records.values()].map(record => ({
      incarnation: record.incarnation,
      state: record.state,
      lastHeardMs: record.lastHeardMs,
    }));
  }

  /**
   * Reads the state of a member.
   *
   * @param ownerId - the incarnation
   * @returns its state; undefined if it is unknown
   */
  stateOf(ownerId: string): MemberState | undefined {
    return this.records.get(ownerId)?.state;
  }

  private add(sign: MemberSign, nowMs: InstantMs): void {
    const {incarnation, announced, heartbeat} = sign;
    const record: MemberRecord = {
      ownerId: ownerIdOf(incarnation),
      incarnation,
      state: announced === 'leaving' ? 'leaving' : 'starting',
      announced,
      heartbeat,
      isConfirmed: false,
      wasHidden: (heartbeat ?? 0) > HIDDEN_HEARTBEATS,
      lastHeardMs: nowMs,
      deadSinceMs: nowMs,
    };
    this.records.set(record.ownerId, record);
    this.note(record, undefined);
  }

  private checkSilence(record: MemberRecord, nowMs: InstantMs): void {
    const silentMs = nowMs - record.lastHeardMs;
    if (silentMs >= this.times.deadAfterMs) {
      this.apply(record, 'expired', nowMs);
    } else if (silentMs >= this.times.suspectAfterMs) {
      this.apply(record, 'silent', nowMs);
    }
  }

  private apply(record: MemberRecord, event: VmEvent, nowMs: InstantMs): void {
    if (!VM_CHART.accepts(record.state, event)) {
      return;
    }
    const from = record.state;
    record.state = VM_CHART.next(from, event);
    if (record.state === from) {
      return;
    }
    if (record.state === 'dead') {
      record.deadSinceMs = nowMs;
    }
    this.note(record, from);
  }

  private note(record: MemberRecord, from: MemberState | undefined): void {
    const isBack = from === 'suspect' || from === 'dead' || record.wasHidden;
    const returned = record.state === 'ready' && isBack;
    if (returned) {
      record.wasHidden = false;
    }
    this.changes.push({
      vmId: record.incarnation.vmId,
      bootId: record.incarnation.bootId,
      from,
      to: record.state,
      planned: record.announced === 'leaving',
      returned,
    });
  }
}

/**
 * Composes the owner identity of an incarnation.
 *
 * @param incarnation - a VM's incarnation
 * @returns `vmId/bootId`
 */
export function ownerIdOf(
  incarnation: Pick<Incarnation, 'vmId' | 'bootId'>,
): string {
  return `${incarnation.vmId}/${incarnation.bootId}`;
}
