import assert from 'node:assert/strict';
import {test} from 'node:test';
import bunyan from 'bunyan';
import type {Member, Membership} from '../membership/index.js';
import {ComponentLog} from './component_log.js';
import type {PeerAddress, PeerTransport} from './peer_transport.js';
import {UrgentGossip} from './urgent_gossip.js';

const STATES = ['ready', 'ready', 'suspect', 'dead'] as const;

const members: readonly Member[] = STATES.map((state, index) => ({
  incarnation: {
    vmId: `e-0${index}`,
    bootId: `b${index}`,
    host: '127.0.0.1',
    port: 9_000 + index,
  },
  state,
  lastHeardMs: 0,
}));

test('urgent facts reach all live peers, and those published meanwhile share a broadcast', async () => {
  // Regular gossip is too slow: a request that crashes targets could move from
  // VM to VM before its quarantine arrives. Many facts must not cause one
  // broadcast each.
  const ports: number[] = [];
  const sleeps: (() => void)[] = [];
  const gossip = new UrgentGossip({
    membership: {
      self: members[0]!.incarnation,
      members: () => members,
    } as unknown as Membership,
    transport: {
      exchange: (peer: PeerAddress) => {
        ports.push(peer.port);
        return Promise.resolve(true);
      },
    } as unknown as PeerTransport,
    log: new ComponentLog(
      bunyan.createLogger({name: 'test', level: 'fatal'}),
      'peers',
    ),
    sleep: () => new Promise<void>(resolve => sleeps.push(resolve)),
  });
  gossip.onPublished('report/t-01');
  assert.deepEqual(ports, []);
  gossip.onPublished('quarantine/a');
  gossip.onPublished('quarantine/b');
  gossip.onPublished('drain/t-01');
  assert.deepEqual(ports, [9_001, 9_002]);
  const flushPromises = () => new Promise(setImmediate);
  await flushPromises();
  sleeps[0]?.();
  await flushPromises();
  const portsAfterSecond = [9_001, 9_002, 9_001, 9_002];
  assert.deepEqual(
    ports,
    portsAfterSecond,
    'one more broadcast for the other two facts',
  );
  sleeps[1]?.();
  await flushPromises();
  assert.deepEqual(ports, portsAfterSecond, 'nothing new, no broadcast');
});
