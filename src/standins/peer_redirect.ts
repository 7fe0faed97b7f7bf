/**
 * Module for `node --import` that routes a daemon's connections to peers
 * through the relay. The environment variable `PEER_LINKS` maps ports of peers
 * to ports of the relay, as a JSON object. Peers learn each other's listen
 * addresses, so a relay that can cut individual links must be inserted on the
 * connecting side.
 *
 * @packageDocumentation
 */
import {createRequire} from 'node:module';

type Connect = (...args: readonly unknown[]) => unknown;

const relayPorts = new Map<number, number>(
  Object.entries(
    JSON.parse(process.env['PEER_LINKS'] ?? '{}') as Record<string, number>,
  ).map(([port, relayPort]) => [Number(port), relayPort]),
);
// grpc-js calls `connect` through the CommonJS module object.
const net = createRequire(import.meta.url)('node:net') as {connect: Connect};
const originalConnect = net.connect;

net.connect = (...args) => {
  const [options, ...rest] = args;
  const port = Number((options as {readonly port?: unknown} | null)?.port);
  const relayPort = relayPorts.get(port);
  return relayPort === undefined
    ? originalConnect(...args)
    : originalConnect({...(options as object), port: relayPort}, ...rest);
};
