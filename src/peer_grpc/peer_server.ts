/**
 * Server side of the protocol between VMs.
 *
 * @packageDocumentation
 */
import {
  Server,
  ServerCredentials,
  status,
  type handleUnaryCall,
  type ServerUnaryCall,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../core/index.js';
import {
  BadMessageError,
  decodeClaim,
  decodeDelta,
  decodeDigest,
  decodeDocumentName,
  decodeHandOver,
  decodeSettlement,
  decodeTime,
  encodeAnswer,
  encodeDelta,
  encodeDigest,
  encodeDocument,
} from './codec.js';
import {
  MAX_MESSAGE_BYTES,
  type MessageStamp,
  type PeerError,
  type PeerHandler,
  type PeerTraffic,
} from './types.js';
import {
  lenientService,
  MalformedRequest,
  type CallName,
  type RequestOf,
  type ResponseOf,
  type Stamped,
} from './wire.js';

/** Time for calls in progress to finish when the server stops. */
const STOP_GRACE_MS = 1_000;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 for any free one. */
  readonly port: number;
  readonly handler: PeerHandler;
  readonly clock: Clock;
  readonly stamp: MessageStamp;
  /** Receives errors of the handler, for which the caller gets INTERNAL. */
  readonly onFault: (error: unknown) => void;
  /** Receives the sizes of messages. */
  readonly traffic?: PeerTraffic;
}

type ResponseBody<N extends CallName> = Omit<ResponseOf<N>, 'time'>;

/**
 * gRPC server of one VM. Rejects messages that are malformed or have invalid
 * content with INVALID_ARGUMENT without calling the handler.
 *
 * @example
 * ```ts
 * const server = new PeerServer({host, port, handler, clock, stamp, onFault});
 * const bound = await server.start();
 * ```
 */
export class PeerServer {
  private readonly server: Server;

  /** @param options - see {@link PeerServerOptions} */
  constructor(private readonly options: PeerServerOptions) {
    this.server = new Server({
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
    });
    this.server.addService(
      lenientService(options.traffic),
      this.implementation(),
    );
  }

  /**
   * Starts listening.
   *
   * @returns the port, or an error if it cannot be bound
   */
  start(): Promise<Result<number, PeerError>> {
    const {host, port} = this.options;
    const address = formatAddress(host, port);
    const credentials = ServerCredentials.createInsecure();
    return new Promise(resolve => {
      this.server.bindAsync(address, credentials, (error, boundPort) => {
        const message = `cannot listen on ${address}: ${error?.message}`;
        resolve(error ? err({type: 'failed', message}) : ok(boundPort));
      });
    });
  }

  /** Stops the server. Calls in progress have 1 s to finish. */
  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, STOP_GRACE_MS);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private implementation(): UntypedServiceImplementation {
    const {handler, clock} = this.options;
    return {
      Exchange: this.unaryHandler<'Exchange'>(async request => {
        const answer = await handler.exchange(decodeDigest(request.digest));
        const digest = encodeDigest(answer.digest);
        return {digest, deltas: answer.deltas.map(encodeDelta)};
      }),
      Push: this.unaryHandler<'Push'>(async request => {
        await handler.push(request.deltas.map(decodeDelta));
        return {};
      }),
      Claim: this.unaryHandler<'Claim'>(async request => {
        const claim = decodeClaim(request, clock.nowMs());
        return {answer: encodeAnswer(await handler.claim(claim))};
      }),
      Settle: this.unaryHandler<'Settle'>(async request => {
        await handler.settle(decodeSettlement(request));
        return {};
      }),
      HandOver: this.unaryHandler<'HandOver'>(async request => {
        await handler.handOver(decodeHandOver(request, clock.nowMs()));
        return {};
      }),
      FetchDocument: this.unaryHandler<'FetchDocument'>(async request => {
        const name = decodeDocumentName(request.name);
        const document = await handler.fetchDocument(name);
        return document ? {document: encodeDocument(document)} : {};
      }),
    };
  }

  private unaryHandler<N extends CallName>(
    handle: (request: RequestOf<N>) => Promise<ResponseBody<N>>,
  ): handleUnaryCall<RequestOf<N>, ResponseOf<N>> {
    const {stamp} = this.options;
    const run = async (request: RequestOf<N>): Promise<ResponseOf<N>> => {
      if (request instanceof MalformedRequest) {
        throw new BadMessageError(request.reason);
      }
      const {time} = request as Stamped;
      const sentTime = decodeTime(time);
      const body = await handle(request);
      stamp.observe(sentTime);
      return {time: stamp.next(), ...body} as unknown as ResponseOf<N>;
    };
    return (call: ServerUnaryCall<RequestOf<N>, ResponseOf<N>>, callback) => {
      run(call.request).then(
        response => callback(null, response),
        (error: unknown) => callback(this.toStatus(error)),
      );
    };
  }

  private toStatus(error: unknown): {code: status; details: string} {
    if (error instanceof BadMessageError) {
      return {code: status.INVALID_ARGUMENT, details: error.message};
    }
    this.options.onFault(error);
    return {code: status.INTERNAL, details: 'the call failed'};
  }
}

/**
 * Formats an address for gRPC, with IPv6 addresses in brackets.
 *
 * @internal
 */
export function formatAddress(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
