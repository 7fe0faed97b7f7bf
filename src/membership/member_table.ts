/**
 * Failure detector with the table of members and their states.
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

/** Timeouts of the failure detector, in milliseconds. */
export interface DetectorTimeouts {
  /** Time without a sign of life until a member is suspect. */
  readonly suspectAfterMs: number;
  /** Time without a sign of life until a member is dead. */
  readonly deadAfterMs: number;
  /** Time from dead to removed. */
  readonly removeAfterMs: number;
}

/**
 * Heartbeat count above which a newly discovered member was already up before
 * its discovery. Facts of a starting VM arrive within 2 to 3 s.
 */
const LATE_DISCOVERY_HEARTBEATS = 20;

interface MemberRecord {
  readonly ownerId: string;
  readonly incarnation: Incarnation;
  state: MemberState;
  announced: AnnouncedState;
  /** Greatest heartbeat received; undefined before the first one. */
  heartbeat: number | undefined;
  /** True once a rising heartbeat has proved that the owner is alive. */
  isConfirmed: boolean;
  /** True until ready, if the member was up long before its discovery. */
  isLateDiscovery: boolean;
  lastHeardMs: InstantMs;
  deadSinceMs: InstantMs;
}

/** State of a member as derived from its facts. */
export interface MemberReport {
  readonly incarnation: Incarnation;
  readonly announced: AnnouncedState;
  /** Heartbeat of the owner; undefined if none is published yet. */
  readonly heartbeat: number | undefined;
}

/** A member that was dead for `removeAfterMs` and is no longer tracked. */
export interface RemovedMember {
  readonly ownerId: string;
  /** True if the member announced its departure. */
  readonly hasLeft: boolean;
}

/**
 * Tracks the members other than this VM. A newly discovered member counts as
 * starting until its heartbeat rises, because its facts may be old ones relayed
 * by a VM that was paused.
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

  /** @param timeouts - see {@link DetectorTimeouts} */
  constructor(private readonly timeouts: DetectorTimeouts) {}

  /**
   * Applies the facts of a member. Only a rising heartbeat proves that it is
   * alive; an announced departure takes effect at once.
   *
   * @param report - see {@link MemberReport}
   * @param nowMs - current instant in milliseconds
   */
  observe(report: MemberReport, nowMs: InstantMs): void {
    const record = this.records.get(ownerIdOf(report.incarnation));
    if (record === undefined) {
      this.add(report, nowMs);
      return;
    }
    if (record.announced !== 'leaving') {
      record.announced = report.announced;
    }
    const previous = record.heartbeat;
    record.heartbeat = report.heartbeat ?? previous;
    if (previous === undefined) {
      record.isLateDiscovery =
        (record.heartbeat ?? 0) > LATE_DISCOVERY_HEARTBEATS;
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
   * Removes an incarnation that was replaced.
   *
   * @param ownerId - owner id of the replaced incarnation
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
   * Applies the timeouts of the failure detector.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the members that were removed
   */
  advance(nowMs: InstantMs): readonly RemovedMember[] {
    const removed: RemovedMember[] = [];
    for (const record of this.records.values()) {
      this.checkSilence(record, nowMs);
      const deadMs = nowMs - record.deadSinceMs;
      if (record.state === 'dead' && deadMs >= this.timeouts.removeAfterMs) {
        this.records.delete(record.ownerId);
        const hasLeft = record.announced === 'leaving';
        removed.push({ownerId: record.ownerId, hasLeft});
      }
    }
    return removed;
  }

  /**
   * Restarts the timers of all members.
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
   * Returns and clears the changes since the previous call.
   *
   * @returns the changes in order
   */
  takeChanges(): readonly MembershipChange[] {
    const changes = this.changes;
    this.changes = [];
    return changes;
  }

  /** Returns true if `takeChanges` would return any change. */
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
   * Returns the state of a member.
   *
   * @param ownerId - owner id of the incarnation
   * @returns its state; undefined if it is unknown
   */
  stateOf(ownerId: string): MemberState | undefined {
    return this.records.get(ownerId)?.state;
  }

  private add(report: MemberReport, nowMs: InstantMs): void {
    const {incarnation, announced, heartbeat} = report;
    const record: MemberRecord = {
      ownerId: ownerIdOf(incarnation),
      incarnation,
      state: announced === 'leaving' ? 'leaving' : 'starting',
      announced,
      heartbeat,
      isConfirmed: false,
      isLateDiscovery: (heartbeat ?? 0) > LATE_DISCOVERY_HEARTBEATS,
      lastHeardMs: nowMs,
      deadSinceMs: nowMs,
    };
    this.records.set(record.ownerId, record);
    this.recordChange(record, undefined);
  }

  private checkSilence(record: MemberRecord, nowMs: InstantMs): void {
    const silentMs = nowMs - record.lastHeardMs;
    if (silentMs >= this.timeouts.deadAfterMs) {
      this.apply(record, 'expired', nowMs);
    } else if (silentMs >= this.timeouts.suspectAfterMs) {
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
    this.recordChange(record, from);
  }

  private recordChange(
    record: MemberRecord,
    from: MemberState | undefined,
  ): void {
    const isReturning =
      from === 'suspect' || from === 'dead' || record.isLateDiscovery;
    const returned = record.state === 'ready' && isReturning;
    if (returned) {
      record.isLateDiscovery = false;
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
 * Returns the owner id of an incarnation.
 *
 * @param incarnation - incarnation of a VM
 * @returns `vmId/bootId`
 */
export function ownerIdOf(
  incarnation: Pick<Incarnation, 'vmId' | 'bootId'>,
): string {
  return `${incarnation.vmId}/${incarnation.bootId}`;
}
