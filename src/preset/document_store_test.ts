import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  compareVersions,
  createConfigStore,
  createVmListStore,
  diffConfigs,
  formatChange,
  nextDocument,
  parseConfigDocument,
  publishedDocument,
  selectPlatformReaders,
  type PublishedDocument,
} from './index.js';
import {sampleConfig} from './sample_documents.js';

/** Generates publications: some invalid, some conflicting in their revision. */
const publication = fc
  .record({
    revision: fc.integer({min: 1, max: 5}),
    platformVersion: fc.integer({min: 1, max: 5}),
    platformEra: fc.integer({min: 0, max: 2}),
    capacity: fc.integer({min: -1, max: 2}),
  })
  .map(({revision, platformVersion, platformEra, capacity}) => {
    const body = sampleConfig(revision, {queueCapacity: capacity});
    return publishedDocument('config', platformVersion, body, platformEra);
  });

function isValid(document: PublishedDocument): boolean {
  return parseConfigDocument(document.body).isOk();
}

test('stores never revert and converge in any order of offers', () => {
  // Guards against VMs that keep different presets or revert to an old one.
  fc.assert(
    fc.property(
      fc.array(publication, {minLength: 1, maxLength: 8}).chain(offers =>
        fc.record({
          offers: fc.constant(offers),
          orders: fc.array(
            fc
              .array(fc.nat(offers.length - 1), {maxLength: 12})
              .chain(repeats =>
                fc.shuffledSubarray([...offers.keys(), ...repeats], {
                  minLength: offers.length + repeats.length,
                }),
              ),
            {minLength: 2, maxLength: 4},
          ),
        }),
      ),
      ({offers, orders}) => {
        const expected = offers
          .filter(isValid)
          .map(offer => offer.version)
          .sort(compareVersions)
          .at(-1);
        for (const order of orders) {
          const store = createConfigStore();
          for (const index of order) {
            const before = store.adopted;
            const outcome = store.offer(offers[index]!, 0);
            const after = store.adopted;
            if (before !== undefined && after !== before) {
              assert.equal(outcome.type, 'adopted');
              assert.ok(
                compareVersions(
                  after!.published.version,
                  before.published.version,
                ) > 0,
              );
            }
          }
          assert.deepEqual(store.adopted?.published.version, expected);
        }
      },
    ),
    {seed: 21},
  );
});

test('an invalid document is refused with its path and changes nothing', () => {
  // Guards against an operator's mistake that removes the presets of all VMs.
  const store = createConfigStore();
  store.offer(publishedDocument('config', 1, sampleConfig(1)), 0);
  const before = store.adopted;
  const bad = publishedDocument(
    'config',
    2,
    sampleConfig(2, {queueCapacity: -1}),
  );
  assert.ok(store.shouldFetch(bad.version));
  assert.equal(store.offer(bad, 5).type, 'refused');
  assert.equal(store.offer(bad, 6).type, 'refused');
  assert.equal(store.adopted, before);
  assert.ok(!store.shouldFetch(bad.version));
  const [refused, ...rest] = store.status(7).refused;
  assert.deepEqual(rest, []);
  assert.equal(refused?.revision, 2);
  assert.match(refused?.reason ?? '', /growers-desk\.queueCapacity: found -1/);
  assert.equal(store.status(7).adoptedAgeMs, 7);
});

test('a damaged transfer does not block the intact document', () => {
  // Guards against a VM that refuses the intact body after a damaged copy.
  const store = createConfigStore();
  const original = publishedDocument('config', 1, sampleConfig(1));
  const damaged = {...original, body: original.body + ' '};
  assert.equal(store.offer(damaged, 0).type, 'refused');
  assert.ok(store.shouldFetch(original.version));
  assert.equal(store.offer(original, 0).type, 'adopted');
  // Guards against a peer that reports a higher revision than the body has.
  const raised = {...original, version: {...original.version, revision: 99}};
  assert.equal(store.offer(raised, 0).type, 'refused');
});

test('the later of two concurrent publications wins, the other is listed', () => {
  // Guards against a superseded publication that the status does not list.
  const first = publishedDocument('config', 5, sampleConfig(2));
  const second = publishedDocument(
    'config',
    6,
    sampleConfig(2, {queueCapacity: 7}),
  );
  for (const order of [
    [first, second],
    [second, first],
  ]) {
    const store = createConfigStore();
    const outcomes = order.map(document => store.offer(document, 0).type);
    assert.equal(outcomes[0], 'adopted');
    assert.equal(store.adopted?.published, second);
    assert.deepEqual(store.status(0).superseded, [first.version]);
  }
});

test('a republished document does not conflict with itself', () => {
  // Guards against a publication that is listed as superseded by itself.
  const store = createConfigStore();
  store.offer(publishedDocument('config', 5, sampleConfig(2)), 0);
  const outcome = store.offer(
    publishedDocument('config', 6, sampleConfig(2)),
    0,
  );
  assert.equal(outcome.type, 'adopted');
  assert.deepEqual(store.status(0).superseded, []);
});

test('a later publication with a lower revision is refused with a reason', () => {
  // Guards against a publication that is ignored silently.
  const store = createConfigStore();
  store.offer(publishedDocument('config', 5, sampleConfig(9)), 0);
  store.offer(publishedDocument('config', 4, sampleConfig(7)), 0);
  assert.deepEqual(store.status(0).refused, []);
  store.offer(publishedDocument('config', 6, sampleConfig(8)), 0);
  assert.match(store.status(0).refused[0]?.reason ?? '', /lower revision 8/);
});

test('the revision is read from a malformed document', () => {
  // Guards against a refusal that lacks the revision of the document.
  const revisionOf = (body: string): number =>
    publishedDocument('config', 1, body).version.revision;
  assert.equal(revisionOf('{"a": {"revision": 1}, "revision": 7, '), 7);
  assert.equal(revisionOf('{"revision": "7"}'), 0);
  assert.equal(revisionOf('{"revision": 1e400}'), 0);
  assert.equal(revisionOf('["revision", 7]'), 0);
});

test('lists of VMs are ordered by the platform version alone', () => {
  // Guards against a list that reports conflicts or requires a revision.
  const store = createVmListStore();
  store.offer(publishedDocument('vms', 3, '{"vms": []}'), 0);
  const stale = publishedDocument('vms', 2, '{"vms": [ ]}');
  assert.equal(store.offer(stale, 0).type, 'ignored');
  assert.deepEqual(store.status(0).superseded, []);
});

test('the next document keeps comments and increments the revision', () => {
  // Guards against a preset switch that drops operators' comments.
  const body = '// lunch from 11:30\n' + sampleConfig(12);
  const next = nextDocument(body, 'ordinary')._unsafeUnwrap();
  assert.ok(next.body.startsWith('// lunch from 11:30\n'));
  assert.equal(next.document.revision, 13);
  assert.equal(next.document.inForce, 'ordinary');
  const error = nextDocument(body, 'dinner')._unsafeUnwrapErr();
  assert.equal(error.type, 'unknown-preset');
});

test('a diff lists the changes of the preset in force first', () => {
  // Guards against an operator who overlooks the effect of a publication.
  const before = parseConfigDocument(sampleConfig(1))._unsafeUnwrap();
  const after = parseConfigDocument(
    sampleConfig(2, {slowStartMs: 9, kinds: {}}),
  )._unsafeUnwrap();
  assert.deepEqual(diffConfigs(before, before), []);
  assert.deepEqual(diffConfigs(before, after).map(formatChange), [
    '  revision changes from 1 to 2',
    '* preset lunch, service growers-desk: slow start (ms) changes from 5000 to 9',
    '* preset lunch, service growers-desk, kind book: removed',
    '  preset ordinary, service growers-desk: slow start (ms) changes from 5000 to 9',
    '  preset ordinary, service growers-desk, kind book: removed',
  ]);
});

test('few VMs read the platform, and a single VM is its own reader', () => {
  // Guards against reads that grow with the fleet (invariant I1).
  const vmIds = Array.from({length: 24}, (_, index) => `e-${index}`);
  assert.equal(selectPlatformReaders(vmIds).length, 5);
  assert.deepEqual(selectPlatformReaders(['e-1']), ['e-1']);
  assert.deepEqual(selectPlatformReaders([]), []);
});

test('a list of an older copy brings back no VM that left, and drops none in use', () => {
  // Guards against requests to targets that the restored platform lists as live.
  const states = {a: 'live', b: 'leaving'} as const;
  const list = (
    entries: Readonly<Record<string, 'live' | 'leaving'>>,
  ): string =>
    JSON.stringify({
      vms: Object.entries(entries).map(([id, state]) => ({
        id,
        role: 'target',
        service: 's',
        host: '10.0.0.1',
        port: 80,
        failureDomain: 'a',
        state,
      })),
    });
  const store = createVmListStore();
  const offer = (era: number, version: number, body: string): object =>
    Object.fromEntries(
      (store.offer(publishedDocument('vms', version, body, era), 0),
      store.adopted?.document.vms ?? []).map(({id, state}) => [id, state]),
    );
  offer(1, 5, list({gone: 'live', b: 'live'}));
  assert.deepEqual(offer(1, 9, list(states)), states);
  const copy = list({gone: 'live', b: 'live', other: 'live'});
  const merged = {...states, other: 'live'};
  assert.deepEqual(offer(2, 6, copy), merged);
  assert.deepEqual(offer(1, 10, copy), merged);
  assert.deepEqual(offer(3, 6, copy), merged);
  const next = {gone: 'live', b: 'live'} as const;
  assert.deepEqual(offer(3, 7, list(next)), next);
});
