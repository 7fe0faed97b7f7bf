import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  findKind,
  MAX_TEXT_BYTES,
  parseConfigDocument,
  parseVmListDocument,
  type InputIssue,
} from './index.js';
import {SAMPLE_KIND, SAMPLE_SERVICE, sampleConfig} from './sample_documents.js';

function issuesOf(body: string): readonly InputIssue[] {
  return parseConfigDocument(body)._unsafeUnwrapErr().issues;
}

function pathsOf(body: string): readonly string[] {
  return issuesOf(body).map(issue => issue.path);
}

test('parses comments, trailing commas and defaults', () => {
  // Guards against operators' comments that make a document invalid.
  const body = sampleConfig(12).replace('{', '{ // lunch rush\n');
  const document = parseConfigDocument(body)._unsafeUnwrap();
  const service = document.presets.get('lunch')?.services.get('growers-desk');
  assert.equal(service?.name, 'growers-desk');
  assert.equal(service?.admission, true);
  assert.deepEqual(service?.kinds, [{name: 'book', ...SAMPLE_KIND}]);
});

test('reports all errors at once, each with line, path and value', () => {
  // Guards against one failed publication for each error in a document.
  const body = `{
    "revision": 0,
    "inForce": "dinner",
    "presets": {"lunch": {"vmCeiling": 30, "service": {}, "services": {
      "desk": ${JSON.stringify({...SAMPLE_SERVICE, longLaneShare: 1.5, kinds: {a: {...SAMPLE_KIND, method: 'post'}}})}}}}}`;
  assert.deepEqual(pathsOf(body), [
    'revision',
    'inForce',
    'presets.lunch.service',
    'presets.lunch.services.desk.longLaneShare',
    'presets.lunch.services.desk.kinds.a.method',
  ]);
  assert.deepEqual(issuesOf(body)[1], {
    path: 'inForce',
    line: 3,
    value: '"dinner"',
    expected: 'the name of a preset in this document (lunch)',
  });
});

test('rejects ambiguous kinds, shares of zero and duplicate keys', () => {
  const service = 'presets.ordinary.services.growers-desk';
  const conflictingKinds = {
    book: SAMPLE_KIND,
    more: {...SAMPLE_KIND, pathPrefix: '/book/'},
  };
  // Guards against a request that matches two kinds.
  assert.equal(
    pathsOf(sampleConfig(1, {kinds: conflictingKinds}))[0],
    `${service}.kinds.more.pathPrefix`,
  );
  // Guards against shares that round down to zero on every VM.
  assert.equal(
    pathsOf(sampleConfig(1, {connectionsPerTarget: 29}))[0],
    `${service}.connectionsPerTarget`,
  );
  assert.equal(
    pathsOf(sampleConfig(1, {probeBudgetPerSecond: 2.9}))[0],
    `${service}.probeBudgetPerSecond`,
  );
  // Guards against a duplicate entry, of which the last one would win silently.
  assert.deepEqual(pathsOf('{"revision": 1, "revision": 2}'), ['revision']);
  assert.deepEqual(pathsOf('{"presets": {"__proto__": {}}}'), [
    'presets.__proto__',
  ]);
});

test('rejects hostile texts with a typed error', {timeout: 20_000}, () => {
  // Guards against a document whose size or nesting crashes the process.
  const large = sampleConfig(1) + ' '.repeat(MAX_TEXT_BYTES);
  assert.match(issuesOf(large)[0]?.expected ?? '', /at most 1048576 bytes/);
  assert.match(issuesOf('['.repeat(100_000))[0]?.expected ?? '', /levels/);
  // Guards against error reports that stall a daemon: without a bound, the
  // duplicate keys take 44 s and the slashes minutes.
  const duplicateKeys = `{${'"k": 1,\n'.repeat(100_000)}}`;
  assert.equal(issuesOf(duplicateKeys).length, 200);
  const unknown = Array.from({length: 50_000}, (_, i) => `"k${i}": 1`);
  assert.equal(issuesOf(`{${unknown.join(',\n')}}`).length, 201);
  const pathPrefix = '/'.repeat(400_000) + 'x';
  const slashes = {book: {...SAMPLE_KIND, pathPrefix}};
  assert.equal(issuesOf(sampleConfig(1, {kinds: slashes})).length, 2);
  assert.equal(issuesOf('{"revision": 9').at(-1)?.value, 'the end of the text');
  for (const body of ['', 'null', '7', '[]', '{', '{"a": }', '\u0000']) {
    assert.ok(issuesOf(body).length > 0, body);
  }
});

test('never throws on any text', () => {
  // Guards against a parser exception that crashes a daemon.
  const json = fc.json({maxDepth: 4});
  fc.assert(
    fc.property(fc.oneof(json, fc.string()), body => {
      assert.ok(parseConfigDocument(body).isErr());
      assert.ok(parseVmListDocument(body).isErr() || body.includes('vms'));
    }),
    {seed: 11},
  );
});

test('rejects an invalid list of VMs with the paths of all errors', () => {
  // Guards against a target without a service and against duplicate ids.
  const target = {
    id: 't-1',
    role: 'target',
    service: 'desk',
    host: '10.0.0.1',
    port: 80,
    failureDomain: 'a',
    state: 'live',
  };
  const entry = {...target, id: 'e-1', role: 'entry', service: undefined};
  const good = JSON.stringify({vms: [target, entry]});
  assert.equal(parseVmListDocument(good)._unsafeUnwrap().vms.length, 2);
  const bad = {
    vms: [
      target,
      {...target, service: undefined},
      {...entry, service: 'desk'},
      {...entry, id: 'e-2', host: 'target.local', port: 0},
    ],
  };
  const error = parseVmListDocument(JSON.stringify(bad))._unsafeUnwrapErr();
  assert.deepEqual(error.issues.map(issue => issue.path).sort(), [
    'vms[1].id',
    'vms[1].service',
    'vms[2].service',
    'vms[3].host',
    'vms[3].port',
  ]);
});

test('finds the kind with the longest prefix of whole segments', () => {
  // Guards against a request that is handled under the rules of another kind.
  const kinds = {
    any: {...SAMPLE_KIND, pathPrefix: '/'},
    book: SAMPLE_KIND,
    half: {...SAMPLE_KIND, pathPrefix: '/book/half/'},
  };
  const document = parseConfigDocument(sampleConfig(1, {kinds}));
  const service = document
    ._unsafeUnwrap()
    .presets.get('lunch')!
    .services.get('growers-desk')!;
  const cases: readonly [string, string, string | undefined][] = [
    ['POST', '/book', 'book'],
    ['POST', '/book?lot=7', 'book'],
    ['POST', '/book/half', 'half'],
    ['POST', '/book/half/9', 'half'],
    ['POST', '/bookkeeping', 'any'],
    ['GET', '/book', undefined],
    ['POST', '/price/../book', undefined],
    ['POST', '/price/%2e%2E/book', undefined],
    ['POST', '/book?path=/../x', 'book'],
  ];
  for (const [method, path, expected] of cases) {
    assert.equal(findKind(service, method, path)?.name, expected, path);
  }
});
