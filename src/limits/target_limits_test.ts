import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {readLimit, TargetLimits} from './index.js';

test('a named limit has a safe reading, whatever the text', () => {
  const limit = (perSecond: number): object => ({type: 'limit', perSecond});
  const readings: readonly (readonly [string | undefined, object])[] = [
    [undefined, {type: 'none'}],
    ['4.2', limit(4.2)],
    ['12', limit(12)],
    ['0', limit(0.1)],
    ['0.0', limit(0.1)],
    ['0.01', limit(0.1)],
    ['1000000', limit(1_000_000)],
    ['1000001', {type: 'none'}],
    ['9'.repeat(300), {type: 'none'}],
    ...[
      '',
      '-1',
      '-0',
      'NaN',
      'Infinity',
      '1e3',
      '4,2',
      ' 4',
      '4 ',
      '.5',
      '0x10',
    ].map(text => [text, {type: 'unreadable'}] as const),
  ];
  for (const [text, expected] of readings) {
    assert.deepEqual(readLimit(text), expected, String(text));
  }
  const seed = 23;
  fc.assert(
    fc.property(fc.string(), text => {
      const statement = readLimit(text);
      assert.ok(statement.type !== 'limit' || statement.perSecond >= 0.1);
    }),
    {seed},
  );
});

test('the latest statement about a limit holds', () => {
  const limits = new TargetLimits();
  limits.onStatement('x', readLimit('4'), 10);
  limits.onStatement('x', readLimit('many'), 20);
  assert.equal(limits.limitOf('x'), 4);
  limits.merge({targetId: 'x', perSecond: 9, observedMs: 5});
  assert.equal(limits.limitOf('x'), 4);
  limits.onStatement('x', readLimit(undefined), 30);
  assert.equal(limits.limitOf('x'), undefined);
  limits.merge({targetId: 'x', perSecond: 4, observedMs: 25});
  assert.equal(limits.limitOf('x'), undefined, 'older than the end');
  assert.deepEqual(limits.onTick(30), [
    {targetId: 'x', perSecond: 4},
    {targetId: 'x', perSecond: 0},
  ]);
});

test('a limit ends when it is not named again in time', () => {
  // Guards against a limit that outlives the need of its target.
  const limits = new TargetLimits();
  limits.onStatement('fast', readLimit('10'), 0);
  limits.onTick(60_000);
  assert.equal(limits.limitOf('fast'), 10);
  limits.onTick(60_001);
  assert.equal(limits.limitOf('fast'), undefined);
  limits.onTick(80_000);
  assert.deepEqual(limits.list(), []);
});
