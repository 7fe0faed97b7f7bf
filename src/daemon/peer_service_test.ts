import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ok} from 'neverthrow';
import {ManualClock} from '../core/index.js';
import {
  GossipMembership,
  type Digest,
  type OwnerDelta,
} from '../membership/index.js';
import type {PeerClient} from '../peer_grpc/index.js';
import {GrpcTransport} from './grpc_transport.js';
import {PeerService, type PeerServiceOptions} from './peer_service.js';

const clock = new ManualClock({startMs: 0});

function createMembership(vmId: string, port: number): GossipMembership {
  const self = {vmId, bootId: 'b', host: '10.0.0.1', port};
  return new GossipMembership({self, startMs: 0});
}

test('an exchange sends no facts that both sides have', async () => {
  // The reply must not contain the whole digest, and the caller must not push
  // the facts of all owners because it reads the short reply as a whole digest.
  const [caller, callee] = [
    createMembership('e-1', 1),
    createMembership('e-2', 2),
  ];
  const service = new PeerService({
    membership: callee,
    clock,
    onFacts: () => undefined,
    checkPause: () => undefined,
  } as unknown as PeerServiceOptions);
  const replies: Digest[] = [];
  const pushes: (readonly OwnerDelta[])[] = [];
  const client = {
    exchange: (_: unknown, digest: Digest) => {
      const answer = service.exchange(digest);
      replies.push(answer.digest);
      return Promise.resolve(ok(answer));
    },
    push: (_: unknown, deltas: readonly OwnerDelta[]) => {
      pushes.push(deltas);
      service.push(deltas);
      return Promise.resolve(ok(undefined));
    },
  } as unknown as PeerClient;
  const transport = new GrpcTransport({
    client,
    membership: caller,
    clock,
    onFacts: () => undefined,
  });
  const peer = {host: '10.0.0.1', port: 2};
  assert.equal(await transport.exchange(peer), true);
  assert.deepEqual(caller.digest(), callee.digest());
  assert.equal(await transport.exchange(peer), true);
  assert.deepEqual(
    replies.map(reply => reply.size),
    [1, 0],
  );
  assert.equal(pushes.length, 1);
});
