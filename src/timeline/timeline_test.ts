import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  compareTimes,
  EventRing,
  HybridClock,
  mergeEvents,
  renderText,
  renderTrace,
  type TimelineEvent,
} from './index.js';

const WALL_MS = Date.UTC(2026, 0, 2, 3, 4, 5, 678);

function eventOf(
  vmId: string,
  counter: number,
  details: TimelineEvent['details'] = {},
): TimelineEvent {
  const time = {wallMs: WALL_MS, counter};
  return {time, vmId, part: 'target', name: 'target-ejected', details};
}

test('a received message is later than its sending despite clock skew', () => {
  // Guards against a merged timeline that shows effects before causes.
  const skewMs = fc.integer({min: -5_000, max: 5_000});
  const steps = fc.array(fc.tuple(fc.nat(2), fc.nat(2), fc.nat(3)));
  fc.assert(
    fc.property(fc.array(skewMs, {minLength: 3, maxLength: 3}), steps, run),
    {seed: 31},
  );
  function run(
    skews: readonly number[],
    messages: readonly (readonly [number, number, number])[],
  ): void {
    const clocks = skews.map(() => new HybridClock());
    let wallMs = WALL_MS;
    for (const [from, to, elapsedMs] of messages) {
      wallMs += elapsedMs;
      const sent = clocks[from]!.next(wallMs + skews[from]!);
      clocks[to]!.observe(sent, wallMs + skews[to]!);
      const received = clocks[to]!.next(wallMs + skews[to]!);
      assert.ok(compareTimes(received, sent) > 0);
    }
  }
});

test('a timestamp far ahead of the wall clock is ignored', () => {
  // Guards against one VM whose wrong clock advances the clocks of all others.
  const clock = new HybridClock();
  clock.observe({wallMs: WALL_MS + 3_600_000, counter: 0}, WALL_MS);
  assert.deepEqual(clock.next(WALL_MS), {wallMs: WALL_MS, counter: 0});
});

test('the ring keeps the newest events in order', () => {
  // Guards against unbounded memory and a wrong order after wrapping around.
  for (const count of [2, 3, 4, 7]) {
    const ring = new EventRing({capacity: 3});
    for (let i = 0; i < count; i++) {
      ring.add(eventOf('e-1', i));
    }
    const counters = ring.events().map(event => event.time.counter);
    const expected = Array.from({length: count}, (_, i) => i).slice(-3);
    assert.deepEqual(counters, expected);
    assert.equal(ring.droppedCount(), Math.max(0, count - 3));
  }
});

test('the merge does not depend on the order of the lists', () => {
  // Guards against different outputs for the same events.
  const a = [eventOf('e-1', 0), eventOf('e-1', 2)];
  const b = [eventOf('e-2', 0), eventOf('e-2', 1)];
  const merged = mergeEvents([a, b]);
  assert.deepEqual(merged, mergeEvents([b, a]));
  assert.deepEqual(
    merged.map(event => `${event.time.counter} ${event.vmId}`),
    ['0 e-1', '0 e-2', '1 e-2', '2 e-1'],
  );
});

test('text output has one line per event', () => {
  // Guards against details that forge or break lines.
  const text = renderText([
    eventOf('e-1', 0, {targetId: 't-1', reason: 'a\nb'}),
    eventOf('e-10', 1),
  ]);
  assert.equal(
    text,
    '2026-01-02T03:04:05.678Z+0  e-1   target  target-ejected  ' +
      'targetId=t-1  reason="a\\nb"\n' +
      '2026-01-02T03:04:05.678Z+1  e-10  target  target-ejected\n',
  );
});

test('the trace file contains all events with times in microseconds', () => {
  // Guards against a file that trace viewers reject or show out of order.
  const trace = JSON.parse(
    renderTrace([eventOf('e-2', 5, {targetId: 't-1'}), eventOf('e-1', 2_000)]),
  ) as {traceEvents: {ph: string; ts?: number; pid: number}[]};
  const instants = trace.traceEvents.filter(event => event.ph === 'i');
  assert.deepEqual(
    instants.map(event => [event.pid, event.ts]),
    [
      [2, WALL_MS * 1_000 + 5],
      [1, WALL_MS * 1_000 + 999],
    ],
  );
  assert.equal(new Set(trace.traceEvents.map(event => event.pid)).size, 2);
});
