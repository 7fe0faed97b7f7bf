/**
 * Transport of a VM without peers.
 *
 * @packageDocumentation
 */
import type {PublishedDocument} from '../preset/index.js';
import type {ClaimAnswer} from '../recovery/index.js';
import {PeerTransport} from './peer_transport.js';

/** Reaches nobody. */
export class LoneTransport extends PeerTransport {
  override exchange(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override claim(): Promise<ClaimAnswer> {
    return Promise.resolve({type: 'unreachable'});
  }

  override settle(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override handOver(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override fetchDocument(): Promise<PublishedDocument | undefined> {
    return Promise.resolve(undefined);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
