/**
 * Messages between VMs as bytes.
 *
 * @packageDocumentation
 */
import {decode, encode} from '@msgpack/msgpack';
import {err, ok, type Result} from 'neverthrow';
import type {
  FleetMessage,
  Implication,
  KnownPosition,
  MemberState,
  OutcomeCount,
  ReportedMember,
  TargetObservation,
} from '../fleet/index.js';
import {packDelta, unpackDelta} from './published_codec.js';
import {WireError, WireReader} from './wire_reader.js';

/** Form of the messages; a VM ignores those of another form. */
const WIRE_VERSION = 1;

/** Decimal places that observed figures keep. */
const FIGURE_SCALE = 100;

const STATES: readonly MemberState[] = ['starting', 'ready', 'leaving'];

/** Why bytes are not a message. */
export interface CodecError {
  readonly type: 'bad-message';
  readonly reason: string;
}

/**
 * Encodes a message.
 *
 * @param message - message to send
 * @returns bytes
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
 * Decodes a message. Nothing of an ill-formed one is used.
 *
 * @param bytes - datagram as received
 * @returns the message, or why it is none
 */
export function decodeMessage(
  bytes: Uint8Array,
): Result<FleetMessage, CodecError> {
  try {
    const reader = new WireReader(decode(bytes));
    const version = reader.number();
    if (version !== WIRE_VERSION) {
      return bad(`unknown form ${version}`);
    }
    return ok(unpackMessage(reader));
  } catch (error) {
    // The codec throws RangeError and Error for truncated or foreign bytes.
    return bad(error instanceof Error ? error.message : String(error));
  }
}

function bad(reason: string): Result<FleetMessage, CodecError> {
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
      ];
    case 'changes':
      return [packPosition(message.position), packDelta(message.delta)];
    case 'load':
      return [message.observations.map(packObservation)];
    case 'outcomes':
      return [
        message.outcomes.map(packOutcome),
        message.implications.map(packImplication),
      ];
  }
}

function unpackMessage(reader: WireReader): FleetMessage {
  const type = reader.text();
  const sender = unpackMember(reader.nested());
  switch (type) {
    case 'heartbeat':
      return {
        type,
        sender,
        position: unpackPosition(reader.nested()),
        members: reader.list(unpackMember),
        domainSize: reader.number(),
        fleetSize: reader.number(),
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
        observations: reader.list(unpackObservation),
      };
    case 'outcomes':
      return {
        type,
        sender,
        outcomes: reader.list(unpackOutcome),
        implications: reader.list(unpackImplication),
      };
    default:
      throw new WireError(`unknown kind of message ${type}`);
  }
}

function packMember(member: ReportedMember): unknown {
  return [
    member.vmId,
    member.bootId,
    member.host,
    member.failureDomain,
    member.capacityMillicores,
    STATES.indexOf(member.state),
    member.isReadFailing,
    member.ageMs,
  ];
}

function unpackMember(reader: WireReader): ReportedMember {
  return {
    vmId: reader.text(),
    bootId: reader.number(),
    host: reader.text(),
    failureDomain: reader.text(),
    capacityMillicores: reader.number(),
    state: unpackState(reader.number()),
    isReadFailing: reader.flag(),
    ageMs: reader.number(),
  };
}

function unpackState(index: number): MemberState {
  const state = STATES[index];
  if (state === undefined) {
    throw new WireError(`unknown state ${index}`);
  }
  return state;
}

function packPosition({revision, ageMs}: KnownPosition): unknown {
  return [revision, ageMs];
}

function unpackPosition(reader: WireReader): KnownPosition {
  return {revision: reader.number(), ageMs: reader.number()};
}

function packObservation(observation: TargetObservation): unknown {
  return [
    observation.targetId,
    observation.running,
    observation.waiting,
    observation.slots,
    Math.round(observation.slowness * FIGURE_SCALE),
    Math.round(observation.ageMs),
    Math.round(observation.failureShare * FIGURE_SCALE),
    observation.isReachable,
  ];
}

function unpackObservation(reader: WireReader): TargetObservation {
  return {
    targetId: reader.text(),
    running: reader.number(),
    waiting: reader.number(),
    slots: reader.number(),
    slowness: reader.number() / FIGURE_SCALE,
    ageMs: reader.number(),
    failureShare: reader.number() / FIGURE_SCALE,
    isReachable: reader.flag(),
  };
}

function packOutcome(outcome: OutcomeCount): unknown {
  return [outcome.targetId, outcome.answeredCount, outcome.failedCount];
}

function unpackOutcome(reader: WireReader): OutcomeCount {
  return {
    targetId: reader.text(),
    answeredCount: reader.number(),
    failedCount: reader.number(),
  };
}

function packImplication(implication: Implication): unknown {
  return [implication.fingerprint, implication.targetId];
}

function unpackImplication(reader: WireReader): Implication {
  return {fingerprint: reader.text(), targetId: reader.text()};
}
