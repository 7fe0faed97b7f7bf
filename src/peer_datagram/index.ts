/**
 * Communication between VMs: messages over UDP, and published state over TCP.
 *
 * @packageDocumentation
 */
export {
  DatagramLink,
  MAX_DATAGRAM_BYTES,
  type DatagramLinkOptions,
  type DatagramListener,
} from './datagram_link.js';
export {decodeMessage, encodeMessage, type CodecError} from './fleet_codec.js';
export {
  fetchPublished,
  PublishedServer,
  type FetchedState,
  type FetchError,
} from './published_exchange.js';
