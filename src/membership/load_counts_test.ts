import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadCountsCodec} from './index.js';

test('counts survive, and another list of targets is recognised', () => {
  // Guards against counts attributed to the wrong targets.
  const codec = new LoadCountsCodec(['t-2', 't-1', 't-3']);
  const value = codec.encode(
    new Map([
      ['t-1', 5],
      ['t-3', 400],
    ]),
  );
  assert.equal(typeof JSON.parse(value), 'string');
  const sameList = new LoadCountsCodec(['t-1', 't-2', 't-3']);
  const expected = new Map([
    ['t-1', 5],
    ['t-2', 0],
    ['t-3', 61],
  ]);
  assert.deepEqual(sameList.decode(value), expected);
  const otherList = new LoadCountsCodec(['t-1', 't-2', 't-4']);
  assert.equal(otherList.decode(value), undefined);
  for (const malformed of ['', '"', value.slice(0, -2), `${value}0`]) {
    assert.equal(sameList.decode(malformed), undefined, malformed);
  }
  assert.equal(sameList.decode(value.replace('5', '!')), undefined);
});
