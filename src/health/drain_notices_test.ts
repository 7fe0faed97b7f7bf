import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DrainNotices, type DrainNotice} from './index.js';

function notice(startedMs: number, sinceMs = 0): DrainNotice {
  return {targetId: 'x', startedMs, source: 'response', sinceMs};
}

test('a target that starts again under its id is not held to its drain', () => {
  // Guards against new targets that never get a request.
  const notices = new DrainNotices();
  assert.ok(notices.record(notice(5)));
  assert.ok(notices.covers({targetId: 'x', startedMs: 5}));
  assert.ok(!notices.covers({targetId: 'x', startedMs: 6}));
  assert.ok(!notices.covers({targetId: 'y', startedMs: 5}));
});

test('a late notice of an earlier start does not replace that of a later one', () => {
  // Guards against drains that the answer of an ended process undoes.
  const notices = new DrainNotices();
  notices.record(notice(6));
  assert.ok(!notices.record(notice(5)));
  assert.ok(!notices.record(notice(6)));
  assert.ok(notices.covers({targetId: 'x', startedMs: 5}));
  assert.ok(notices.covers({targetId: 'x', startedMs: 6}));
});

test('a notice outlives a registration that lapses, for a while', () => {
  // Guards against drains that end when a restored store lists the target again.
  const notices = new DrainNotices();
  notices.record(notice(5));
  notices.prune(new Map(), 60_000);
  assert.ok(notices.covers({targetId: 'x', startedMs: 5}));
  notices.prune(new Map(), 200_000);
  assert.ok(!notices.covers({targetId: 'x', startedMs: 5}));
});

test('a later start that is registered ends the notice', () => {
  // Guards against notices that pile up.
  const notices = new DrainNotices();
  notices.record(notice(5));
  notices.prune(new Map([['x', {targetId: 'x', startedMs: 5}]]), 1e6);
  assert.equal(notices.all.length, 1);
  notices.prune(new Map([['x', {targetId: 'x', startedMs: 6}]]), 1e6);
  assert.equal(notices.all.length, 0);
});
