/**
 * Client side of the protocol between VMs.
 *
 * @packageDocumentation
 */
import {
  Client,
  credentials,
  status,
  type ChannelOptions,
  type ServiceError,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../core/index.js';
import type {Digest, OwnerDelta, PeerAddress} from '../membership/index.js';
import type {DocumentName, PublishedDocument} from '../preset/index.js';
import type {
  ClaimAnswer,
  ClaimRecord,
  ClaimRequest,
  Settlement,
} from '../recovery/index.js';
import {
  BadMessageError,
  decodeAnswer,
  decodeDelta,
  decodeDigest,
  decodeDocument,
  decodeTime,
  encodeClaim,
  encodeDelta,
  encodeDigest,
  encodeRecord,
  encodeSettlement,
} from './codec.js';
import {formatAddress} from './peer_server.js';
import {
  MAX_MESSAGE_BYTES,
  type ExchangeAnswer,
  type HandOver,
  type MessageStamp,
  type PeerError,
  type PeerTraffic,
} from './types.js';
import {
  countDecoded,
  countEncoded,
  methodOf,
  type CallName,
  type RequestOf,
  type ResponseOf,
} from './wire.js';

/** Size at which a hand-over is split into a further message, in characters. */
const HAND_OVER_CHUNK_LENGTH = 512 * 1_024;

/** Encoded size of a record without its strings, in bytes. */
const RECORD_OVERHEAD_BYTES = 40;

const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  // Reconnects to a restarted peer within a second.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  // gRPC must not send a claim twice without the claimant's knowledge.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  // A new channel must not share the connection of a failed one.
  'grpc.use_local_subchannel_pool': 1,
};

/** Options of {@link PeerClient}; times in milliseconds. */
export interface PeerClientOptions {
  readonly clock: Clock;
  readonly stamp: MessageStamp;
  /** Timeout of exchanges, pushes and settlements, 1,000 by default. */
  readonly gossipTimeoutMs?: number;
  /**
   * Timeout of claims, unless the request's deadline is earlier; 500 by
   * default.
   */
  readonly claimTimeoutMs?: number;
  /** Timeout of hand-overs and documents, 5,000 by default. */
  readonly bulkTimeoutMs?: number;
  /**
   * Maximum number of open channels, 256 by default. Above it, the least
   * recently used one is closed.
   */
  readonly maxChannels?: number;
  /** Receives the sizes of messages. */
  readonly traffic?: PeerTraffic;
}

/**
 * gRPC client for all peers, with one channel per address.
 *
 * A call that exceeds its deadline closes the channel, since its connection or
 * connection attempt may never recover although a new one would work.
 *
 * @example
 * ```ts
 * const client = new PeerClient({clock, stamp});
 * const answer = await client.exchange(peer, membership.digest());
 * ```
 */
export class PeerClient {
  private readonly clock: Clock;
  private readonly stamp: MessageStamp;
  private readonly gossipTimeoutMs: number;
  private readonly claimTimeoutMs: number;
  private readonly bulkTimeoutMs: number;
  private readonly maxChannels: number;
  private readonly traffic: PeerTraffic | undefined;
  /** Ordered by last use. */
  private readonly channels = new Map<string, Client>();

  /** @param options - see {@link PeerClientOptions} */
  constructor(options: PeerClientOptions) {
    this.clock = options.clock;
    this.stamp = options.stamp;
    this.gossipTimeoutMs = options.gossipTimeoutMs ?? 1_000;
    this.claimTimeoutMs = options.claimTimeoutMs ?? 500;
    this.bulkTimeoutMs = options.bulkTimeoutMs ?? 5_000;
    this.maxChannels = options.maxChannels ?? 256;
    this.traffic = options.traffic;
  }

  /**
   * Sends the digest of this VM.
   *
   * @param peer - address of the callee
   * @param digest - digest of this VM
   * @returns the facts that this VM lacks and the entries that the callee lacks
   */
  async exchange(
    peer: PeerAddress,
    digest: Digest,
  ): Promise<Result<ExchangeAnswer, PeerError>> {
    const request = {time: this.stamp.next(), digest: encodeDigest(digest)};
    return this.call('Exchange', peer, request, this.gossipTimeoutMs, reply => {
      const deltas = reply.deltas.map(decodeDelta);
      return {deltas, digest: decodeDigest(reply.digest)};
    });
  }

  /**
   * Sends facts.
   *
   * @param peer - address of the callee
   * @param deltas - facts that the callee lacks
   * @returns nothing, or an error
   */
  async push(
    peer: PeerAddress,
    deltas: readonly OwnerDelta[],
  ): Promise<Result<void, PeerError>> {
    const request = {time: this.stamp.next(), deltas: deltas.map(encodeDelta)};
    return this.call('Push', peer, request, this.gossipTimeoutMs, ignoreReply);
  }

  /**
   * Requests a claim.
   *
   * @param peer - address of the home VM
   * @param claim - the claim
   * @returns the answer; `unreachable` if the call failed
   */
  async claim(peer: PeerAddress, claim: ClaimRequest): Promise<ClaimAnswer> {
    const nowMs = this.clock.nowMs();
    const remainingMs = claim.deadlineMs - nowMs;
    const timeoutMs = Math.min(this.claimTimeoutMs, remainingMs);
    const request = encodeClaim(claim, this.stamp.next(), nowMs);
    const answer = await this.call('Claim', peer, request, timeoutMs, reply =>
      decodeAnswer(reply.answer),
    );
    return answer.isOk() ? answer.value : {type: 'unreachable'};
  }

  /**
   * Settles a claim. May be repeated after an error.
   *
   * @param peer - address of the home VM
   * @param settlement - the verdict
   * @returns nothing, or an error
   */
  async settle(
    peer: PeerAddress,
    settlement: Settlement,
  ): Promise<Result<void, PeerError>> {
    const request = encodeSettlement(settlement, this.stamp.next());
    return this.call(
      'Settle',
      peer,
      request,
      this.gossipTimeoutMs,
      ignoreReply,
    );
  }

  /**
   * Hands over records, split into as many messages as needed.
   *
   * @param peer - address of the next home VM
   * @param handOver - the records
   * @returns nothing once all are acknowledged, or the first error
   */
  async handOver(
    peer: PeerAddress,
    handOver: HandOver,
  ): Promise<Result<void, PeerError>> {
    const nowMs = this.clock.nowMs();
    const {lastEvictionMs} = handOver;
    const eviction =
      lastEvictionMs === undefined
        ? {}
        : {evictionElapsedMs: nowMs - lastEvictionMs};
    for (const chunk of splitRecords(handOver.records)) {
      const sentMs = this.clock.nowMs();
      const records = chunk.map(record => encodeRecord(record, sentMs));
      const request = {time: this.stamp.next(), records, ...eviction};
      const timeoutMs = this.bulkTimeoutMs;
      const result = await this.call(
        'HandOver',
        peer,
        request,
        timeoutMs,
        ignoreReply,
      );
      if (result.isErr()) {
        return result;
      }
    }
    return ok(undefined);
  }

  /**
   * Fetches a document.
   *
   * @param peer - address of the callee
   * @param name - name of the document
   * @returns the document, undefined if the callee has none, or an error
   */
  async fetchDocument(
    peer: PeerAddress,
    name: DocumentName,
  ): Promise<Result<PublishedDocument | undefined, PeerError>> {
    const request = {time: this.stamp.next(), name};
    const timeoutMs = this.bulkTimeoutMs;
    return this.call('FetchDocument', peer, request, timeoutMs, reply =>
      reply.document ? decodeDocument(name, reply.document) : undefined,
    );
  }

  /** Closes the channel to a removed peer. Calls in progress may finish. */
  drop(peer: PeerAddress): void {
    this.closeChannel(formatAddress(peer.host, peer.port));
  }

  /** Closes all channels. */
  close(): void {
    [...this.channels.keys()].forEach(address => this.closeChannel(address));
  }

  /** Returns the number of open channels, for metrics. */
  channelCount(): number {
    return this.channels.size;
  }

  private async call<N extends CallName, T>(
    name: N,
    peer: PeerAddress,
    request: RequestOf<N>,
    timeoutMs: number,
    decode: (reply: ResponseOf<N>) => T,
  ): Promise<Result<T, PeerError>> {
    const address = formatAddress(peer.host, peer.port);
    const channel = this.getOrCreateChannel(address);
    try {
      const reply = await this.send(channel, name, request, timeoutMs);
      const sentTime = decodeTime(reply.time);
      const result = decode(reply);
      this.stamp.observe(sentTime);
      return ok(result);
    } catch (error) {
      const peerError = toPeerError(error, address);
      const isCurrent = this.channels.get(address) === channel;
      if (peerError.type === 'deadline' && isCurrent) {
        this.closeChannel(address);
      }
      return err(peerError);
    }
  }

  private send<N extends CallName>(
    channel: Client,
    name: N,
    request: RequestOf<N>,
    timeoutMs: number,
  ): Promise<ResponseOf<N>> {
    const {path, requestSerialize, responseDeserialize} = methodOf(name);
    // gRPC takes the deadline as wall-clock time of this process.
    const deadline = new Date(Date.now() + Math.max(timeoutMs, 0));
    return new Promise((resolve, reject) => {
      channel.makeUnaryRequest(
        path,
        countEncoded(name, requestSerialize, this.traffic),
        countDecoded(name, responseDeserialize, this.traffic),
        request,
        {deadline},
        (error, reply) => {
          if (error !== null || reply === undefined) {
            reject(error ?? new Error('the reply is empty'));
          } else {
            resolve(reply);
          }
        },
      );
    });
  }

  private getOrCreateChannel(address: string): Client {
    const channel =
      this.channels.get(address) ??
      new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    this.channels.delete(address);
    this.channels.set(address, channel);
    const [leastRecentlyUsed] = this.channels.keys();
    if (
      this.channels.size > this.maxChannels &&
      leastRecentlyUsed !== undefined
    ) {
      this.closeChannel(leastRecentlyUsed);
    }
    return channel;
  }

  private closeChannel(address: string): void {
    this.channels.get(address)?.close();
    this.channels.delete(address);
  }
}

function toPeerError(error: unknown, address: string): PeerError {
  const message = `call to ${address}: ${(error as Error).message}`;
  if (error instanceof BadMessageError) {
    return {type: 'failed', message};
  }
  switch ((error as Partial<ServiceError>).code) {
    case status.DEADLINE_EXCEEDED:
      return {type: 'deadline', message};
    case status.UNAVAILABLE:
      return {type: 'unreachable', message};
    case status.INVALID_ARGUMENT:
      return {type: 'rejected', message};
    default:
      return {type: 'failed', message};
  }
}

function* splitRecords(
  records: readonly ClaimRecord[],
): Generator<readonly ClaimRecord[]> {
  let chunk: ClaimRecord[] = [];
  let length = 0;
  for (const record of records) {
    const {key, fingerprint, claimantId, token} = record;
    const texts = [key, fingerprint, claimantId, token];
    length += texts.join('').length + RECORD_OVERHEAD_BYTES;
    chunk.push(record);
    if (length >= HAND_OVER_CHUNK_LENGTH) {
      yield chunk;
      chunk = [];
      length = 0;
    }
  }
  if (chunk.length > 0) {
    yield chunk;
  }
}

function ignoreReply(): void {
  // The reply contains only its timestamp.
}
