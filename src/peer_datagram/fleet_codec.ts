/**
 * Binary encoding of messages between VMs.
 *
 * @packageDocumentation
 */
import {decode, encode} from '@msgpack/msgpack';
import {err, ok, type Result} from 'neverthrow';
import type {
  FleetMessage,
  Implication,
  MemberState,
  OutcomeCount,
  ReportedLimit,
  ReportedMember,
  TargetLoadReport,
} from '../fleet/index.js';
import {
  packDelta,
  packPosition,
  unpackDelta,
  unpackPosition,
} from './published_codec.js';
import type {LimitDemand, ReporterPeak} from '../limits/index.js';
import {IMPLICATION_TTL_MS} from '../recovery/index.js';
import {WireError, WireReader} from './wire_reader.js';

/** Version of the encoding; messages of other versions are rejected. */
const WIRE_VERSION = 1;

/** Factor for encoding observed ratios as integers, in hundredths. */
const RATIO_SCALE = 100;

/** Member states in the order of their encoded indices. */
const MEMBER_STATES: readonly MemberState[] = ['starting', 'ready', 'leaving'];

/** Error for bytes that cannot be decoded. */
export interface CodecError {
  readonly type: 'bad-message';
  readonly reason: string;
}

/**
 * Encodes a message.
 *
 * @param message - message to send
 * @returns encoded message
 */
export function encodeMessage(message: FleetMessage): Uint8Array {
  return encode([
    WIRE_VERSION,
    message.type,
    packMember(message.sender),
    ...packBody(message),
  ]);
}

/**
 * Decodes a message. A malformed message is rejected as a whole.
 *
 * @param bytes - datagram as received
 * @returns the message, or an error with the reason
 */
export function decodeMessage(
  bytes: Uint8Array,
): Result<FleetMessage, CodecError> {
  try {
    const reader = new WireReader(decode(bytes));
    const version = reader.number();
    if (version !== WIRE_VERSION) {
      return badMessage(`unsupported version ${version}`);
    }
    return ok(unpackMessage(reader));
  } catch (error) {
    // The decoder throws RangeError and Error for truncated or invalid bytes.
    return badMessage(error instanceof Error ? error.message : String(error));
  }
}

function badMessage(reason: string): Result<FleetMessage, CodecError> {
  return err({type: 'bad-message', reason});
}

function packBody(message: FleetMessage): readonly unknown[] {
  switch (message.type) {
    case 'heartbeat':
      return [
        packPosition(message.position),
        message.members.map(packMember),
        message.domainSize,
        message.fleetSize,
        message.quarantineDigest,
      ];
    case 'changes':
      return [packPosition(message.position), packDelta(message.delta)];
    case 'load':
      return [message.reports.map(packLoadReport)];
    case 'outcomes':
      return [
        message.outcomes.map(packOutcome),
        message.implications.map(packImplication),
        message.clearedFingerprints,
      ];
    case 'drain-notices':
      return [
        message.notices.map(({targetId, startedMs, ageMs}) => [
          targetId,
          startedMs,
          ageMs,
        ]),
      ];
    case 'limit-report':
      return [
        packPeak(message.reporterPeak),
        message.limits.map(packLimit),
        message.demands.map(packDemand),
      ];
    case 'limit-grants':
      return [
        packPeak(message.reporterPeak),
        message.validMs,
        message.limits.map(packLimit),
        message.grants.map(({targetId, count}) => [targetId, count]),
      ];
  }
}

function unpackMessage(reader: WireReader): FleetMessage {
  const type = reader.string();
  const sender = unpackMember(reader.nested());
  switch (type) {
    case 'heartbeat':
      return {
        type,
        sender,
        position: unpackPosition(reader.nested()),
        members: reader.array(unpackMember),
        domainSize: reader.count(),
        fleetSize: reader.count(),
        quarantineDigest: reader.optionalCount(0),
      };
    case 'changes':
      return {
        type,
        sender,
        position: unpackPosition(reader.nested()),
        delta: unpackDelta(reader.nested()),
      };
    case 'load':
      return {
        type,
        sender,
        reports: reader.array(unpackLoadReport),
      };
    case 'outcomes':
      return {
        type,
        sender,
        outcomes: reader.array(unpackOutcome),
        implications: reader.array(unpackImplication),
        clearedFingerprints: reader.optionalStrings(),
      };
    case 'drain-notices':
      return {
        type,
        sender,
        notices: reader.array(each => ({
          targetId: each.string(),
          startedMs: each.count(),
          ageMs: each.count(),
        })),
      };
    case 'limit-report':
      return {
        type,
        sender,
        reporterPeak: unpackPeak(reader.nested()),
        limits: reader.array(unpackLimit),
        demands: reader.array(unpackDemand),
      };
    case 'limit-grants':
      return {
        type,
        sender,
        reporterPeak: unpackPeak(reader.nested()),
        validMs: reader.count(),
        limits: reader.array(unpackLimit),
        grants: reader.array(each => ({
          targetId: each.string(),
          count: each.count(),
        })),
      };
    default:
      throw new WireError(`unknown message type ${type}`);
  }
}

function packMember(member: ReportedMember): unknown {
  return [
    member.vmId,
    member.bootId,
    member.host,
    member.failureDomain,
    member.capacityMillicores,
    MEMBER_STATES.indexOf(member.state),
    member.isReadFailing,
    member.ageMs,
    member.reachesTargets,
  ];
}

function unpackMember(reader: WireReader): ReportedMember {
  return {
    vmId: reader.string(),
    bootId: reader.number(),
    host: reader.string(),
    failureDomain: reader.string(),
    capacityMillicores: reader.count(),
    state: unpackState(reader.number()),
    isReadFailing: reader.boolean(),
    ageMs: reader.count(),
    reachesTargets: reader.optionalBoolean(true),
  };
}

function unpackState(index: number): MemberState {
  const state = MEMBER_STATES[index];
  if (state === undefined) {
    throw new WireError(`unknown member state ${index}`);
  }
  return state;
}

function packLoadReport(report: TargetLoadReport): unknown {
  return [
    report.targetId,
    report.running,
    report.waiting,
    report.slots,
    Math.round(report.slowness * RATIO_SCALE),
    Math.round(report.ageMs),
    Math.round(report.failureShare * RATIO_SCALE),
    report.isReachable,
  ];
}

function unpackLoadReport(reader: WireReader): TargetLoadReport {
  return {
    targetId: reader.string(),
    running: reader.count(),
    waiting: reader.count(),
    slots: reader.count(),
    slowness: reader.count() / RATIO_SCALE,
    ageMs: reader.count(),
    failureShare: reader.count() / RATIO_SCALE,
    isReachable: reader.boolean(),
  };
}

function packOutcome(outcome: OutcomeCount): unknown {
  return [outcome.targetId, outcome.answeredCount, outcome.failedCount];
}

function unpackOutcome(reader: WireReader): OutcomeCount {
  return {
    targetId: reader.string(),
    answeredCount: reader.count(),
    failedCount: reader.count(),
  };
}

function packImplication(implication: Implication): unknown {
  const {fingerprint, targetId, remainingMs} = implication;
  return [fingerprint, targetId, Math.round(remainingMs)];
}

function unpackImplication(reader: WireReader): Implication {
  return {
    fingerprint: reader.string(),
    targetId: reader.string(),
    remainingMs: reader.optionalCount(IMPLICATION_TTL_MS),
  };
}

function packLimit({targetId, perSecond, ageMs}: ReportedLimit): unknown {
  return [targetId, perSecond, ageMs];
}

function unpackLimit(reader: WireReader): ReportedLimit {
  return {
    targetId: reader.string(),
    perSecond: reader.count(),
    ageMs: reader.count(),
  };
}

function packPeak({count, ageMs}: ReporterPeak): unknown {
  return [count, Math.round(ageMs)];
}

function unpackPeak(reader: WireReader): ReporterPeak {
  return {count: reader.count(), ageMs: reader.count()};
}

function packDemand(demand: LimitDemand): unknown {
  const {targetId, lapsedCount} = demand;
  return [targetId, Math.round(demand.demand * RATIO_SCALE), lapsedCount];
}

function unpackDemand(reader: WireReader): LimitDemand {
  return {
    targetId: reader.string(),
    demand: reader.count() / RATIO_SCALE,
    lapsedCount: reader.count(),
  };
}
