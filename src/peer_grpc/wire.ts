/**
 * Types of the protobuf messages, and the service definition.
 *
 * @packageDocumentation
 */
import type {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';
import {fileURLToPath} from 'node:url';
import type {PeerTraffic} from './types.js';

/** @internal */
export interface WireTime {
  readonly wallMs: number;
  readonly counter: number;
}

/** @internal */
export interface WireDigest {
  readonly ownerShortIds: readonly number[];
  readonly sequences: readonly number[];
}

/** @internal */
export interface WireDelta {
  readonly ownerId: string;
  readonly afterSequence: number;
  readonly collectedSequence: number;
  readonly keys: readonly string[];
  readonly values: readonly string[];
  readonly sequenceSteps: readonly number[];
  readonly ownerShortId?: number;
}

/** @internal */
export type WireState =
  | 'RECORD_STATE_UNSPECIFIED'
  | 'RECORD_CLAIMED'
  | 'RECORD_NOT_RUN'
  | 'RECORD_RAN'
  | 'RECORD_MAY_HAVE_RUN';

/** @internal */
export interface WireRecord {
  readonly key: string;
  readonly fingerprint: string;
  readonly claimantId: string;
  readonly token: string;
  readonly state: WireState;
  readonly remainingMs: number;
  readonly expiresInMs: number;
}

/** @internal */
export type WireAnswer =
  | 'CLAIM_ANSWER_UNSPECIFIED'
  | 'GRANTED'
  | 'RAN'
  | 'RUNNING'
  | 'MAY_HAVE_RUN'
  | 'MISMATCH'
  | 'NOT_HOME';

/** @internal */
export interface Stamped {
  readonly time: WireTime | null;
}

/** @internal */
export interface WireExchangeRequest extends Stamped {
  readonly digest: WireDigest | null;
}

/** @internal */
export interface WireExchangeResponse extends Stamped {
  readonly digest: WireDigest | null;
  readonly deltas: readonly WireDelta[];
}

/** @internal */
export interface WirePushRequest extends Stamped {
  readonly deltas: readonly WireDelta[];
}

/** @internal */
export interface WireClaimRequest extends Stamped {
  readonly key: string;
  readonly fingerprint: string;
  readonly attempt?: number;
  readonly claimantId: string;
  readonly token: string;
  readonly remainingMs: number;
}

/** @internal */
export interface WireClaimResponse extends Stamped {
  readonly answer: WireAnswer;
}

/** @internal */
export interface WireSettleRequest extends Stamped {
  readonly key: string;
  readonly claimantId: string;
  readonly token: string;
  readonly verdict: WireState;
}

/** @internal */
export interface WireHandOverRequest extends Stamped {
  readonly records: readonly WireRecord[];
  readonly evictionElapsedMs?: number;
}

/** @internal */
export interface WireFetchRequest extends Stamped {
  readonly name: string;
}

/** @internal */
export interface WireDocument {
  readonly revision: number;
  readonly platformVersion: number;
  readonly platformEra: number;
  readonly sha256: string;
  readonly body: string;
}

/** @internal */
export interface WireFetchResponse extends Stamped {
  readonly document?: WireDocument;
}

/** Request and response of each call. @internal */
export interface WireCalls {
  readonly Exchange: [WireExchangeRequest, WireExchangeResponse];
  readonly Push: [WirePushRequest, Stamped];
  readonly Claim: [WireClaimRequest, WireClaimResponse];
  readonly Settle: [WireSettleRequest, Stamped];
  readonly HandOver: [WireHandOverRequest, Stamped];
  readonly FetchDocument: [WireFetchRequest, WireFetchResponse];
}

/** @internal */
export type CallName = keyof WireCalls;

/** @internal */
export type RequestOf<N extends CallName> = WireCalls[N][0];

/** @internal */
export type ResponseOf<N extends CallName> = WireCalls[N][1];

/** @internal */
export const CALL_NAMES: readonly CallName[] = [
  'Exchange',
  'Push',
  'Claim',
  'Settle',
  'HandOver',
  'FetchDocument',
];

/** Size of the prefix of each gRPC message. @internal */
export const FRAME_BYTES = 5;

/** Stands for a request that could not be decoded. @internal */
export class MalformedRequest {
  /** @param reason - error message of the decoder */
  constructor(readonly reason: string) {}
}

const definitions = loadSync(
  fileURLToPath(new URL('./peer.proto', import.meta.url)),
  {longs: Number, enums: String, defaults: true, arrays: true},
);

/** Service definition of the protocol. @internal */
export const PEER_SERVICE = definitions[
  'sycamorepitch.peer.v1.Peer'
] as ServiceDefinition;

/**
 * Returns the definition of one call.
 *
 * @internal
 */
export function methodOf<N extends CallName>(
  name: N,
): MethodDefinition<RequestOf<N>, ResponseOf<N>> {
  return PEER_SERVICE[name] as unknown as MethodDefinition<
    RequestOf<N>,
    ResponseOf<N>
  >;
}

/** Returns an encoder that reports the size of each message. @internal */
export function countEncoded<T>(
  name: CallName,
  encode: (message: T) => Buffer,
  traffic: PeerTraffic | undefined,
): (message: T) => Buffer {
  return message => {
    const bytes = encode(message);
    traffic?.onMessage('sent', name, bytes.length + FRAME_BYTES);
    return bytes;
  };
}

/** Returns a decoder that reports the size of each message. @internal */
export function countDecoded<T>(
  name: CallName,
  decode: (bytes: Buffer) => T,
  traffic: PeerTraffic | undefined,
): (bytes: Buffer) => T {
  return bytes => {
    traffic?.onMessage('received', name, bytes.length + FRAME_BYTES);
    return decode(bytes);
  };
}

/**
 * Returns a service definition whose decoder returns {@link MalformedRequest}
 * instead of throwing, so that the server can respond with INVALID_ARGUMENT.
 *
 * @param traffic - receives the sizes of messages
 * @returns the definition
 * @internal
 */
export function lenientService(
  traffic: PeerTraffic | undefined,
): ServiceDefinition {
  const entries = CALL_NAMES.map(name => {
    const method = methodOf(name) as MethodDefinition<unknown, unknown>;
    const decode = (bytes: Buffer): unknown => {
      try {
        return method.requestDeserialize(bytes);
      } catch (error) {
        return new MalformedRequest(String(error));
      }
    };
    const requestDeserialize = countDecoded(name, decode, traffic);
    const encode = method.responseSerialize;
    const responseSerialize = countEncoded(name, encode, traffic);
    return [name, {...method, requestDeserialize, responseSerialize}];
  });
  return Object.fromEntries(entries) as ServiceDefinition;
}
