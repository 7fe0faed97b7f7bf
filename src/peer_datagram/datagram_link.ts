/**
 * UDP transport for messages between VMs.
 *
 * @packageDocumentation
 */
import {createSocket, type Socket} from 'node:dgram';
import type {Dispatch, FleetMessage} from '../fleet/index.js';
import {decodeMessage, encodeMessage} from './fleet_codec.js';

/** Larger messages are not sent; receivers fetch missing changes over TCP. */
export const MAX_DATAGRAM_BYTES = 8_000;

/** Receives the messages and faults of a link. */
export interface DatagramListener {
  onMessage(message: FleetMessage): void;
  /**
   * Called when the socket fails or a datagram is malformed or cannot be sent.
   */
  onFault(reason: string): void;
}

/** Options of {@link DatagramLink}. */
export interface DatagramLinkOptions {
  readonly host: string;
  /** Port of this VM and of all peers. */
  readonly port: number;
  readonly listener: DatagramListener;
}

/**
 * Sends and receives messages between VMs on one UDP socket. gRPC, which
 * carries the native peer protocol, is not used here: a message must cost no
 * more than microseconds, and a failed path must not delay messages to other
 * VMs.
 */
export class DatagramLink {
  private readonly socket: Socket;
  private isOpen = false;

  /** @param options - address, port and listener */
  constructor(private readonly options: DatagramLinkOptions) {
    this.socket = createSocket({type: 'udp4', reuseAddr: true});
    this.socket.on('message', bytes => this.onDatagram(bytes));
    this.socket.on('error', error => options.listener.onFault(error.message));
  }

  /**
   * Binds the port.
   *
   * @returns a promise that resolves when datagrams can be received
   * @throws the error of `bind`, for example when the port is in use
   */
  open(): Promise<void> {
    const {host, port} = this.options;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind({address: host, port, exclusive: true}, () => {
        this.socket.off('error', reject);
        this.isOpen = true;
        resolve();
      });
    });
  }

  /**
   * Sends a message. Lost datagrams are not detected.
   *
   * @param dispatch - message and receivers
   * @returns false if the message is too large for a datagram
   */
  send(dispatch: Dispatch): boolean {
    if (!this.isOpen) {
      return true;
    }
    const bytes = encodeMessage(dispatch.message);
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      return false;
    }
    for (const host of dispatch.hosts) {
      this.socket.send(bytes, this.options.port, host, error => {
        if (error !== null) {
          this.options.listener.onFault(`${host}: ${error.message}`);
        }
      });
    }
    return true;
  }

  /** Closes the port. */
  close(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.socket.close();
    }
  }

  private onDatagram(bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message.isErr()) {
      this.options.listener.onFault(message.error.reason);
      return;
    }
    this.options.listener.onMessage(message.value);
  }
}
