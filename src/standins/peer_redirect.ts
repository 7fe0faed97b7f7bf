/**
 * Module for `node --import` in front of a daemon: sends its connections to
 * peers through the relay. The variable `PEER_LINKS` maps ports of peers to
 * ports of the relay, as JSON. Peers learn each other's listen address, so a
 * relay that can cut single links has to be inserted where they connect.
 *
 * @packageDocumentation
 */
import {createRequire} from 'node:module';

type Connect = (...args: readonly unknown[]) => unknown;

const links = new Map<number, number>(
  Object.entries(
    JSON.parse(process.env['PEER_LINKS'] ?? '{}') as Record<string, number>,
  ).map(([port, relayPort]) => [Number(port), relayPort]),
);
// The CommonJS object is the one through which grpc-js calls `connect`.
const net = createRequire(import.meta.url)('node:net') as {connect: Connect};
const original = net.connect;

net.connect = (...args) => {
  const [options, ...rest] = args;
  const port = Number((options as {readonly port?: unknown} | null)?.port);
  const relayPort = links.get(port);
  return relayPort === undefined
    ? original(...args)
    : original({...(options as object), port: relayPort}, ...rest);
};
