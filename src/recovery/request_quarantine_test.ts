import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  FingerprintQuarantine,
  RequestQuarantine,
  fingerprintsOf,
  type RequestIdentity,
} from './index.js';

const READ: RequestIdentity = {
  callerAddress: '100.64.0.7',
  method: 'GET',
  host: 'desk.example',
  path: '/stock/casks',
  bodyHash: '',
};

function create(): RequestQuarantine {
  return new RequestQuarantine(
    new FingerprintQuarantine({quarantineTargetCount: 3}),
  );
}

test('copies share a resource, other requests share nothing', () => {
  const seed = 23;
  fc.assert(
    fc.property(fc.string(), fc.ipV4(), (query, callerAddress) => {
      const path = `${READ.path}?${query}`;
      const copy = fingerprintsOf({...READ, path, callerAddress});
      const {resourceFingerprint, fingerprint} = fingerprintsOf(READ);
      assert.equal(copy.resourceFingerprint, resourceFingerprint);
      assert.notEqual(copy.fingerprint, fingerprint);
    }),
    {seed},
  );
  const others = [
    {method: 'PUT'},
    {host: 'other.example'},
    {path: '/stock/casks2'},
    {bodyHash: '1'},
  ].map(change => fingerprintsOf({...READ, ...change}));
  const all = [fingerprintsOf(READ), ...others].flatMap(each => [
    each.fingerprint,
    each.resourceFingerprint,
  ]);
  assert.equal(new Set(all).size, 2 * (others.length + 1));
});

test('a resource that is answered is quarantined for the exact request only', () => {
  // Guards against a popular read that one caller takes away from all others.
  const requests = create();
  const popular = fingerprintsOf({...READ, callerAddress: '100.64.0.8'});
  const crashing = fingerprintsOf(READ);
  requests.onAnswered(popular, 0);
  for (const targetId of ['t-1', 't-2', 't-3']) {
    assert.equal(requests.isQuarantined(crashing, 10), false);
    requests.onCrash(targetId, crashing, 10);
  }
  assert.equal(requests.isQuarantined(crashing, 10), true);
  assert.equal(requests.isQuarantined(popular, 10), false);
});

test('an answer lifts the quarantine of a resource', () => {
  // Guards against a resource that stays refused after a rack failure.
  const requests = create();
  ['t-1', 't-2', 't-3'].forEach((targetId, index) => {
    const callerAddress = `100.64.1.${index}`;
    const request = fingerprintsOf({...READ, callerAddress});
    assert.equal(requests.onCrash(targetId, request, 0), index + 1);
  });
  const request = fingerprintsOf(READ);
  assert.equal(requests.isQuarantined(request, 0), true);
  assert.equal(requests.onAnswered(request, 1), true);
  assert.equal(requests.isQuarantined(request, 1), false);
});
