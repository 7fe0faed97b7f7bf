/**
 * Protocol between VMs over gRPC: gossip, claims, hand-over and documents.
 *
 * @packageDocumentation
 */
export * from './types.js';
export {PeerClient, type PeerClientOptions} from './peer_client.js';
export {PeerServer, type PeerServerOptions} from './peer_server.js';
