/**
 * Datagrams between VMs.
 *
 * @packageDocumentation
 */
import {createSocket, type Socket} from 'node:dgram';
import type {Dispatch, FleetMessage} from '../fleet/index.js';
import {decodeMessage, encodeMessage} from './fleet_codec.js';

/** Larger messages are not sent; receivers fetch what is missing over TCP. */
export const MAX_DATAGRAM_BYTES = 8_000;

/** What the link tells its owner. */
export interface DatagramListener {
  onMessage(message: FleetMessage): void;
  /** A datagram that is no message, or one that could not be sent. */
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
 * One UDP socket for all messages between VMs. gRPC carries the product's own
 * peer protocol; it is not used here since a message must cost microseconds and
 * a broken path must never hold others up.
 */
export class DatagramLink {
  private readonly socket: Socket;
  private isOpen = false;

  /** @param options - address and listener */
  constructor(private readonly options: DatagramLinkOptions) {
    this.socket = createSocket({type: 'udp4', reuseAddr: true});
    this.socket.on('message', bytes => this.onDatagram(bytes));
    this.socket.on('error', error => options.listener.onFault(error.message));
  }

  /**
   * Opens the port.
   *
   * @returns when datagrams are received
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
   * Sends a message. Lost datagrams are not noticed.
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
